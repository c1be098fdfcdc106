package forecaster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Arrival is what one request brings.
type Arrival struct {
	Service namer.Service
	// Rank is the rank of the request; 0 is the most important.
	Rank int
	// Work is the time for which the request occupies a whole engine.
	Work time.Duration
	// Prefill is the prefill time of the request, and Target its latency objective.
	Prefill time.Duration
	Target  time.Duration
	// Value is the value of its answer on time, in prompt tokens.
	Value float64
}

// Demand is what the requests of one rank bring in a second.
type Demand struct {
	Rank int
	// Requests is the number of requests a second, Engines how many engines they occupy, and Value their value a second.
	Requests float64
	Engines  float64
	Value    float64
	// Prefill is the mean prefill time of a request, and Target the mean latency objective.
	Prefill time.Duration
	Target  time.Duration
}

// Forecaster keeps a moving average of arrivals by service and rank. It has no clock; callers pass the current time.
type Forecaster struct {
	memory   time.Duration
	services map[namer.Service]map[int]*average
	// odd is when a service last had an odd rank.
	odd map[namer.Service]time.Time
}

// average is a decaying sum of arrivals; prefill, target and work are in seconds.
type average struct {
	at                                     time.Time
	requests, work, value, prefill, target float64
}

// New returns a forecaster that forgets arrivals with the given time constant.
func New(memory time.Duration) *Forecaster {
	return &Forecaster{
		memory:   memory,
		services: map[namer.Service]map[int]*average{},
		odd:      map[namer.Service]time.Time{},
	}
}

// maxRanks is the number of ranks of one service up to which they are told apart.
const maxRanks = 16

// Add counts an arrival.
func (f *Forecaster) Add(now time.Time, a Arrival) {
	ranks := f.services[a.Service]
	if ranks == nil {
		ranks = map[int]*average{}
		f.services[a.Service] = ranks
	}
	known := ranks[a.Rank]
	if a.Rank < 0 || known == nil && len(ranks) == maxRanks {
		f.odd[a.Service] = now
		return
	}
	if known == nil {
		known = &average{
			at: now,
		}
		ranks[a.Rank] = known
	}
	known.decay(now, f.memory)
	known.requests++
	known.work += a.Work.Seconds()
	known.value += a.Value
	known.prefill += a.Prefill.Seconds()
	known.target += a.Target.Seconds()
}

func (a *average) decay(now time.Time, memory time.Duration) {
	if !now.After(a.at) {
		return
	}
	factor := math.Exp(-float64(now.Sub(a.at)) / float64(memory))
	a.at = now
	a.requests *= factor
	a.work *= factor
	a.value *= factor
	a.prefill *= factor
	a.target *= factor
}

// minRequests is the decaying number of requests below which a rank counts as not asked for.
const minRequests = 0.5

// Demands returns the demand of each rank that is asked for, the most important first. It is empty for a service with odd ranks.
func (f *Forecaster) Demands(now time.Time, service namer.Service) []Demand {
	if f.isOdd(now, service) {
		return nil
	}
	var list []Demand
	for other, a := range f.services[service] {
		a.decay(now, f.memory)
		if a.requests < minRequests {
			continue
		}
		perSecond := 1 / f.memory.Seconds()
		list = append(list, Demand{
			Rank:     other,
			Requests: a.requests * perSecond,
			Engines:  a.work * perSecond,
			Value:    a.value * perSecond,
			Prefill:  time.Duration(a.prefill / a.requests * float64(time.Second)),
			Target:   time.Duration(a.target / a.requests * float64(time.Second)),
		})
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	return list
}

// Ranked reports whether requests of a service have had different ranks.
func (f *Forecaster) Ranked(now time.Time, service namer.Service) bool {
	return len(f.services[service]) > 1 && !f.isOdd(now, service)
}

// oddMemory is how long an odd rank counts: the rules may have been corrected.
const oddMemory = 30 * time.Second

func (f *Forecaster) isOdd(now time.Time, service namer.Service) bool {
	last, found := f.odd[service]
	return found && now.Sub(last) < oddMemory
}

// Odd returns the services whose ranks are negative or too many to tell apart; none of their requests counts as more important.
func (f *Forecaster) Odd(now time.Time) []namer.Service {
	var list []namer.Service
	for service := range f.odd {
		if f.isOdd(now, service) {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}
