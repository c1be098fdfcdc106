package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the tuning parameters of the balancer.
type Settings struct {
	// FailureWeight is the weight of the latest outcome in a target's moving failure rate.
	FailureWeight float64
	// FailureCost is the cost of a failure rate of 1, relative to a target with all slots in use.
	FailureCost float64
	// DistanceCost is the cost of a target in another data centre, relative to a target with all slots in use.
	DistanceCost float64
	// Avoid is how long an unreachable target is avoided.
	Avoid time.Duration
	// Recovery is the half-life of a failure rate; without decay, a target that is never chosen would keep its rate.
	Recovery time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		FailureWeight: 0.2,
		FailureCost:   20,
		DistanceCost:  0.5,
		Avoid:         time.Second,
		Recovery:      2 * time.Second,
	}
}

// Target is a target of a plain service.
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

// Outcomes of a request.
const (
	// Answered means that the target sent a complete answer.
	Answered Outcome = iota
	// Rejected means that the target did not run the request.
	Rejected
	// Failed means that the answer was missing or incomplete.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the caller disconnected.
	Abandoned
)

type target struct {
	Target
	inFlight    int
	failureRate float64
	// updated is when failureRate last changed.
	updated    time.Time
	avoidUntil time.Time
}

// Balancer tracks the requests in flight and the failure rate of each target, for the requests of one instance.
type Balancer struct {
	settings   Settings
	dataCentre namer.DataCentre
	targets    map[namer.Target]*target
	order      []*target
	// rotation counts the calls of Pick; each call starts at another target.
	rotation int
}

// New returns a balancer for an instance in a data centre.
func New(settings Settings, dataCentre namer.DataCentre) *Balancer {
	return &Balancer{
		settings:   settings,
		dataCentre: dataCentre,
		targets:    map[namer.Target]*target{},
	}
}

// SetTargets replaces the set of usable targets; the state of targets that remain is kept.
func (b *Balancer) SetTargets(targets []Target) {
	fresh := make(map[namer.Target]*target, len(targets))
	b.order = b.order[:0]
	for _, t := range targets {
		known := b.targets[t.ID]
		if known == nil || !known.Started.Equal(t.Started) {
			known = &target{}
		}
		known.Target = t
		fresh[t.ID] = known
		b.order = append(b.order, known)
	}
	b.targets = fresh
	slices.SortFunc(b.order, func(x, y *target) int {
		return cmp.Compare(x.ID, y.ID)
	})
}

// Pick chooses a target of a service and counts the request as in flight; the caller must call Done at its end.
func (b *Balancer) Pick(now time.Time, service namer.Service, exclude []namer.Target) (Target, bool) {
	var best *target
	lowest := 0.0
	b.rotation++
	for i := range b.order {
		// Rotating the start spreads requests over equally good targets.
		t := b.order[(i+b.rotation)%len(b.order)]
		if t.Service != service || slices.Contains(exclude, t.ID) {
			continue
		}
		cost := b.cost(now, t)
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	if best == nil {
		return Target{}, false
	}
	best.inFlight++
	return best.Target, true
}

// avoidCost ranks avoided targets behind all others.
const avoidCost = 1000

func (b *Balancer) cost(now time.Time, t *target) float64 {
	halvings := float64(now.Sub(t.updated)) / float64(b.settings.Recovery)
	rate := t.failureRate * math.Exp2(-halvings)
	cost := float64(t.inFlight)/float64(max(1, t.Slots)) + b.settings.FailureCost*rate*rate
	if t.DataCentre != b.dataCentre {
		cost += b.settings.DistanceCost
	}
	if now.Before(t.avoidUntil) {
		cost += avoidCost
	}
	return cost
}

// Done records the outcome of a request after Pick.
func (b *Balancer) Done(now time.Time, id namer.Target, outcome Outcome) {
	t := b.targets[id]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
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
	t.failureRate += b.settings.FailureWeight * (failed - t.failureRate)
	t.updated = now
}
