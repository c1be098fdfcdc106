package localizer

import (
	"slices"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Entry is an instance that callers may use.
type Entry struct {
	DataCentre namer.DataCentre
	// Cores is the processor capacity; 0 means unknown.
	Cores float64
}

const (
	// minLocalEntries is the number of instances that callers need in their data centre, so that they have another one if one fails.
	minLocalEntries = 2
	// minLocalShare is the share of an even part of the capacity that the instances of a data centre must have to serve its callers
	// alone.
	minLocalShare = 0.75
)

// Local returns the indexes of the instances that callers of a data centre use: those of that data centre if they are enough, otherwise
// all. Crowded data centres, and data centres that are unknown, get all.
func Local(entries []Entry, d namer.DataCentre, crowded bool) []int {
	local := make([]int, 0, len(entries))
	all := make([]int, 0, len(entries))
	places := map[namer.DataCentre]bool{}
	total, own := 0.0, 0.0
	for i, e := range entries {
		all = append(all, i)
		places[e.DataCentre] = true
		total += e.Cores
		if e.DataCentre == d {
			local = append(local, i)
			own += e.Cores
		}
	}
	if crowded || len(local) < minLocalEntries || own < minLocalShare*total/float64(len(places)) {
		return all
	}
	return local
}

const (
	// crowdedShare is the share in use of the processor capacity of a data centre's instances from which its callers are told to use those
	// elsewhere, too, and calmShare the one below which they no longer are. Callers change instances within seconds.
	crowdedShare = 0.5
	calmShare    = 0.3
)

// Capacity is the processor capacity of the instances of a data centre that callers use, and the part in use, both in cores.
type Capacity struct {
	Cores float64
	Used  float64
}

// Crowded returns the data centres, in order, whose instances have too little capacity left to serve their callers alone; before is its
// previous result.
func Crowded(before []namer.DataCentre, capacities map[namer.DataCentre]Capacity) []namer.DataCentre {
	var crowded []namer.DataCentre
	for d, c := range capacities {
		limit := crowdedShare
		if slices.Contains(before, d) {
			limit = calmShare
		}
		if c.Cores > 0 && c.Used >= limit*c.Cores {
			crowded = append(crowded, d)
		}
	}
	slices.Sort(crowded)
	return crowded
}
