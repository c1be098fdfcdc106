package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// startMargin is the part of the wait that extends the time to start; the rest covers a recipient's slower clock.
const startMargin = 0.9

func (a *Allocator) reserve(v ReserveAsked, now time.Time) []Action {
	if held, ok := a.reserved[v.Request]; ok {
		return []Action{a.repeatAnswer(held, v, now)}
	}
	if a.limit() == 0 || a.isLost(v.From) {
		return []Action{a.deny(v, refuser.NoTarget)}
	}
	if v.Tokens > a.maxTokensFor(v, a.usableTokens) {
		return []Action{a.deny(v, refuser.PromptExceedsTargets)}
	}
	for _, w := range a.waiting {
		if w.request.Request == v.Request && w.request.From == v.From {
			w.since = now
			return a.grantWaiting(now)
		}
	}
	a.waiting = append(a.waiting, &waiter{
		request:  v,
		since:    now,
		deadline: now.Add(v.Wait),
	})
	return a.grantWaiting(now)
}

// repeatAnswer answers a repeated call for a granted reservation. Extending the time to start needs authority as a new
// grant does; without it the reservation stays allocated until the time of the first answer.
func (a *Allocator) repeatAnswer(held *reservation, v ReserveAsked, now time.Time) Action {
	quotas, reservations := a.charges()
	if held.holder != v.From || v.Tokens > held.tokens || quotas+reservations > a.limit() {
		return a.deny(v, refuser.NoTarget)
	}
	held.expires = now.Add(quotaExpiry())
	return a.grantReservation(v, 0)
}

// grantWaiting grants waiting reservations in order of arrival and denies those whose wait is over. A later one is not
// granted before an earlier one that waits for memory, so that large ones do not starve.
func (a *Allocator) grantWaiting(now time.Time) []Action {
	var actions []Action
	kept := a.waiting[:0]
	blocked := false
	for _, w := range a.waiting {
		switch {
		case !blocked && a.fits(w.request):
			a.addReservation(w.request, now)
			actions = append(actions, a.grantReservation(w.request, now.Sub(w.since)))
		case !now.Before(w.deadline):
			actions = append(actions, a.deny(w.request, refuser.NoTarget))
		default:
			blocked = true
			kept = append(kept, w)
		}
	}
	a.waiting = kept
	return actions
}

// fits reports whether the reservation fits beside all quotas and reservations and the limits of its length class.
func (a *Allocator) fits(v ReserveAsked) bool {
	limit := a.limit()
	quotas, reservations := a.charges()
	if v.Tokens > limit-quotas-reservations || limit == 0 {
		return false
	}
	if v.PrefillTokens > ShortPrefillTokens && a.nonShortTokens(quotas)+v.Tokens > a.maxTokensFor(v, limit) {
		return false
	}
	if v.PrefillTokens > LongPrefillTokens {
		return a.longPrefills() == 0
	}
	reserved := a.prefillReserved()
	return reserved == 0 || v.PrefillTokens+reserved+a.prefillGranted() <= a.prefillLimit()
}

// maxTokensFor returns the part of the tokens that requests of this length class may hold.
func (a *Allocator) maxTokensFor(v ReserveAsked, tokens int) int {
	if v.PrefillTokens <= ShortPrefillTokens {
		return tokens
	}
	return int(float64(tokens) * NonShortShare)
}

// nonShortTokens returns the most that medium and long requests may hold now; under quotas they may hold the same share,
// which the recipients enforce.
func (a *Allocator) nonShortTokens(quotas int) int {
	nonShort := int(float64(quotas) * NonShortShare)
	for _, v := range a.reserved {
		if v.prefill > ShortPrefillTokens {
			nonShort += v.tokens
		}
	}
	return nonShort
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

func (a *Allocator) addReservation(v ReserveAsked, now time.Time) {
	a.reserved[v.Request] = &reservation{
		holder:     v.From,
		tokens:     v.Tokens,
		prefill:    v.PrefillTokens,
		expires:    now.Add(quotaExpiry()),
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

// release ends a reservation. If the engine still lists the request, it counts as use until a list lacks it.
func (a *Allocator) release(v Released) {
	if held, ok := a.reserved[v.Request]; ok && held.holder == v.From {
		delete(a.reserved, v.Request)
		if running, listed := a.listedRequests[v.Request]; listed {
			a.recipient(v.From).listedTokens += running.ReservedTokens
		}
	}
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if w.request.Request != v.Request || w.request.From != v.From {
			kept = append(kept, w)
		}
	}
	a.waiting = kept
}
