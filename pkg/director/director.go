package director

import (
	"cmp"
	"maps"
	"slices"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings define how much capacity is chosen.
type Settings struct {
	// MinCores is the least processor capacity of the chosen instances, in cores, without the data centre that has most of it.
	MinCores float64
	// FleetShare is the least share of the whole deployment's capacity, counted in the same way.
	FleetShare float64
	// Headroom times the capacity in use is the least capacity, counted in the same way.
	Headroom float64
	// MaxInstances is the maximum number of chosen instances.
	MaxInstances int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MinCores:   3,
		FleetShare: 1.0 / 8,
		Headroom:   4,
		// Callers use at most 64 of the addresses in an answer.
		MaxInstances: 64,
	}
}

// Candidate is an instance that can serve callers.
type Candidate struct {
	Name       string
	DataCentre namer.DataCentre
	// Cores is the processor capacity; 0 means unknown.
	Cores float64
}

// Choose returns the names of the instances that callers should use. It takes the strongest of each data centre in turn until the
// capacity suffices without any one data centre. fleetCores is the capacity of the whole deployment, and usedCores the capacity that
// the load takes at present, both in cores.
func Choose(candidates []Candidate, fleetCores, usedCores float64, s Settings) map[string]bool {
	needed := max(s.MinCores, s.FleetShare*fleetCores, s.Headroom*usedCores)
	groups := byDataCentre(candidates)
	order := slices.Sorted(maps.Keys(groups))
	capacity := map[namer.DataCentre]float64{}
	chosen := map[string]bool{}
	for round := 0; !suffices(capacity, needed); round++ {
		before := len(chosen)
		for _, d := range order {
			if round < len(groups[d]) && len(chosen) < s.MaxInstances {
				c := groups[d][round]
				chosen[c.Name] = true
				capacity[d] += c.Cores
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}

// byDataCentre returns the candidates of each data centre, strongest first.
func byDataCentre(candidates []Candidate) map[namer.DataCentre][]Candidate {
	groups := map[namer.DataCentre][]Candidate{}
	for _, c := range candidates {
		groups[c.DataCentre] = append(groups[c.DataCentre], c)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
		})
	}
	return groups
}

// suffices reports whether the capacity without the largest data centre is enough; with only one data centre, its own counts.
func suffices(capacity map[namer.DataCentre]float64, needed float64) bool {
	total, largest := 0.0, 0.0
	for _, cores := range capacity {
		total += cores
		largest = max(largest, cores)
	}
	if len(capacity) > 1 {
		total -= largest
	}
	return total >= needed
}
