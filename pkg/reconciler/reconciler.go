package reconciler

import (
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

// Bucket limits the rate of loads from the weight store; limiter.Bucket implements it.
type Bucket interface {
	Take(reserve float64, now time.Time) bool
}

// Settings configure a reconciler.
type Settings struct {
	// AnswerTimeout is the time after which an unanswered order counts as lost and is retried with backoff.
	AnswerTimeout time.Duration
	// BackoffBase and BackoffMax bound the exponential backoff of a target after a failed or lost order.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MaxOrderDelay is the maximum time after which an order without an answer can still take effect at the target.
	MaxOrderDelay time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout: 30 * time.Second,
		BackoffBase:   time.Second,
		BackoffMax:    60 * time.Second,
		MaxOrderDelay: 60 * time.Second,
	}
}

// LoadsPerSecond is the rate of the weight store for one cell: one load per 10 s.
const LoadsPerSecond = 0.1

// Action is an instruction of a reconciler to its caller.
type Action interface{ action() }

// SendOrder sends an order to a target once; pass the result to Finish with the same number.
type SendOrder struct {
	Target namer.Target
	Epoch  namer.Epoch
	Order  roller.Order
	Number int64
}

// ReportStale reports that the target rejected the epoch: this instance no longer owns the target.
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
	// ResultLost means that the target did not answer; the order may have taken effect or still do so.
	ResultLost
	// ResultFailed means that the target answered with an error.
	ResultFailed
	// ResultStale means that the target rejected the epoch of the order.
	ResultStale
)

// Reconciler selects the next order for each owned target.
type Reconciler struct {
	settings Settings
	bucket   Bucket
	wanted   map[namer.Target][]roller.Order
	owned    map[namer.Target]*target
	number   int64
	// lastLoaded is the target of the last load; the next one starts after it, so that no target takes all tokens.
	lastLoaded namer.Target
}

// target is the state of one owned target.
type target struct {
	epoch namer.Epoch
	boot  string
	// stale is set while the target has rejected the epoch; nothing is sent until a higher one is known.
	stale bool
	// confirmed contains the orders that the target has accepted since its boot.
	confirmed map[roller.Order]bool
	// lateUntil maps orders that may still take effect to the end of that time; an empty name means any order of the kind.
	lateUntil map[roller.Order]time.Time
	open      *openOrder
	failures  int
	retryAt   time.Time
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

// SetWanted replaces the wanted orders of all targets.
func (r *Reconciler) SetWanted(orders map[namer.Target][]roller.Order, now time.Time) []Action {
	r.wanted = orders
	for id, t := range r.owned {
		t.forgetUnwanted(orders[id])
	}
	return r.Tick(now)
}

// AddTarget records that this instance owns the target at an epoch; an older epoch is ignored.
func (r *Reconciler) AddTarget(id namer.Target, epoch namer.Epoch, now time.Time) []Action {
	t := r.owned[id]
	switch {
	case t == nil:
		r.owned[id] = r.newTarget(epoch, now)
	case epoch > t.epoch:
		t.epoch = epoch
		t.stale = false
		r.markOpenLost(t, now)
	default:
		return nil
	}
	return r.Tick(now)
}

// RemoveTarget records that this instance no longer owns the target.
func (r *Reconciler) RemoveTarget(id namer.Target) {
	delete(r.owned, id)
}

// ObserveBoot processes the boot id in a target's load report; after a restart, all orders are unconfirmed.
func (r *Reconciler) ObserveBoot(id namer.Target, boot string, now time.Time) []Action {
	t := r.owned[id]
	if t == nil || t.boot == boot {
		return nil
	}
	if t.boot != "" {
		t.confirmed = map[roller.Order]bool{}
		t.lateUntil = map[roller.Order]time.Time{}
		t.open = nil
	}
	t.boot = boot
	return r.Tick(now)
}

// Finish processes the result of the order with the number; the result of an earlier order is ignored.
func (r *Reconciler) Finish(id namer.Target, number int64, result Result, now time.Time) []Action {
	t := r.owned[id]
	if t == nil || t.open == nil || t.open.number != number {
		return nil
	}
	order := t.open.order
	if result == ResultLost {
		r.markOpenLost(t, now)
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

// Tick sends the orders that have become due; each target has one open order at a time.
func (r *Reconciler) Tick(now time.Time) []Action {
	var actions []Action
	for _, id := range r.roundRobin() {
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
			r.lastLoaded = id
		}
		actions = append(actions, r.send(id, t, order, now))
	}
	return actions
}

// Unconfirmed returns the number of wanted orders that the owned targets have not confirmed.
func (r *Reconciler) Unconfirmed() int {
	unconfirmed := 0
	for id, t := range r.owned {
		for _, order := range r.wanted[id] {
			if !t.confirmed[order] {
				unconfirmed++
			}
		}
	}
	return unconfirmed
}

// roundRobin returns the owned targets sorted by id, starting after the one that loaded last.
func (r *Reconciler) roundRobin() []namer.Target {
	ids := slices.Sorted(maps.Keys(r.owned))
	i, found := slices.BinarySearch(ids, r.lastLoaded)
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
		r.markOpenLost(t, now)
		r.backOff(t, now)
	}
	for lost, until := range t.lateUntil {
		if now.Before(until) {
			continue
		}
		delete(t.lateUntil, lost)
		t.invalidateReplaced(lost)
	}
}

// newTarget returns the state of a new target. It assumes that orders of the previous owner may still take effect, because
// not every target rejects old epochs.
func (r *Reconciler) newTarget(epoch namer.Epoch, now time.Time) *target {
	until := now.Add(r.settings.MaxOrderDelay)
	return &target{
		epoch:     epoch,
		confirmed: map[roller.Order]bool{},
		lateUntil: map[roller.Order]time.Time{
			{Kind: roller.OrderLoadVersion}: until,
			{Kind: roller.OrderChangeRole}:  until,
		},
	}
}

// markOpenLost ends the open order, which may still take effect.
func (r *Reconciler) markOpenLost(t *target, now time.Time) {
	if t.open == nil {
		return
	}
	t.lateUntil[t.open.order] = now.Add(r.settings.MaxOrderDelay)
	t.open = nil
}

// maxDoublings keeps the backoff from overflowing its duration.
const maxDoublings = 16

func (r *Reconciler) backOff(t *target, now time.Time) {
	wait := min(r.settings.BackoffMax, r.settings.BackoffBase<<min(t.failures, maxDoublings))
	t.failures++
	t.retryAt = now.Add(wait)
}

// invalidateReplaced makes the orders unconfirmed that a late order of the same kind may have replaced.
func (t *target) invalidateReplaced(lost roller.Order) {
	if !lost.Kind.Exclusive() {
		return
	}
	maps.DeleteFunc(t.confirmed, func(o roller.Order, _ bool) bool {
		return o.Kind == lost.Kind && o != lost
	})
}

// next returns the first unconfirmed order; a target receives its orders in the sequence of the bundle.
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

// confirm records an order as accepted, unless it is no longer wanted.
func (t *target) confirm(order roller.Order, wanted []roller.Order) {
	t.failures = 0
	t.retryAt = time.Time{}
	if slices.Contains(wanted, order) {
		t.confirmed[order] = true
	}
}

// forgetUnwanted makes unwanted orders unconfirmed, so that they are sent again if a later bundle wants them. An open
// order stays open, because the next order must not overtake it.
func (t *target) forgetUnwanted(wanted []roller.Order) {
	maps.DeleteFunc(t.confirmed, func(o roller.Order, _ bool) bool {
		return !slices.Contains(wanted, o)
	})
}
