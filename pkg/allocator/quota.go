package allocator

import (
	"slices"
	"time"
)

// grantQuota computes the quota of one recipient and counts it as allocated until it can't be in use any more.
func (a *Allocator) grantQuota(v QuotaAsked, now time.Time) Action {
	to := v.To
	r := a.recipient(to)
	r.heardAt = now
	limit := a.limit()
	g := grant{
		number:  v.Number,
		expires: now.Add(quotaExpiry()),
	}
	if limit > 0 && !a.isLost(to) {
		g.memory = a.quotaTokens(r, limit)
		g.prefill = a.quotaPrefill(r, g.memory, limit)
	}
	r.addGrant(g)
	return GrantQuota{
		To:            to,
		Target:        a.options.Target,
		Epoch:         a.epoch,
		Boot:          a.boot,
		MemoryTokens:  g.memory,
		PrefillTokens: g.prefill,
		Valid:         QuotaValid,
	}
}

// quotaTokens splits one half of the quota memory evenly and the other in proportion to demand above the even part,
// within the memory that is not allocated to others.
func (a *Allocator) quotaTokens(r *recipient, limit int) int {
	pool := int(float64(limit) * quotaShare)
	quotas, reservations := a.charges()
	others := quotas - r.charge()
	free := min(pool-others, limit-others-reservations)
	even, extra := a.splitPool(a.poolBesideWaiting(pool))
	wanted := r.demand() - even
	quota := even
	if wanted > 0 {
		sum := 0
		for _, o := range a.recipients {
			sum += max(0, o.demand()-even)
		}
		quota += min(wanted, int(float64(extra)*float64(wanted)/float64(sum)))
	}
	return max(0, min(quota, free))
}

// splitPool returns the even part per recipient and the rest, which is granted by demand.
func (a *Allocator) splitPool(pool int) (even, extra int) {
	n := max(1, len(a.recipients))
	even = int(float64(pool)*evenShare) / n
	return even, pool - even*n
}

// poolBesideWaiting returns the pool that leaves room for the first waiting one-off reservation, so that quotas shrink
// until it fits. One part of a prompt over several targets needs most of a target, so no memory is kept back for quotas.
func (a *Allocator) poolBesideWaiting(pool int) int {
	if len(a.waiting) == 0 {
		return pool
	}
	first := a.waiting[0].request
	_, reservations := a.charges()
	needed := first.Tokens + reservations
	if first.PrefillTokens > ShortPrefillTokens {
		needed = int(float64(needed) / NonShortShare)
	}
	return max(0, min(pool, a.limit()-needed))
}

// quotaPrefill returns the prefill tokens of a quota, in proportion to its memory.
func (a *Allocator) quotaPrefill(r *recipient, memory, limit int) int {
	wanted := int(float64(a.prefillLimit()) * float64(memory) / float64(limit))
	free := a.prefillLimit() - a.prefillGranted() + r.prefillCharge() - a.prefillReserved()
	return max(0, min(wanted, free))
}

func (a *Allocator) prefillLimit() int {
	return int(float64(a.options.PrefillTokens) * a.confirmedShare * a.ramp.share())
}

func (a *Allocator) prefillGranted() int {
	granted := 0
	for _, r := range a.recipients {
		granted += r.prefillCharge()
	}
	return granted
}

// prefillReserved returns the prefill tokens of one-off reservations that are still in prefill, except long ones, of which
// there is at most one.
func (a *Allocator) prefillReserved() int {
	reserved := 0
	for _, v := range a.reserved {
		if v.prefilling && v.prefill <= LongPrefillTokens {
			reserved += v.prefill
		}
	}
	return reserved
}

func (r *recipient) demand() int {
	return max(r.usedTokens, r.listedTokens) + r.wantedTokens
}

// addGrant adds a grant and drops earlier ones that it covers in both memory and prefill.
func (r *recipient) addGrant(g grant) {
	kept := r.grants[:0]
	for _, o := range r.grants {
		if o.memory > g.memory || o.prefill > g.prefill {
			kept = append(kept, o)
		}
	}
	r.grants = kept
	r.grants = append(r.grants, g)
}

// endReplacedGrants ends the grants before that of the message whose quota the recipient reports as adopted, because it
// can start nothing under them any more. Its reported use includes what it had started under them, which the new quota
// limits from then on; that use stays charged until the earlier grants would have expired, because the engine's list may
// not show it yet.
func (r *recipient) endReplacedGrants(number int64) {
	adopted := slices.IndexFunc(r.grants, func(g grant) bool { return g.number == number })
	if number == 0 || adopted < 0 {
		return
	}
	rest := grant{
		number: number,
		memory: max(r.grants[adopted].memory, r.usedTokens),
	}
	kept := r.grants[:0]
	for _, g := range r.grants {
		if g.number >= number {
			kept = append(kept, g)
			continue
		}
		rest.prefill = max(rest.prefill, g.prefill)
		if g.expires.After(rest.expires) {
			rest.expires = g.expires
		}
	}
	r.grants = kept
	if !rest.expires.IsZero() {
		r.grants = append(r.grants, rest)
	}
}

// dropExpiredGrants drops grants that had expired when the engine's list was requested: that list shows every request
// that started under them.
func (r *recipient) dropExpiredGrants(requested time.Time) {
	kept := r.grants[:0]
	for _, g := range r.grants {
		if requested.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	r.grants = kept
}
