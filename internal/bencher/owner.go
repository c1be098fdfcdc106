package bencher

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

// Parameters of the fake owner of a target. As in the design, the quotas in use, the reservations and a
// part that is not allocated in advance (outsideQuotaTokens) together never exceed ownerTokens, the
// memory that the owner may grant.
const (
	ownerTokens         = engineMemoryTokens * 96 / 100
	outsideQuotaTokens  = ownerTokens / 5
	nonShortLimitTokens = ownerTokens * 85 / 100
	prefillQuotaTokens  = 64_000
	quotaMinTokens      = 6_000
	quotaHeadroomTokens = 16_000
	heartbeatInterval   = time.Second
	pollInterval        = 200 * time.Millisecond
)

// owner grants the memory of one target to the instances as quotas and reservations.
type owner struct {
	engine           *engine
	host             *instance // runs the owner
	quotas           []int     // tokens by instance
	used             []int
	reservations     map[namer.Request]reservation
	reservedTokens   int
	nonShortReserved int
	waiters          []*waiter
	// The state of the engine at the last poll.
	polledQueueTokens  int
	polledLongPrefills int
	polledAt           time.Time
}

// reservation is memory of the target that is set aside for one request.
type reservation struct {
	tokens      int
	nonShort    bool
	longPrefill bool // a long prompt whose prefill isn't done
}

// waiter is a request for a reservation that waits for memory.
type waiter struct {
	request     namer.Request
	reservation reservation
	onDecision  func(granted bool)
	expiresAt   time.Time
}

func (o *owner) quotaSum() int {
	sum := 0
	for i := range o.quotas {
		sum += max(o.quotas[i], o.used[i])
	}
	return sum
}

func (o *owner) freeTokens() int {
	return ownerTokens - o.quotaSum() - o.reservedTokens
}

// renewQuota adapts the quota of instance i to its use. While reservations are waiting, the quota gets
// no headroom.
func (o *owner) renewQuota(i int) {
	others := o.quotaSum() - max(o.quotas[i], o.used[i])
	available := min(ownerTokens-o.reservedTokens-others, ownerTokens-outsideQuotaTokens-others)
	wanted := max(quotaMinTokens, o.used[i]+max(quotaHeadroomTokens, o.used[i]/2))
	if len(o.waiters) > 0 {
		wanted = max(quotaMinTokens, o.used[i])
	}
	o.quotas[i] = max(o.used[i], min(wanted, available))
	o.grantWaiting()
}

func (o *owner) longPrefillCount() int {
	count := 0
	for _, r := range o.reservations {
		if r.longPrefill {
			count++
		}
	}
	return count
}

func (o *owner) grantable(r reservation) bool {
	if r.longPrefill && o.longPrefillCount() > 0 {
		return false
	}
	return r.tokens <= o.freeTokens() && (!r.nonShort || o.nonShortReserved+r.tokens <= nonShortLimitTokens)
}

// reserve calls onDecision once the reservation is granted or refused. A reservation that can't be
// granted immediately waits for at most wait; a long one is refused if another long one is in prefill.
func (o *owner) reserve(request namer.Request, r reservation, wait time.Duration, onDecision func(bool)) {
	if len(o.waiters) == 0 && o.grantable(r) {
		o.addReservation(request, r)
		onDecision(true)
		return
	}
	if wait <= 0 || (r.longPrefill && o.longPrefillCount() > 0) {
		onDecision(false)
		return
	}
	w := &waiter{
		request:     request,
		reservation: r,
		onDecision:  onDecision,
		expiresAt:   o.engine.loop.now().Add(wait),
	}
	o.waiters = append(o.waiters, w)
	o.engine.loop.after(wait, func() {
		if index := slices.Index(o.waiters, w); index >= 0 {
			o.waiters = slices.Delete(o.waiters, index, index+1)
			w.onDecision(false)
			o.grantWaiting()
		}
	})
}

func (o *owner) addReservation(request namer.Request, r reservation) {
	o.reservations[request] = r
	o.reservedTokens += r.tokens
	if r.nonShort {
		o.nonShortReserved += r.tokens
	}
}

// grantWaiting grants waiting reservations in the order of their arrival.
func (o *owner) grantWaiting() {
	for len(o.waiters) > 0 && o.grantable(o.waiters[0].reservation) {
		first := o.waiters[0]
		o.waiters = o.waiters[1:]
		o.addReservation(first.request, first.reservation)
		first.onDecision(true)
	}
}

func (o *owner) release(request namer.Request) {
	r, found := o.reservations[request]
	if !found {
		return
	}
	delete(o.reservations, request)
	o.reservedTokens -= r.tokens
	if r.nonShort {
		o.nonShortReserved -= r.tokens
	}
	o.grantWaiting()
}

// pollEngine reads the engine's load and clears longPrefill of the reservations whose prefill is done.
func (o *owner) pollEngine() {
	o.polledAt = o.engine.loop.now()
	o.polledQueueTokens = o.engine.pendingPrefillTokens()
	for _, j := range o.engine.jobs {
		if r, found := o.reservations[j.request.id]; found && r.longPrefill && j.prefilled {
			r.longPrefill = false
			o.reservations[j.request.id] = r
		}
	}
	o.polledLongPrefills = o.longPrefillCount()
	o.grantWaiting()
}

func (o *owner) summary() placer.Summary {
	free := o.freeTokens()
	longPrefills := o.polledLongPrefills
	for _, w := range o.waiters {
		free -= w.reservation.tokens
		if w.reservation.longPrefill {
			longPrefills++
		}
	}
	return placer.Summary{
		Target:       o.engine.id,
		FreeTokens:   max(free, 0),
		QueueTokens:  o.polledQueueTokens,
		WarmPercent:  100,
		LongPrefills: longPrefills,
		At:           o.polledAt,
	}
}
