package tracker

import (
	"cmp"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	// maxAddresses is the maximum number of addresses in an answer.
	maxAddresses = 3
	// maxPerDataCentre leaves room for another data centre, so that a caller has an address left when one fails.
	maxPerDataCentre = 2
)

// candidate is an instance whose address may be given to callers.
type candidate struct {
	address Address
	suspect bool
	// rank is the position in the rotation of the data centre, which spreads callers over its instances.
	rank int
}

// Addresses returns up to three addresses, nearest to the data centre near first. number is a counter of answers, which
// rotates the instances of each data centre, so that successive answers start at different ones.
func (t *Tracker) Addresses(near namer.DataCentre, number uint64, now time.Time) []Address {
	if near == "" {
		near = t.settings.DataCentre
	}
	candidates := t.candidates(now)
	rotate(candidates, number)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(t.distance(near, a), t.distance(near, b)),
			compareBool(a.suspect, b.suspect),
			cmp.Compare(a.rank, b.rank),
		)
	})
	return firstAddresses(candidates)
}

// UsableInstances returns the number of instances whose addresses are given to callers, including this one; at least 1.
func (t *Tracker) UsableInstances(now time.Time) int {
	return max(1, len(t.candidates(now)))
}

// candidates returns the instances that callers may use, sorted by name.
func (t *Tracker) candidates(now time.Time) []candidate {
	var candidates []candidate
	if t.state == StateServing && !t.dataCentreOutOfService(t.settings.DataCentre) && !t.Isolated(now) {
		candidates = append(candidates, candidate{
			address: Address{
				Instance:   t.settings.Self.Instance,
				Address:    t.settings.CallerAddress,
				DataCentre: t.settings.DataCentre,
			},
		})
	}
	for _, p := range t.members {
		if t.usable(p, now) {
			candidates = append(candidates, candidate{
				address: Address{
					Instance:   p.holder.Instance,
					Address:    p.callerAddress,
					DataCentre: p.dataCentre,
				},
				suspect: now.Sub(p.lastHeard) >= t.settings.SuspectAfter,
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(a.address.Instance, b.address.Instance)
	})
	return candidates
}

func (t *Tracker) usable(p *member, now time.Time) bool {
	entry := t.list[p.holder.Instance]
	listedLeaving := entry != nil && entry.leaving
	return p.state == StateServing && p.callerAddress != "" && !listedLeaving &&
		!t.isLost(p, now) && !t.dataCentreOutOfService(p.dataCentre)
}

// rotate ranks the instances of each data centre, starting at the one that number selects.
func rotate(candidates []candidate, number uint64) {
	sizes := map[namer.DataCentre]int{}
	for _, c := range candidates {
		sizes[c.address.DataCentre]++
	}
	seen := map[namer.DataCentre]int{}
	for i, c := range candidates {
		size := sizes[c.address.DataCentre]
		start := int(number % uint64(size))
		candidates[i].rank = (seen[c.address.DataCentre] - start + size) % size
		seen[c.address.DataCentre]++
	}
}

// distance ranks data centres: first the caller's, then those of Nearest in order, then all others equally.
func (t *Tracker) distance(near namer.DataCentre, c candidate) int {
	if c.address.DataCentre == near {
		return -1
	}
	if i := slices.Index(t.settings.Nearest, c.address.DataCentre); i >= 0 {
		return i
	}
	return len(t.settings.Nearest)
}

// firstAddresses returns the first maxAddresses candidates, with more than maxPerDataCentre of one data centre only if the
// others are too few.
func firstAddresses(candidates []candidate) []Address {
	chosen := make([]Address, 0, maxAddresses)
	var spare []Address
	count := map[namer.DataCentre]int{}
	for _, c := range candidates {
		if count[c.address.DataCentre] == maxPerDataCentre || len(chosen) == maxAddresses {
			spare = append(spare, c.address)
			continue
		}
		count[c.address.DataCentre]++
		chosen = append(chosen, c.address)
	}
	missing := min(maxAddresses-len(chosen), len(spare))
	return append(chosen, spare[:missing]...)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
