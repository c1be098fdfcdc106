package reconciler

import (
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

// Bucket limits how often the weight store is used; limiter.Bucket implements it.
type Bucket interface {
	Take(reserve float64, now time.Time) bool
}

// Settings configure a reconciler.
type Settings struct {
	// AnswerTimeout is how long an order may be unanswered before it is repeated.
	AnswerTimeout time.Duration
	// BackoffBase and BackoffMax bound the wait of a target after a failed or lost order.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// LateOrder is how long an order whose answer was lost may still take effect at the target.
	LateOrder time.Duration
}

// DefaultSettings returns the settings of today's deployment.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout: 30 * time.Second,
		BackoffBase:   time.Second,
		BackoffMax:    60 * time.Second,
		LateOrder:     60 * time.Second,
	}
}

// LoadsPerSecond is the rate of the weight store for one cell: one load per 10 s.
const LoadsPerSecond = 0.1

// Action is what a reconciler asks its caller to do.
type Action interface{ action() }

// SendOrder sends an order to a target once; the outcome goes to Finish with the same number.
type SendOrder struct {
	Target namer.Target
	Epoch  namer.Epoch
	Order  roller.Order
	Number int64
}

// ReportStale says that the target rejected this owner's epoch: it no longer owns the target.
type ReportStale struct {
	Target namer.Target
	Epoch  namer.Epoch
}

func (SendOrder) action()   {}
func (ReportStale) action() {}

// Result is the outcome of an order.
type Result int

// The outcomes of orders.
const (
	// ResultDone means that the target accepted the order.
	ResultDone Result = iota
	// ResultLost means that no answer came; the order may have taken effect.
	ResultLost
	// ResultFailed means that the target answered with an error.
	ResultFailed
	// ResultStale means that the target rejected the epoch.
	ResultStale
)

// Reconciler decides which order each owned target gets next.
type Reconciler struct {
	settings Settings
	bucket   Bucket
	wanted   map[namer.Target][]roller.Order
	owned    map[namer.Target]*target
	number   int64
	// turn is the target after which the next load is chosen, so that one target cannot use all tokens.
	turn namer.Target
}

// target is what is known of one owned target.
type target struct {
	epoch namer.Epoch
	boot  string
	stale bool
	// confirmed are the orders that the target accepted since its boot.
	confirmed map[roller.Order]bool
	// doubts are orders that may still take effect, and until when; an empty name stands for any order of the kind.
	doubts   map[roller.Order]time.Time
	open     *openOrder
	failures int
	retryAt  time.Time
}

type openOrder struct {
	number   int64
	order    roller.Order
	deadline time.Time
}

// New returns a reconciler that owns no target; bucket limits loads from the weight store.
func New(settings Settings, bucket Bucket) *Reconciler {
	return &Reconciler{
		settings: settings,
		bucket:   bucket,
		owned:    map[namer.Target]*target{},
	}
}

// Want replaces the wanted state of all targets.
func (r *Reconciler) Want(orders map[namer.Target][]roller.Order, now time.Time) []Action {
	r.wanted = orders
	for id, t := range r.owned {
		t.forgetUnwanted(orders[id])
	}
	return r.Tick(now)
}

// Own notes that this instance owns the target at an epoch; an older epoch changes nothing.
func (r *Reconciler) Own(id namer.Target, epoch namer.Epoch, now time.Time) []Action {
	t := r.owned[id]
	switch {
	case t == nil:
		r.owned[id] = r.newTarget(epoch, now)
	case epoch > t.epoch:
		t.epoch = epoch
		t.stale = false
		r.loseOpen(t, now)
	default:
		return nil
	}
	return r.Tick(now)
}

// Disown notes that this instance does not own the target any more.
func (r *Reconciler) Disown(id namer.Target) {
	delete(r.owned, id)
}

// ObserveBoot takes the boot id in a target's load report; a new boot forgets what the target had confirmed.
func (r *Reconciler) ObserveBoot(id namer.Target, boot string, now time.Time) []Action {
	t := r.owned[id]
	if t == nil || t.boot == boot {
		return nil
	}
	if t.boot != "" {
		t.confirmed = map[roller.Order]bool{}
		t.doubts = map[roller.Order]time.Time{}
		t.open = nil
	}
	t.boot = boot
	return r.Tick(now)
}

// Finish takes the outcome of the order with the number; an answer to an earlier order changes nothing.
func (r *Reconciler) Finish(id namer.Target, number int64, result Result, now time.Time) []Action {
	t := r.owned[id]
	if t == nil || t.open == nil || t.open.number != number {
		return nil
	}
	order := t.open.order
	if result == ResultLost {
		r.loseOpen(t, now)
	}
	t.open = nil
	switch result {
	case ResultDone:
		t.confirm(order, r.wanted[id])
	case ResultStale:
		t.stale = true
		return []Action{ReportStale{
			Target: id,
			Epoch:  t.epoch,
		}}
	default:
		r.backOff(t, now)
	}
	return r.Tick(now)
}

// Tick sends what has become due; each target has one open order at a time.
func (r *Reconciler) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range r.inTurn() {
		t := r.owned[id]
		r.expire(t, now)
		order, due := t.next(r.wanted[id], now)
		if !due {
			continue
		}
		if order.Kind.UsesWeightStore() {
			if !r.bucket.Take(0, now) {
				continue
			}
			r.turn = id
		}
		actions = append(actions, r.send(id, t, order, now))
	}
	return actions
}

// Missing returns how many wanted orders the owned targets have not confirmed.
func (r *Reconciler) Missing() int {
	missing := 0
	for id, t := range r.owned {
		for _, order := range r.wanted[id] {
			if !t.confirmed[order] {
				missing++
			}
		}
	}
	return missing
}

// inTurn returns the owned targets by id, beginning after the one that loaded last.
func (r *Reconciler) inTurn() []namer.Target {
	ids := slices.Sorted(maps.Keys(r.owned))
	i, found := slices.BinarySearch(ids, r.turn)
	if found {
		i++
	}
	return append(ids[i:len(ids):len(ids)], ids[:i]...)
}

func (r *Reconciler) send(id namer.Target, t *target, order roller.Order, now time.Time) Action {
	r.number++
	t.open = &openOrder{
		number:   r.number,
		order:    order,
		deadline: now.Add(r.settings.AnswerTimeout),
	}
	return SendOrder{
		Target: id,
		Epoch:  t.epoch,
		Order:  order,
		Number: r.number,
	}
}

func (r *Reconciler) expire(t *target, now time.Time) {
	if t.open != nil && !now.Before(t.open.deadline) {
		r.loseOpen(t, now)
		r.backOff(t, now)
	}
	for lost, until := range t.doubts {
		if now.Before(until) {
			continue
		}
		delete(t.doubts, lost)
		t.doubt(lost)
	}
}

// newTarget expects late orders of the previous owner, since not every target rejects old epochs.
func (r *Reconciler) newTarget(epoch namer.Epoch, now time.Time) *target {
	until := now.Add(r.settings.LateOrder)
	return &target{
		epoch:     epoch,
		confirmed: map[roller.Order]bool{},
		doubts: map[roller.Order]time.Time{
			{Kind: roller.OrderLoadVersion}: until,
			{Kind: roller.OrderChangeRole}:  until,
		},
	}
}

// loseOpen ends the open order, which may still take effect.
func (r *Reconciler) loseOpen(t *target, now time.Time) {
	if t.open == nil {
		return
	}
	t.doubts[t.open.order] = now.Add(r.settings.LateOrder)
	t.open = nil
}

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 16

func (r *Reconciler) backOff(t *target, now time.Time) {
	wait := min(r.settings.BackoffMax, r.settings.BackoffBase<<min(t.failures, maxDoublings))
	t.failures++
	t.retryAt = now.Add(wait)
}

// doubt orders again what a late order of the same kind may have replaced.
func (t *target) doubt(lost roller.Order) {
	if !lost.Kind.Exclusive() {
		return
	}
	maps.DeleteFunc(t.confirmed, func(o roller.Order, _ bool) bool {
		return o.Kind == lost.Kind && o != lost
	})
}

// next returns the first order that is not confirmed; orders of one target are sent in the order of the bundle.
func (t *target) next(wanted []roller.Order, now time.Time) (roller.Order, bool) {
	if t.stale || t.open != nil || now.Before(t.retryAt) {
		return roller.Order{}, false
	}
	for _, order := range wanted {
		if !t.confirmed[order] {
			return order, true
		}
	}
	return roller.Order{}, false
}

// confirm notes an order, unless a later bundle no longer wants it.
func (t *target) confirm(order roller.Order, wanted []roller.Order) {
	t.failures = 0
	t.retryAt = time.Time{}
	if slices.Contains(wanted, order) {
		t.confirmed[order] = true
	}
}

// forgetUnwanted makes an order count as missing when a later bundle wants it again. An open order stays open, since a
// later one must not overtake it on its way to the target.
func (t *target) forgetUnwanted(wanted []roller.Order) {
	maps.DeleteFunc(t.confirmed, func(o roller.Order, _ bool) bool {
		return !slices.Contains(wanted, o)
	})
}
