package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// grantQuota computes the quota of one recipient and charges it until it is known to be unused.
func (a *Allocator) grantQuota(to namer.Holder, now time.Time) Action {
	r := a.recipient(to)
	r.heardAt = now
	limit := a.limit()
	g := grant{
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

// poolBesideWaiting lets quotas shrink while a one-off reservation waits for memory.
func (a *Allocator) poolBesideWaiting(pool int) int {
	if len(a.waiting) == 0 {
		return pool
	}
	return max(int(float64(pool)*idleShare), pool-a.waiting[0].ask.Tokens)
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
