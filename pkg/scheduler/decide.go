package scheduler

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
)

// Decide returns the placements and refusals that are due now; other requests stay queued.
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

// findOverdue updates the pace of the engines, and counts a failure of each engine whose first event is overdue for longer. Prompts that
// several engines share are left out.
func (s *Scheduler) findOverdue(now time.Time) {
	for _, e := range s.order {
		e.slowdown = e.pace.slowdown(now)
	}
	for _, r := range s.running {
		if !r.started && r.overdue(now) {
			s.observeFirstEvent(now, r)
		}
		if r.started || r.failureCounted || now.Before(r.firstEventExpected.Add(s.settings.FirstEventGrace)) || len(r.helpers) > 0 {
			continue
		}
		r.failureCounted = true
		s.backOff(now, r.engine, r.placedAt)
	}
}

// rank sorts the queue by priority, then by value per second of work, then by arrival.
func (s *Scheduler) rank(now time.Time) {
	slices.SortStableFunc(s.queue, func(a, b *Request) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		da, db := s.presentDensity(now, a), s.presentDensity(now, b)
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

// outputWeight is the value of an output token in prompt tokens.
const outputWeight = 10

// lateShare is the share of its value that a request keeps after missing its target latency.
const lateShare = 0.25

// presentDensity returns the value that a request still has per second of work, in prompt tokens.
func (s *Scheduler) presentDensity(now time.Time, r *Request) float64 {
	if now.Sub(r.Arrived) > r.TargetLatency {
		return lateShare * s.density(r)
	}
	return s.density(r)
}

// density returns the value of an answer on time per second of work, in prompt tokens.
func (s *Scheduler) density(r *Request) float64 {
	speed := s.anyEngine(r)
	if speed == nil {
		return 0
	}
	work := prefillTime(&speed.Speed, r.PromptTokens, 1) + time.Duration(speed.Speed.StepsPerPass)*speed.Speed.Step
	return float64(r.value()) / work.Seconds()
}

// anyEngine returns some engine of the request's service, or nil; all engines of a service have the same speed.
func (s *Scheduler) anyEngine(r *Request) *engine {
	for _, e := range s.order {
		if e.Service == r.Service {
			return e
		}
	}
	return nil
}

// allExcluded reports whether each engine of the request's service is excluded for it.
func (s *Scheduler) allExcluded(r *Request) bool {
	if len(r.Exclude) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.order, func(e *engine) bool {
		return e.Service == r.Service && !slices.Contains(r.Exclude, e.ID)
	})
}

// addPressure decays the moving average of the pressure to the current time and adds prefill work.
func (s *Scheduler) addPressure(now time.Time, work time.Duration) {
	since := now.Sub(s.pressureAt)
	s.pressure *= math.Exp(-float64(since) / float64(s.settings.PressureTime))
	s.pressureAt = now
	if len(s.order) > 0 {
		s.pressure += float64(work) / float64(s.settings.PressureTime) / float64(len(s.order))
	}
}

// belowValueFloor reports whether the value of a prompt per second of prefill is below what the current pressure requires. Its time in
// the queue has no part in this: the queue time limit bounds it.
func (s *Scheduler) belowValueFloor(now time.Time, r *Request) bool {
	s.addPressure(now, 0)
	excess := (s.pressure - s.settings.FreePressure) / (1 - s.settings.FreePressure)
	return excess > 0 && s.density(r) < excess*s.settings.FullDensity
}

// maxPromptMemory returns the total memory of the engines that may share one prompt, in tokens.
func (s *Scheduler) maxPromptMemory(r *Request) int {
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

// maxQueueTime returns how long a request may stay queued. A prompt beyond one engine's memory finds room only between bursts, so it waits
// for as long as its answer can be complete in time; after a refusal its caller would come back to the same engines.
func (s *Scheduler) maxQueueTime(now time.Time, r *Request) time.Duration {
	longest := max(s.settings.MinQueueTime, time.Duration(s.settings.MaxQueueShare*float64(r.TargetLatency)))
	if e := s.anyEngine(r); e != nil && (s.exceedsOneEngine(r) || s.yields(now, r)) {
		first, whole := s.answerTime(r, &e.Speed)
		longest = max(longest, min(r.leaves().Sub(r.Arrived)-first, r.Deadline.Sub(r.Arrived)-whole))
	}
	return longest
}

// exceedsOneEngine reports whether a request needs the memory of several engines.
func (s *Scheduler) exceedsOneEngine(r *Request) bool {
	e := s.anyEngine(r)
	return e != nil && r.plannedMemory() > int(s.settings.MemoryShare*float64(e.Speed.MemoryTokens))
}

// answerTime returns how long busy engines take until the first event of a prompt that as many as possible share, and until the end of
// its answer.
func (s *Scheduler) answerTime(r *Request, speed *matcher.Engine) (first, whole time.Duration) {
	prefill := s.settings.BusyFactor * float64(prefillTime(speed, r.PromptTokens, s.settings.MaxParts))
	decode := s.settings.BusyFactor * float64(time.Duration(r.OutputTokens)*speed.Step)
	return time.Duration(prefill), time.Duration(prefill + decode)
}

func (s *Scheduler) decide(now time.Time, r *Request) Decision {
	waited := now.Sub(r.Arrived)
	limit := Limit("")
	refuse := func(reason RefuseReason, after time.Duration) Decision {
		return Refuse{
			Request:    r.ID,
			Reason:     reason,
			RetryAfter: after,
			Waited:     waited,
			Queued:     len(s.queue),
			Engines:    len(s.order),
			Pressure:   s.pressure,
			Obstacle:   r.obstacle,
			Limit:      limit,
		}
	}
	if s.anyEngine(r) == nil || s.allExcluded(r) {
		return refuse(NoEngine, noEngineRetry)
	}
	if !now.Before(r.leaves()) {
		return refuse(TooLate, 0)
	}
	if r.plannedMemory() > s.maxPromptMemory(r) {
		return refuse(TooLarge, 0)
	}
	if !r.Retried && s.belowValueFloor(now, r) {
		limit = LimitValue
		hold := time.Duration(s.settings.HoldShare * float64(r.TargetLatency))
		if !r.Resubmitted && waited > hold {
			return refuse(Overload, r.Deadline.Sub(now)/retryDivisor)
		}
		if waited > s.maxQueueTime(now, r) {
			return refuse(Overload, 0)
		}
		return nil
	}
	if !now.Before(r.nextSearch) {
		placement, found := s.place(now, r)
		if found {
			placement.Waited = waited
			return Place{
				Request:   r.ID,
				Placement: placement,
			}
		}
		if waited > r.TargetLatency && s.exceedsOneEngine(r) {
			r.nextSearch = now.Add(lateSearchInterval)
		} else if s.yields(now, r) {
			r.nextSearch = now.Add(yieldInterval)
		}
	}
	if !r.Retried && waited > s.maxQueueTime(now, r) {
		limit = LimitTime
		return refuse(Overload, overloadRetry)
	}
	return nil
}

// lateSearchInterval is the time between two searches for engines for a prompt beyond one engine's memory that has missed its target
// latency. Each search compares all engines for all numbers of parts.
const lateSearchInterval = 50 * time.Millisecond

const (
	// noEngineRetry is the retry delay if no engine is in service: an engine takes seconds to start.
	noEngineRetry = time.Second
	// retryDivisor divides the time left until the deadline to get the retry delay: callers ignore delays above a third of
	// that time.
	retryDivisor = 3
	// overloadRetry is the retry delay after the queue time limit was exceeded.
	overloadRetry = time.Second
)
