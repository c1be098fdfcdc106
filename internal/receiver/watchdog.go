package receiver

import (
	"context"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// budgetRetry is how long a watchdog waits if the retry budget is spent; the budget grows with each request.
const budgetRetry = 200 * time.Millisecond

// watchdog finds that an attempt has gone silent and has another engine assigned. Until that is done the silent engine keeps
// the request: a stalled engine goes on after some time, and an answer must not end because its engine is slow.
type watchdog struct {
	transfer *transfer
	excluded []namer.Target
	// abandon ends the watched attempt.
	abandon context.CancelFunc
	// hurried tells the watchdog that the attempt is due sooner than it was: events follow each other faster than the first.
	hurried chan struct{}

	mu sync.Mutex
	// due is when the attempt counts as silent.
	due time.Time
	// stopSeeking withdraws the request for another engine; nil while none is asked for.
	stopSeeking context.CancelFunc
	successor   *assignment
	closed      bool
}

// watch starts a watchdog that asks for another engine unless the first event comes within a time. The attempt must end with close.
func (t *transfer) watch(ctx context.Context, abandon context.CancelFunc, excluded []namer.Target, first time.Duration) *watchdog {
	w := &watchdog{
		transfer: t,
		excluded: excluded,
		abandon:  abandon,
		hurried:  make(chan struct{}, 1),
		due:      t.server.options.Clock.Now().Add(first),
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
			case <-w.hurried:
			case <-clock.After(wait):
			}
			continue
		}
		if !w.transfer.server.spend() {
			w.postpone(clock.Now().Add(budgetRetry))
			continue
		}
		if !w.replace(ctx) {
			return
		}
	}
}

// replace asks for another engine and hands the request over; it reports whether to go on watching.
func (w *watchdog) replace(ctx context.Context) bool {
	seeking, stop := context.WithCancel(ctx)
	defer stop()
	w.mu.Lock()
	w.stopSeeking = stop
	w.mu.Unlock()
	id, decision, err := w.transfer.ask(seeking, w.excluded, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopSeeking = nil
	resumed := seeking.Err() != nil
	placed, found := decision.(scheduler.Place)
	if err != nil || !found {
		// A refusal is final; the silent engine is the only one left.
		return resumed
	}
	next := &assignment{
		id:        id,
		placement: placed.Placement,
	}
	if resumed || w.closed {
		w.transfer.discard(next)
		return true
	}
	w.successor = next
	w.abandon()
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

// progress records an event: the next one may take until the given time.
func (w *watchdog) progress(due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if due.Before(w.due) {
		select {
		case w.hurried <- struct{}{}:
		default:
		}
	}
	w.due = due
	if w.stopSeeking != nil {
		w.stopSeeking()
	}
}

// close ends the watch and returns the assignment that takes the attempt's place, if there is one.
func (w *watchdog) close() *assignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.stopSeeking != nil {
		w.stopSeeking()
	}
	return w.successor
}
