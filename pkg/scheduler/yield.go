package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/forecaster"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	// keptSurplus is the number of engines kept for a demand, as a multiple of those that it occupies: arrivals are uneven.
	keptSurplus = 1.1
	// maxKeptShare is the share of the engines that may be kept, so that the lowest rank is served, too.
	maxKeptShare = 0.75
	// partsPerTarget is the number of parts of lower ranks that may come to a kept engine within the target latency of its rank.
	partsPerTarget = 4
	// yieldInterval is the time between two searches for engines for a request that yields to higher ranks.
	yieldInterval = 20 * time.Millisecond
)

// kept is the expected demand for which an engine is kept.
type kept struct {
	demand forecaster.Demand
	// engines is the number of engines kept for it.
	engines int
}

// keptRound is the round for which the engines of a service were last kept, and the ranks for which some are, the most important first.
type keptRound struct {
	round int
	ranks []int
}

// expect counts a request as demand of its rank.
func (s *Scheduler) expect(r *Request) {
	e := s.anyEngine(r)
	if e == nil || r.Retried {
		return
	}
	prefill := prefillTime(&e.Speed, r.PromptTokens, 1)
	s.forecast.Add(r.Arrived, forecaster.Arrival{
		Service: r.Service,
		Rank:    r.Rank,
		Work:    prefill + e.slotTime(r),
		Prefill: prefill,
		Target:  r.TargetLatency,
		Value:   float64(r.value()),
	})
}

// slotTime returns the share of an engine's time that the decode of a request takes if all slots are used by requests like it.
func (e *engine) slotTime(r *Request) time.Duration {
	slots := max(1, e.Slots)
	step := e.Speed.Step + time.Duration(slots)*e.Speed.StepPerDecodingRequest +
		time.Duration(float64(slots*r.PromptTokens)/1000*float64(e.Speed.StepPerThousandTokens))
	return time.Duration(r.OutputTokens) * step / time.Duration(slots)
}

// keep chooses the engines that are kept for each rank of a service but the lowest, as many as its demand occupies: those that are kept
// already, then those with the most requests of the rank.
func (s *Scheduler) keep(now time.Time, service namer.Service) {
	known, found := s.keptRounds[service]
	if found && known.round == s.round {
		return
	}
	known.round = s.round
	known.ranks = known.ranks[:0]
	defer func() { s.keptRounds[service] = known }()
	var free []*engine
	for _, e := range s.order {
		if e.Service == service {
			free = append(free, e)
		}
	}
	left := int(maxKeptShare * float64(len(free)))
	demands := s.forecast.Demands(now, service)
	for i := range max(0, len(demands)-1) {
		d := demands[i]
		n := min(left, int(math.Ceil(keptSurplus*max(d.Engines, s.occupied(service, d.Rank)))))
		left -= n
		if n > 0 {
			known.ranks = append(known.ranks, d.Rank)
		}
		slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(b.claim(d.Rank), a.claim(d.Rank)) })
		for _, e := range free[:n] {
			e.kept = &kept{
				demand:  d,
				engines: n,
			}
		}
		free = free[n:]
	}
	for _, e := range free {
		e.kept = nil
	}
}

// claim orders engines by whether they are kept for a rank already, then by how many requests of it they answer.
func (e *engine) claim(rank int) int {
	claim := 0
	for _, r := range e.runs {
		if r.request.Rank == rank {
			claim++
		}
	}
	if e.isKeptFor(rank) {
		claim += e.Slots + 1
	}
	return claim
}

// isKeptFor reports whether the engine is kept for a rank.
func (e *engine) isKeptFor(rank int) bool {
	return e.kept != nil && e.kept.demand.Rank == rank
}

// keepsFor reports whether engines are kept for the rank of a request.
func (s *Scheduler) keepsFor(r *Request) bool {
	return slices.Contains(s.keptRounds[r.Service].ranks, r.Rank)
}

// draw returns how strongly an engine draws a request with a short pause limit: by its streams, and first if it is kept for the rank.
func (e *engine) draw(r *Request) int {
	if e.isKeptFor(r.Rank) {
		return len(e.runs) + e.Slots
	}
	return len(e.runs)
}

// occupied returns how many engines the running requests of a rank occupy if they are packed.
func (s *Scheduler) occupied(service namer.Service, rank int) float64 {
	occupied := 0.0
	for _, r := range s.running {
		if r.request.Service == service && r.request.Rank == rank {
			occupied += 1 / float64(max(1, r.engine.Slots))
		}
	}
	return occupied
}

// yields reports whether engines are kept for higher ranks than that of a request.
func (s *Scheduler) yields(now time.Time, r *Request) bool {
	s.keep(now, r.Service)
	ranks := s.keptRounds[r.Service].ranks
	return len(ranks) > 0 && ranks[0] < r.Rank
}

// keptFrom reports whether the engine is kept for a higher rank than that of a request.
func (e *engine) keptFrom(r *Request) bool {
	return e.kept != nil && e.kept.demand.Rank < r.Rank
}

// expectedLoss returns the value that requests of higher ranks would lose that are expected on an engine while it prefills a part of a
// prompt, since they would wait for its pass.
func (s *Scheduler) expectedLoss(now time.Time, r *Request, e *engine, work time.Duration) float64 {
	if !e.keptFrom(r) {
		return 0
	}
	d := e.kept.demand
	pass := totalWork(e.waiting) + work
	if e.decoding == 0 {
		pass += max(0, e.passEnd.Sub(now))
	}
	own := d.Prefill + 2*e.decodeTime() + s.settings.Transit + s.settings.PauseMargin
	if pass <= (d.Target-own)/partsPerTarget {
		return 0
	}
	return (1 - lateShare) * d.Value / float64(e.kept.engines) * pass.Seconds()
}

// mayPress reports whether a request that yields may take value from others: in the last moments in which it can still be in time, or of
// use at all.
func (s *Scheduler) mayPress(now time.Time, r *Request) bool {
	waited := now.Sub(r.Arrived)
	first, _ := s.answerTime(r, &s.anyEngine(r).Speed)
	for _, limit := range []time.Duration{r.TargetLatency - first, s.maxQueueTime(now, r)} {
		if waited >= limit-s.settings.MinQueueTime && waited <= limit {
			return true
		}
	}
	return false
}

// ownLoss returns the value that a request of a service with several ranks loses if its first event comes at the given time.
func (s *Scheduler) ownLoss(now time.Time, r *Request, first time.Time) float64 {
	if !s.forecast.Ranked(now, r.Service) {
		return 0
	}
	return float64(r.value()) - r.valueAt(first)
}

// RankLoad is the demand of one rank of a service and what is kept for it.
type RankLoad struct {
	Service namer.Service
	forecaster.Demand
	// Kept is the number of engines kept for the rank.
	Kept int
}

// rankLoads returns the demand of each rank of the services that have several.
func (s *Scheduler) rankLoads(now time.Time) []RankLoad {
	var list []RankLoad
	for service := range s.keptRounds {
		if !s.forecast.Ranked(now, service) {
			continue
		}
		for _, d := range s.forecast.Demands(now, service) {
			load := RankLoad{
				Service: service,
				Demand:  d,
			}
			for _, e := range s.order {
				if e.Service == service && e.isKeptFor(d.Rank) {
					load.Kept++
				}
			}
			list = append(list, load)
		}
	}
	slices.SortFunc(list, func(a, b RankLoad) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank)) })
	return list
}
