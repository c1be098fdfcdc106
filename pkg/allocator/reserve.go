package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// startMargin shortens the start bound by the part of the wait that a slower clock may not have counted.
const startMargin = 0.9

func (a *Allocator) reserve(v ReserveAsked, now time.Time) []Action {
	if held, ok := a.reserved[v.Request]; ok {
		return []Action{a.repeatAnswer(held, v, now)}
	}
	if a.limit() == 0 || a.isLost(v.From) {
		return []Action{a.deny(v, refuser.NoTarget)}
	}
	if v.Tokens > a.mostFor(v, a.usable) {
		return []Action{a.deny(v, refuser.PromptExceedsTargets)}
	}
	for _, w := range a.waiting {
		if w.ask.Request == v.Request && w.ask.From == v.From {
			w.since = now
			return a.promote(now)
		}
	}
	a.waiting = append(a.waiting, &waiter{
		ask:      v,
		since:    now,
		deadline: now.Add(v.Wait),
	})
	return a.promote(now)
}

// repeatAnswer answers a repeated ask. It extends the start bound, which takes authority as a new grant does;
// without it the reservation stays charged until the bound of the first answer.
func (a *Allocator) repeatAnswer(held *reservation, v ReserveAsked, now time.Time) Action {
	quotas, reservations := a.charges()
	if held.holder != v.From || v.Tokens > held.tokens || quotas+reservations > a.limit() {
		return a.deny(v, refuser.NoTarget)
	}
	held.expires = now.Add(quotaGone())
	return a.grantReservation(v, 0)
}

// promote grants waiting reservations in the order of their arrival and denies those whose wait is over. A
// later one does not pass an earlier one that waits for memory, so large ones are not starved.
func (a *Allocator) promote(now time.Time) []Action {
	var actions []Action
	kept := a.waiting[:0]
	blocked := false
	for _, w := range a.waiting {
		switch {
		case !blocked && a.fits(w.ask):
			a.hold(w.ask, now)
			actions = append(actions, a.grantReservation(w.ask, now.Sub(w.since)))
		case !now.Before(w.deadline):
			actions = append(actions, a.deny(w.ask, refuser.NoTarget))
		default:
			blocked = true
			kept = append(kept, w)
		}
	}
	a.waiting = kept
	return actions
}

// fits reports whether the reservation fits beside all quotas and reservations.
func (a *Allocator) fits(v ReserveAsked) bool {
	limit := a.limit()
	quotas, reservations := a.charges()
	if v.Tokens > limit-quotas-reservations || limit == 0 {
		return false
	}
	if v.PrefillTokens > ShortPrefillTokens && a.longerTokens(quotas)+v.Tokens > a.mostFor(v, limit) {
		return false
	}
	if v.PrefillTokens > LongPrefillTokens {
		return a.longPrefills() == 0
	}
	reserved := a.prefillReserved()
	return reserved == 0 || v.PrefillTokens+reserved+a.prefillGranted() <= a.prefillLimit()
}

// mostFor is the part of the memory that requests of this length may hold.
func (a *Allocator) mostFor(v ReserveAsked, tokens int) int {
	if v.PrefillTokens <= ShortPrefillTokens {
		return tokens
	}
	return int(float64(tokens) * LongerShare)
}

// longerTokens is the most that requests other than short ones may hold: recipients keep to the same share of
// their quotas.
func (a *Allocator) longerTokens(quotas int) int {
	longer := int(float64(quotas) * LongerShare)
	for _, v := range a.reserved {
		if v.prefill > ShortPrefillTokens {
			longer += v.tokens
		}
	}
	return longer
}

func (a *Allocator) longPrefills() int {
	long := 0
	for _, v := range a.reserved {
		if v.prefilling && v.prefill > LongPrefillTokens {
			long++
		}
	}
	return long
}

func (a *Allocator) hold(v ReserveAsked, now time.Time) {
	a.reserved[v.Request] = &reservation{
		holder:     v.From,
		tokens:     v.Tokens,
		prefill:    v.PrefillTokens,
		expires:    now.Add(quotaGone()),
		prefilling: true,
	}
}

func (a *Allocator) grantReservation(v ReserveAsked, waited time.Duration) Action {
	return GrantReservation{
		To:      v.From,
		Target:  a.options.Target,
		Request: v.Request,
		Epoch:   a.epoch,
		Boot:    a.boot,
		Valid:   QuotaValid + time.Duration(float64(waited)*startMargin),
	}
}

func (a *Allocator) deny(v ReserveAsked, reason refuser.Reason) Action {
	return DenyReservation{
		To:      v.From,
		Target:  a.options.Target,
		Request: v.Request,
		Reason:  reason,
	}
}

// release ends a reservation; a request that the engine still lists counts until the list lacks it.
func (a *Allocator) release(v Released) {
	if held, ok := a.reserved[v.Request]; ok && held.holder == v.From {
		delete(a.reserved, v.Request)
		if running, listed := a.listed[v.Request]; listed {
			a.recipient(v.From).listed += running.ReservedTokens
		}
	}
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if w.ask.Request != v.Request || w.ask.From != v.From {
			kept = append(kept, w)
		}
	}
	a.waiting = kept
}
