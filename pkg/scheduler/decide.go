package scheduler

import (
	"math"
	"slices"
	"time"
)

// Decide places and refuses what it can at this time.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.findOverdue(now)
	if len(s.queue) == 0 {
		return nil
	}
	s.rank(now)
	s.round++
	s.unplaced = s.unplaced[:0]
	var decisions []Decision
	kept := s.queue[:0]
	for _, q := range s.queue {
		if d := s.decide(now, q); d != nil {
			decisions = append(decisions, d)
			continue
		}
		kept = append(kept, q)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return decisions
}

// findOverdue suspects engines whose first event should long have come.
func (s *Scheduler) findOverdue(now time.Time) {
	for _, one := range s.running {
		if one.started || one.judged || now.Before(one.expected.Add(s.settings.Overdue)) || len(one.helpers) > 0 {
			continue
		}
		one.judged = true
		s.suspect(now, one.engine, one.placed)
	}
}

// rank orders the queue: more important customers first, then by the value of a request for each unit of work.
func (s *Scheduler) rank(now time.Time) {
	slices.SortStableFunc(s.queue, func(a, b *Request) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		da, db := s.density(now, a), s.density(now, b)
		switch {
		case da > db:
			return -1
		case da < db:
			return 1
		default:
			return a.Arrived.Compare(b.Arrived)
		}
	})
}

// outputWeight is the worth of an output token in prompt tokens.
const outputWeight = 10

// lateShare is what is left of the value of a request that misses its target latency.
const lateShare = 0.25

func (s *Scheduler) density(now time.Time, r *Request) float64 {
	speed := s.speed(r)
	if speed == nil {
		return 0
	}
	work := readTime(&speed.Speed, r.Prompt, 1) + time.Duration(speed.Speed.StepsPerPass)*speed.Speed.Step
	value := float64(r.Prompt + outputWeight*r.Output)
	if now.Sub(r.Arrived) > r.Latency {
		value *= lateShare
	}
	return value / work.Seconds()
}

// speed returns any engine of the request's service.
func (s *Scheduler) speed(r *Request) *engine {
	for _, e := range s.order {
		if e.Service == r.Service {
			return e
		}
	}
	return nil
}

// load averages the pressure up to now and adds reading.
func (s *Scheduler) load(now time.Time, work time.Duration) {
	since := now.Sub(s.pressureAt)
	s.pressure *= math.Exp(-float64(since) / float64(s.settings.PressureTime))
	s.pressureAt = now
	if len(s.order) > 0 {
		s.pressure += float64(work) / float64(s.settings.PressureTime) / float64(len(s.order))
	}
}

// heavy reports whether a prompt costs more reading than it is worth at the present pressure.
func (s *Scheduler) heavy(now time.Time, r *Request) bool {
	s.load(now, 0)
	excess := (s.pressure - s.settings.CalmPressure) / (1 - s.settings.CalmPressure)
	return excess > 0 && s.density(now, r) < excess*s.settings.FullDensity
}

// largest returns the memory of as many engines as may share one prompt.
func (s *Scheduler) largest(r *Request) int {
	tokens := 0
	shares := 0
	for _, e := range s.order {
		if e.Service == r.Service && shares < s.settings.MaxParts {
			tokens += int(s.settings.MemoryShare * float64(e.Speed.MemoryTokens))
			shares++
		}
	}
	return tokens
}

// patience is how long a request may wait.
func (s *Scheduler) patience(r *Request) time.Duration {
	return max(s.settings.MinPatience, time.Duration(s.settings.Patience*float64(r.Latency)))
}

func (s *Scheduler) decide(now time.Time, r *Request) Decision {
	waited := now.Sub(r.Arrived)
	refuse := func(reason RefuseReason, after time.Duration) Decision {
		return Refuse{
			Request:    r.ID,
			Reason:     reason,
			RetryAfter: after,
			Waited:     waited,
			Queued:     len(s.queue),
			Engines:    len(s.order),
			Pressure:   s.pressure,
		}
	}
	if s.speed(r) == nil {
		return refuse(NoEngine, noEngineRetry)
	}
	if !now.Before(r.Deadline) {
		return refuse(TooLate, 0)
	}
	if r.planned() > s.largest(r) {
		return refuse(TooLarge, 0)
	}
	if !r.Retried && s.heavy(now, r) {
		hold := time.Duration(s.settings.HeavyHold * float64(r.Latency))
		if !r.Returned && waited > hold {
			return refuse(Overload, r.Deadline.Sub(now)/retryShare)
		}
		if waited > s.patience(r) {
			return refuse(Overload, 0)
		}
		return nil
	}
	placement, found := s.place(now, r)
	if found {
		placement.Waited = waited
		return Place{
			Request:   r.ID,
			Placement: placement,
		}
	}
	if !r.Retried && waited > s.patience(r) {
		return refuse(Overload, overloadRetry)
	}
	return nil
}

const (
	// noEngineRetry is when a caller may try again if no engine is in service: an engine takes seconds to start.
	noEngineRetry = time.Second
	// retryShare divides the time that a caller has left: callers heed no longer delay than a third of it.
	retryShare = 3
	// overloadRetry is when a caller may try again after waiting in vain.
	overloadRetry = time.Second
)
