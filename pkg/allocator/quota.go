package allocator

import (
	"slices"
	"time"
)

// grantQuota computes the quota of one recipient and charges it until it is known to be unused.
func (a *Allocator) grantQuota(v QuotaAsked, now time.Time) Action {
	to := v.To
	r := a.recipient(to)
	r.heardAt = now
	limit := a.limit()
	g := grant{
		number:  v.Number,
		expires: now.Add(quotaGone()),
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

// quotaTokens splits one half of the allocatable memory evenly and the other by demand above that, within what
// is not charged to others.
func (a *Allocator) quotaTokens(r *recipient, limit int) int {
	pool := int(float64(limit) * allocatedShare)
	quotas, reservations := a.charges()
	others := quotas - r.charge()
	free := min(pool-others, limit-others-reservations)
	even, extra := a.split(a.poolBesideWaiting(pool))
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

// split returns the even part per recipient and the part that is given by demand.
func (a *Allocator) split(pool int) (even, extra int) {
	n := max(1, len(a.recipients))
	even = int(float64(pool)*idleShare) / n
	return even, pool - even*n
}

// poolBesideWaiting lets quotas shrink until the first one-off reservation that waits for memory fits beside them. A part
// of a prompt over several targets takes most of a target, so that nothing may be kept back from it.
func (a *Allocator) poolBesideWaiting(pool int) int {
	if len(a.waiting) == 0 {
		return pool
	}
	ask := a.waiting[0].ask
	_, reservations := a.charges()
	needed := ask.Tokens + reservations
	if ask.PrefillTokens > ShortPrefillTokens {
		needed = int(float64(needed) / LongerShare)
	}
	return max(0, min(pool, a.limit()-needed))
}

func (a *Allocator) quotaPrefill(r *recipient, memory, limit int) int {
	wanted := int(float64(a.prefillLimit()) * float64(memory) / float64(limit))
	free := a.prefillLimit() - a.prefillGranted() + r.prefillCharge() - a.prefillReserved()
	return max(0, min(wanted, free))
}

func (a *Allocator) prefillLimit() int {
	return int(float64(a.options.PrefillTokens) * a.confirmed * a.ramp.share())
}

func (a *Allocator) prefillGranted() int {
	granted := 0
	for _, r := range a.recipients {
		granted += r.prefillCharge()
	}
	return granted
}

// prefillReserved is the prefill of one-off reservations other than long ones, of which there is one at most.
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
	return max(r.used, r.listed) + r.wanted
}

// addGrant keeps only grants that a later one does not cover.
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

// adopt ends the grants before that of the message whose quota the recipient reports to have adopted: it can start
// nothing under them any more. What it had started under them is in its reported use, which the new quota then bounds;
// that use stays charged until the earlier grants would have expired, because the engine's list may not show it yet.
func (r *recipient) adopt(number int64) {
	adopted := slices.IndexFunc(r.grants, func(g grant) bool { return g.number == number })
	if number == 0 || adopted < 0 {
		return
	}
	rest := grant{
		number: number,
		memory: max(r.grants[adopted].memory, r.used),
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

// dropGrants forgets grants that had expired when the engine's list was asked for: whatever began under them
// is in that list.
func (r *recipient) dropGrants(requested time.Time) {
	kept := r.grants[:0]
	for _, g := range r.grants {
		if requested.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	r.grants = kept
}
