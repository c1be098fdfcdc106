package scheduler

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Scheduler keeps the queue and the work on engines; it has no clock of its own.
type Scheduler struct {
	settings Settings
	engines  map[namer.Target]*engine
	// order holds the engines by id, so that the same events lead to the same decisions.
	order   []*engine
	queue   []*Request
	running map[namer.Request]*run
}

// run is a placed request.
type run struct {
	request  Request
	engine   *engine
	helpers  []*engine
	tokens   int
	started  bool
	expected time.Time
	judged   bool
}

// New returns a scheduler without engines.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings: settings,
		engines:  map[namer.Target]*engine{},
		running:  map[namer.Request]*run{},
	}
}

// SetEngines replaces the engines that may be used; what is known of those that stay is kept.
func (s *Scheduler) SetEngines(engines []Engine) {
	fresh := make(map[namer.Target]*engine, len(engines))
	s.order = s.order[:0]
	for _, one := range engines {
		known := s.engines[one.ID]
		if known == nil || !known.Started.Equal(one.Started) {
			known = &engine{
				parts: map[namer.Request]piece{},
			}
		}
		known.Engine = one
		fresh[one.ID] = known
		s.order = append(s.order, known)
	}
	s.engines = fresh
	slices.SortFunc(s.order, func(a, b *engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Submit puts a request into the queue.
func (s *Scheduler) Submit(r Request) {
	s.queue = append(s.queue, &r)
}

// Withdraw takes a request out of the queue and reports whether it was there.
func (s *Scheduler) Withdraw(id namer.Request) bool {
	for i, q := range s.queue {
		if q.ID == id {
			s.queue = slices.Delete(s.queue, i, i+1)
			return true
		}
	}
	return false
}

// Queued returns the number of requests that wait.
func (s *Scheduler) Queued() int {
	return len(s.queue)
}

// Running returns the number of placed requests.
func (s *Scheduler) Running() int {
	return len(s.running)
}

// Adopt takes over a request that another scheduler has placed.
func (s *Scheduler) Adopt(now time.Time, r Request, p Placement, started bool) {
	first := s.engines[p.Engine]
	if first == nil || s.running[r.ID] != nil {
		return
	}
	helpers := make([]*engine, 0, len(p.Helpers))
	for _, h := range p.Helpers {
		if e := s.engines[h.Engine]; e != nil {
			helpers = append(helpers, e)
		}
	}
	s.start(now, r, first, helpers)
	if started {
		s.Started(now, r.ID)
	}
}

// Started records the first event of a request: its prompt has been read.
func (s *Scheduler) Started(now time.Time, id namer.Request) {
	one := s.running[id]
	if one == nil || one.started {
		return
	}
	one.started = true
	s.settle(now, one)
	one.engine.writers++
	one.engine.context += one.request.Prompt
	one.engine.failures = 0
}

// Ended records the end of a request on its engines; faulty names the engine that failed, if it is not the first one.
func (s *Scheduler) Ended(now time.Time, id namer.Request, outcome Outcome, faulty namer.Target) {
	one := s.running[id]
	if one == nil {
		return
	}
	delete(s.running, id)
	if one.started {
		one.engine.writers--
		one.engine.context -= one.request.Prompt
	} else {
		s.settle(now, one)
	}
	one.engine.requests--
	one.engine.memory -= one.tokens
	for _, h := range one.helpers {
		h.helping--
	}
	guilty := one.engine
	if other := s.engines[faulty]; other != nil {
		guilty = other
	}
	switch {
	case outcome == Failed && !one.judged:
		s.suspect(now, guilty)
	case outcome == Rejected && !one.judged:
		s.suspect(now, guilty)
	case outcome == Finished:
		one.engine.failures = 0
	}
}

func (s *Scheduler) settle(now time.Time, one *run) {
	one.engine.settle(now, one.request.ID)
	for _, h := range one.helpers {
		h.settle(now, one.request.ID)
	}
}

// suspect avoids an engine for a while.
func (s *Scheduler) suspect(now time.Time, e *engine) {
	pause := s.settings.MaxSuspicion
	if e.failures < 5 {
		pause = min(pause, s.settings.Suspicion<<e.failures)
	}
	e.failures++
	if until := now.Add(pause); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// Decide places and refuses what it can at this time.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.findOverdue(now)
	if len(s.queue) == 0 {
		return nil
	}
	s.rank(now)
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
		s.suspect(now, one.engine)
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
	work := readTime(&speed.Speed, r.Prompt, 1) + speed.pass()
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

func (s *Scheduler) decide(now time.Time, r *Request) Decision {
	waited := now.Sub(r.Arrived)
	refuse := func(reason RefuseReason, after time.Duration) Decision {
		return Refuse{
			Request:    r.ID,
			Reason:     reason,
			RetryAfter: after,
			Waited:     waited,
			Queued:     len(s.queue),
		}
	}
	any := s.speed(r)
	if any == nil {
		return refuse(NoEngine, noEngineRetry)
	}
	if !now.Before(r.Deadline) {
		return refuse(TooLate, 0)
	}
	placement, found := s.place(now, r)
	if found {
		placement.Waited = waited
		return Place{
			Request:   r.ID,
			Placement: placement,
		}
	}
	if !r.Retried && waited > time.Duration(s.settings.Patience*float64(r.Latency)) {
		return refuse(Overload, overloadRetry)
	}
	return nil
}

const (
	// noEngineRetry is when a caller may try again if no engine is in service: an engine takes seconds to start.
	noEngineRetry = time.Second
	// overloadRetry is when a caller may try again after waiting in vain.
	overloadRetry = time.Second
)

// place chooses engines for a request and starts it there.
func (s *Scheduler) place(now time.Time, r *Request) (Placement, bool) {
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return Placement{}, false
	}
	parts := s.parts(candidates[0], r, len(candidates))
	if parts == 1 {
		return s.placeWhole(now, r, candidates)
	}
	return s.placeParts(now, r, candidates, parts)
}

// candidates returns the engines that may read for a request, shortest backlog first.
func (s *Scheduler) candidates(now time.Time, r *Request) []*engine {
	var found []*engine
	for _, e := range s.order {
		if e.Service == r.Service && e.usable(now) && !slices.Contains(r.Exclude, e.ID) {
			found = append(found, e)
		}
	}
	slices.SortStableFunc(found, func(a, b *engine) int {
		return int(a.cost(now) - b.cost(now))
	})
	return found
}

// cost orders engines for a request that is read at once.
func (e *engine) cost(now time.Time) time.Duration {
	cost := e.backlog(now) + e.pass()/2
	if e.writers == 0 && e.requests == 0 {
		cost -= e.pass() / 2
	}
	// Requests that are not yet writing will soon lengthen each step.
	return cost + time.Duration(e.requests)*requestCost
}

// requestCost spreads requests over engines whose backlogs are alike.
const requestCost = 3 * time.Millisecond

// parts returns over how many engines a prompt is spread.
func (s *Scheduler) parts(e *engine, r *Request, available int) int {
	work := e.part(r.Prompt, 1)
	wanted := int((work + s.settings.Part - 1) / s.settings.Part)
	return max(1, min(wanted, available, s.settings.MaxParts))
}

// planned is the memory that a request will hold.
func (r *Request) planned() int {
	return r.Prompt + r.Output
}

func (s *Scheduler) placeWhole(now time.Time, r *Request, candidates []*engine) (Placement, bool) {
	for _, e := range candidates {
		if e.requests >= e.Slots || e.free(s.settings.MemoryShare) < r.planned() {
			continue
		}
		if e.backlog(now) > s.settings.Backlog && e.requests > 0 {
			continue
		}
		return s.begin(now, r, e, nil), true
	}
	return Placement{}, false
}

func (s *Scheduler) placeParts(now time.Time, r *Request, candidates []*engine, parts int) (Placement, bool) {
	var readers []*engine
	for _, e := range candidates {
		work := e.part(r.Prompt, parts)
		room := s.settings.Backlog - work
		// A part that is longer than the bound needs an engine that is nearly free.
		if e.backlog(now) > max(room, s.settings.Backlog/4) || e.helping >= e.Slots {
			continue
		}
		readers = append(readers, e)
		if len(readers) == parts {
			break
		}
	}
	if len(readers) < parts {
		return Placement{}, false
	}
	first := -1
	for i, e := range readers {
		if e.requests >= e.Slots || e.free(s.settings.MemoryShare) < r.planned() {
			continue
		}
		if first < 0 || e.context < readers[first].context {
			first = i
		}
	}
	if first < 0 {
		return Placement{}, false
	}
	e := readers[first]
	return s.begin(now, r, e, slices.Delete(readers, first, first+1)), true
}

// begin starts a request and describes its placement.
func (s *Scheduler) begin(now time.Time, r *Request, first *engine, helpers []*engine) Placement {
	p := Placement{
		Engine:  first.ID,
		Address: first.Address,
		Backlog: first.backlog(now),
	}
	one := s.start(now, *r, first, helpers)
	for _, h := range helpers {
		p.Helpers = append(p.Helpers, Helper{
			Engine:  h.ID,
			Address: h.Address,
		})
	}
	p.FirstEvent = one.expected.Sub(now)
	return p
}

func (s *Scheduler) start(now time.Time, r Request, first *engine, helpers []*engine) *run {
	one := &run{
		request: r,
		engine:  first,
		helpers: helpers,
		tokens:  r.planned(),
	}
	s.running[r.ID] = one
	parts := len(helpers) + 1
	first.read(now, r.ID, first.part(r.Prompt, parts))
	first.requests++
	first.memory += one.tokens
	first.sent(now)
	ready := first.readUntil
	for _, h := range helpers {
		h.read(now, r.ID, h.part(r.Prompt, parts))
		h.helping++
		if h.readUntil.After(ready) {
			ready = h.readUntil
		}
	}
	one.expected = ready.Add(first.pass())
	return one
}
