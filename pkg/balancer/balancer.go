package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the constants of the balancer.
type Settings struct {
	// FailureWeight is the share of one outcome in a target's failure rate.
	FailureWeight float64
	// FailureCost is what a failure rate of 1 costs, in requests.
	FailureCost float64
	// DistanceCost is what a target in another data centre costs, in requests.
	DistanceCost float64
	// Avoid is how long a target that could not be reached is avoided.
	Avoid time.Duration
	// Recovery halves a failure rate: a target that is never chosen would otherwise keep it.
	Recovery time.Duration
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		FailureWeight: 0.2,
		FailureCost:   20,
		DistanceCost:  0.5,
		Avoid:         time.Second,
		Recovery:      2 * time.Second,
	}
}

// Target is one target of a plain service.
type Target struct {
	ID         namer.Target
	Service    namer.Service
	Address    string
	DataCentre namer.DataCentre
	Slots      int
	Started    time.Time
}

// Outcome is how a request ended at its target.
type Outcome int

// The outcomes.
const (
	// Answered means that the target gave a whole answer of its own.
	Answered Outcome = iota
	// Rejected means that the target did not run the request.
	Rejected
	// Failed means that no whole answer came.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the caller left.
	Abandoned
)

type target struct {
	Target
	busy       int
	failures   float64
	updated    time.Time
	avoidUntil time.Time
}

// Balancer counts the requests of this instance.
type Balancer struct {
	settings   Settings
	dataCentre namer.DataCentre
	targets    map[namer.Target]*target
	order      []*target
	turn       int
}

// New returns a balancer for an instance in a data centre.
func New(settings Settings, dataCentre namer.DataCentre) *Balancer {
	return &Balancer{
		settings:   settings,
		dataCentre: dataCentre,
		targets:    map[namer.Target]*target{},
	}
}

// SetTargets replaces the targets that may be used.
func (b *Balancer) SetTargets(targets []Target) {
	fresh := make(map[namer.Target]*target, len(targets))
	b.order = b.order[:0]
	for _, one := range targets {
		known := b.targets[one.ID]
		if known == nil || !known.Started.Equal(one.Started) {
			known = &target{}
		}
		known.Target = one
		fresh[one.ID] = known
		b.order = append(b.order, known)
	}
	b.targets = fresh
	slices.SortFunc(b.order, func(x, y *target) int {
		return cmp.Compare(x.ID, y.ID)
	})
}

// Pick chooses a target of a service and counts the request there; Done must follow.
func (b *Balancer) Pick(now time.Time, service namer.Service, exclude []namer.Target) (Target, bool) {
	var best *target
	lowest := 0.0
	b.turn++
	for i := range b.order {
		// Starting elsewhere each time spreads requests over targets that are alike.
		one := b.order[(i+b.turn)%len(b.order)]
		if one.Service != service || slices.Contains(exclude, one.ID) {
			continue
		}
		cost := b.cost(now, one)
		if best == nil || cost < lowest {
			best, lowest = one, cost
		}
	}
	if best == nil {
		return Target{}, false
	}
	best.busy++
	return best.Target, true
}

// avoidCost ranks targets to avoid behind all others.
const avoidCost = 1000

func (b *Balancer) cost(now time.Time, t *target) float64 {
	halvings := float64(now.Sub(t.updated)) / float64(b.settings.Recovery)
	rate := t.failures * math.Exp2(-halvings)
	cost := float64(t.busy)/float64(max(1, t.Slots)) + b.settings.FailureCost*rate*rate
	if t.DataCentre != b.dataCentre {
		cost += b.settings.DistanceCost
	}
	if now.Before(t.avoidUntil) {
		cost += avoidCost
	}
	return cost
}

// Done records how a picked request ended.
func (b *Balancer) Done(now time.Time, id namer.Target, outcome Outcome) {
	t := b.targets[id]
	if t == nil {
		return
	}
	t.busy = max(0, t.busy-1)
	failed := 0.0
	switch outcome {
	case Abandoned:
		return
	case Unreachable:
		t.avoidUntil = now.Add(b.settings.Avoid)
		failed = 1
	case Failed, Rejected:
		failed = 1
	case Answered:
	}
	t.failures += b.settings.FailureWeight * (failed - t.failures)
	t.updated = now
}
