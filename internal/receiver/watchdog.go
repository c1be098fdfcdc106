package receiver

import (
	"context"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// budgetRetry is the delay before a watchdog tries again when the retry budget is spent; each new request adds to the budget.
const budgetRetry = 200 * time.Millisecond

// watchdog detects that an attempt has gone silent and requests a replacement. Until one is assigned, the silent engine keeps
// the request: a stalled engine may recover, and an answer must not be cut off because its engine is slow.
type watchdog struct {
	transfer *transfer
	excluded []namer.Target
	// cancelAttempt cancels the watched attempt.
	cancelAttempt context.CancelFunc
	// dueSooner signals that due has moved forward: the timeout between events is shorter than that for the first event.
	dueSooner chan struct{}

	mu sync.Mutex
	// due is when the attempt counts as silent.
	due time.Time
	// cancelPlacement cancels the pending request for a replacement; nil if there is none.
	cancelPlacement context.CancelFunc
	successor       *assignment
	closed          bool
}

// watch starts a watchdog that requests a replacement unless the first event arrives within the given time. The attempt must call
// close at its end.
func (t *transfer) watch(ctx context.Context, cancel context.CancelFunc, excluded []namer.Target, first time.Duration) *watchdog {
	w := &watchdog{
		transfer:      t,
		excluded:      excluded,
		cancelAttempt: cancel,
		dueSooner:     make(chan struct{}, 1),
		due:           t.server.options.Clock.Now().Add(first),
	}
	go w.run(ctx)
	return w
}

func (w *watchdog) run(ctx context.Context) {
	clock := w.transfer.server.options.Clock
	for ctx.Err() == nil {
		if wait := w.deadline().Sub(clock.Now()); wait > 0 {
			select {
			case <-ctx.Done():
			case <-w.dueSooner:
			case <-clock.After(wait):
			}
			continue
		}
		if !w.transfer.server.spendRetry() {
			w.postpone(clock.Now().Add(budgetRetry))
			continue
		}
		if !w.replace(ctx) {
			return
		}
	}
}

// replace requests another engine and cancels the attempt in favour of it; it reports whether to go on watching.
func (w *watchdog) replace(ctx context.Context) bool {
	placementCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancelPlacement = cancel
	w.mu.Unlock()
	id, decision, err := w.transfer.requestPlacement(placementCtx, w.excluded, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelPlacement = nil
	resumed := placementCtx.Err() != nil
	placed, found := decision.(scheduler.Place)
	if err != nil || !found {
		// The scheduler does not revise a refusal: only the silent engine can still serve the request.
		return resumed
	}
	next := &assignment{
		id:        id,
		placement: placed.Placement,
	}
	if resumed || w.closed {
		w.transfer.cancel(next)
		return true
	}
	w.successor = next
	w.cancelAttempt()
	return false
}

func (w *watchdog) deadline() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.due
}

func (w *watchdog) postpone(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = until
}

// progress records an event and cancels a pending replacement; the next event is due at the given time.
func (w *watchdog) progress(due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if due.Before(w.due) {
		select {
		case w.dueSooner <- struct{}{}:
		default:
		}
	}
	w.due = due
	if w.cancelPlacement != nil {
		w.cancelPlacement()
	}
}

// close stops the watchdog and returns the assignment that replaces the attempt, or nil.
func (w *watchdog) close() *assignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.cancelPlacement != nil {
		w.cancelPlacement()
	}
	return w.successor
}
