package scheduler

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// observeInterval is the interval at which the loads of the data centres are compared.
const observeInterval = 50 * time.Millisecond

// observeDataCentres updates which data centres are short of engines.
func (s *Scheduler) observeDataCentres(now time.Time) {
	if !s.localizer.Enabled() || now.Sub(s.observedAt) < observeInterval {
		return
	}
	s.observedAt = now
	s.localizer.Observe(now, s.loads(now))
}

// loads returns the work on the usable engines of each data centre.
func (s *Scheduler) loads(now time.Time) map[namer.DataCentre]localizer.Load {
	loads := map[namer.DataCentre]localizer.Load{}
	for _, e := range s.order {
		if !e.usable(now) {
			continue
		}
		load := loads[e.DataCentre]
		load.Engines++
		load.Slots += e.Slots
		load.FreeSlots += max(0, e.Slots-len(e.runs))
		load.Backlog += e.backlog(now)
		loads[e.DataCentre] = load
	}
	return loads
}

// placeLocally returns the placement of a request, in its own data centre unless leaving it pays, and why it leaves.
func (s *Scheduler) placeLocally(now time.Time, r *Request, candidates []*engine, urgent bool) (choice, localizer.Reason) {
	if !s.localizer.Enabled() || r.DataCentre == "" {
		return s.cheapest(now, r, candidates, urgent), localizer.Stays
	}
	s.observeDataCentres(now)
	s.addPressure(now, 0)
	work := localizer.Work{
		Pressure:      s.pressure,
		Bytes:         r.Bytes,
		TargetLatency: r.TargetLatency,
	}
	var home *localizer.Way
	local := choice{}
	if own := s.among(candidates, r.DataCentre); len(own) > 0 {
		if local = s.cheapest(now, r, own, urgent); local.first != nil {
			home = way(now, r, local)
		}
	}
	if home != nil && !s.localizer.Short(r.DataCentre) && s.localizer.Suffices(now, *home, work) {
		return local, localizer.Stays
	}
	best := s.cheapest(now, r, candidates, urgent)
	if best.first == nil {
		return local, localizer.Stays
	}
	if best.first.DataCentre == r.DataCentre {
		return best, localizer.Stays
	}
	work.RoundTrip = 2 * r.distance(best.first)
	reason := s.localizer.Compare(now, r.DataCentre, home, *way(now, r, best), work)
	if reason == localizer.Stays {
		return local, reason
	}
	return best, reason
}

// among returns the engines in a data centre. The result is valid until the next call.
func (s *Scheduler) among(candidates []*engine, d namer.DataCentre) []*engine {
	found := s.localBuffer[:0]
	for _, e := range candidates {
		if e.DataCentre == d {
			found = append(found, e)
		}
	}
	s.localBuffer = found
	return found
}

// way describes a choice to the localizer.
func way(now time.Time, r *Request, c choice) *localizer.Way {
	return &localizer.Way{
		First:        now.Add(c.cost - c.interference).Sub(r.Arrived),
		Interference: c.interference,
		Lost:         c.lost,
	}
}

// distance returns the one-way network time from the request's data centre to an engine.
func (r *Request) distance(e *engine) time.Duration {
	return e.Speed.Distance(r.DataCentre, e.DataCentre)
}
