package scheduler

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Scheduler keeps the queue and the work on engines; it has no clock of its own.
type Scheduler struct {
	settings Settings
	engines  map[namer.Target]*engine
	// order holds the engines by id, so that the same events lead to the same decisions.
	order []*engine
	queue []*Request
	// pressure is the reading placed a second on each engine, averaged up to pressureAt.
	pressure   float64
	pressureAt time.Time
	running    map[namer.Request]*run
}

// run is a placed request.
type run struct {
	request Request
	engine  *engine
	helpers []*engine
	// reserved is the memory at each helper, and tokens that at the first engine.
	reserved []int
	tokens   int
	started  bool
	expected time.Time
	// judged is set once the engine has been suspected for this request.
	judged bool
	// spoiled is set once the answer has lost its full value: its pauses matter no longer.
	spoiled bool
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
			known = newEngine()
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

// Load summarises the engines and the queue.
type Load struct {
	Engines int
	// Avoided counts the engines that are suspected of failing.
	Avoided int
	Queued  int
	// Running counts placed requests, and Writing those that are past their first event.
	Running int
	Writing int
	// FreeSlots and FreeTokens are over all engines.
	FreeSlots  int
	FreeTokens int
	// LongestPass is the longest pass under way.
	LongestPass time.Duration
	// Pressure is the reading asked of the engines, as a share of what they can do.
	Pressure float64
}

// Load returns the present load.
func (s *Scheduler) Load(now time.Time) Load {
	s.load(now, 0)
	load := Load{
		Pressure: s.pressure,
		Engines:  len(s.order),
		Queued:   len(s.queue),
		Running:  len(s.running),
	}
	for _, e := range s.order {
		if now.Before(e.avoidUntil) {
			load.Avoided++
		}
		load.Writing += e.writers
		load.FreeSlots += e.Slots - len(e.runs)
		load.FreeTokens += e.free(s.settings.MemoryShare)
		load.LongestPass = max(load.LongestPass, total(e.current)+e.writing())
	}
	return load
}

// Adopt takes over a request that another scheduler has placed.
func (s *Scheduler) Adopt(now time.Time, r Request, p Placement, started bool) {
	first := s.engines[p.Engine]
	if first == nil || s.running[r.ID] != nil {
		return
	}
	c := choice{
		first: first,
	}
	for _, h := range p.Helpers {
		if e := s.engines[h.Engine]; e != nil {
			c.helpers = append(c.helpers, e)
			c.reserved = append(c.reserved, h.Tokens)
		}
	}
	s.start(now, r, c)
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
	one.spoiled = now.Sub(one.request.Arrived) > one.request.Latency
	e := one.engine
	e.advance(now)
	e.writers++
	e.context += one.request.Prompt
	e.failures = 0
	e.passed(now, id)
	for _, h := range one.helpers {
		h.advance(now)
		h.remove(id)
	}
}

// Ended records the end of a request on its engines; faulty names the engine that failed, if it is not the first one.
func (s *Scheduler) Ended(now time.Time, id namer.Request, outcome Outcome, faulty namer.Target) {
	one := s.running[id]
	if one == nil {
		return
	}
	delete(s.running, id)
	e := one.engine
	e.advance(now)
	delete(e.runs, id)
	if one.started {
		e.writers--
		e.context -= one.request.Prompt
	} else {
		e.remove(id)
	}
	e.memory -= one.tokens
	for i, h := range one.helpers {
		h.advance(now)
		h.remove(id)
		h.helping--
		if len(one.reserved) > 0 {
			h.memory -= one.reserved[i]
		}
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
	if !r.Retried && s.heavy(now, r) {
		hold := time.Duration(s.settings.HeavyHold * float64(r.Latency))
		if !r.Returned && waited > hold {
			return refuse(Overload, r.Deadline.Sub(now)/retryShare)
		}
		if waited > time.Duration(s.settings.Patience*float64(r.Latency)) {
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
	if !r.Retried && waited > time.Duration(s.settings.Patience*float64(r.Latency)) {
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

// place chooses engines for a request and starts it there.
func (s *Scheduler) place(now time.Time, r *Request) (Placement, bool) {
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return Placement{}, false
	}
	// A request that is about to miss its target latency may lengthen the pauses of others.
	urgent := r.Arrived.Add(r.Latency).Sub(now) < time.Duration(s.settings.Urgent*float64(r.Latency))
	best := choice{}
	work := readTime(&candidates[0].Speed, r.Prompt, 1)
	most := max(1, min(s.settings.MaxParts, len(candidates), int(work/s.settings.MinPart)))
	for parts := 1; parts <= most; parts++ {
		c, found := s.choose(now, r, candidates, parts, most, urgent)
		if found && (best.first == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best.first == nil {
		return Placement{}, false
	}
	return s.begin(now, r, best), true
}

// choice is a way to place a request.
type choice struct {
	first   *engine
	helpers []*engine
	// reserved is the memory to reserve at each helper; it is empty if the first engine holds the whole prompt.
	reserved []int
	cost     time.Duration
}

// candidates returns the engines that may read for a request.
func (s *Scheduler) candidates(now time.Time, r *Request) []*engine {
	var found []*engine
	for _, e := range s.order {
		if e.Service == r.Service && e.usable(now) && !slices.Contains(r.Exclude, e.ID) {
			found = append(found, e)
		}
	}
	return found
}

// planned is the memory that a request will hold.
func (r *Request) planned() int {
	return r.Prompt + r.Output
}

// choose finds the cheapest engines for a number of parts: those that end first, with what it costs to disturb others.
func (s *Scheduler) choose(now time.Time, r *Request, candidates []*engine, parts, most int, urgent bool) (choice, bool) {
	type option struct {
		engine *engine
		cost   time.Duration
		harm   int
		holds  bool
	}
	var options []option
	for _, e := range candidates {
		work := e.part(r.Prompt, parts)
		if work > s.settings.MaxPart && parts < most {
			return choice{}, false
		}
		harm := s.harm(now, r, e, work)
		if harm > 0 && !urgent {
			continue
		}
		options = append(options, option{
			engine: e,
			cost:   e.ends(now, work).Sub(now) + s.disturbance(e, parts),
			harm:   harm,
			holds:  len(e.runs) < e.Slots && e.free(s.settings.MemoryShare) >= r.planned(),
		})
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if a.harm != b.harm {
			return a.harm - b.harm
		}
		return int(a.cost - b.cost)
	})
	if len(options) < parts {
		return choice{}, false
	}
	first := slices.IndexFunc(options, func(o option) bool { return o.holds })
	if first < 0 {
		readers := make([]*engine, 0, parts)
		cost := time.Duration(0)
		harm := 0
		for _, o := range options[:parts] {
			readers = append(readers, o.engine)
			cost = max(cost, o.cost)
			harm += o.harm
		}
		if !s.worthwhile(now, r, cost, harm) {
			return choice{}, false
		}
		return s.share(r, readers, cost+time.Duration(parts)*s.settings.PartCost)
	}
	c := choice{
		first: options[first].engine,
		cost:  options[first].cost + time.Duration(parts)*s.settings.PartCost,
	}
	harm := options[first].harm
	for i, o := range options {
		if len(c.helpers) == parts-1 {
			break
		}
		if i == first || o.engine.helping >= o.engine.Slots {
			continue
		}
		harm += o.harm
		c.helpers = append(c.helpers, o.engine)
		c.cost = max(c.cost, o.cost+time.Duration(parts)*s.settings.PartCost)
	}
	return c, len(c.helpers) == parts-1 && s.worthwhile(now, r, c.cost, harm)
}

// worthwhile reports whether a request gains more than it takes from others.
func (s *Scheduler) worthwhile(now time.Time, r *Request, cost time.Duration, harm int) bool {
	return harm == 0 || r.gain(now.Add(cost)) > (1-lateShare)*float64(harm)
}

// share divides the memory of a prompt that no engine can hold alone: the first engine takes what it can, the others
// reserve the rest.
func (s *Scheduler) share(r *Request, readers []*engine, cost time.Duration) (choice, bool) {
	byMemory := slices.Clone(readers)
	slices.SortStableFunc(byMemory, func(a, b *engine) int {
		return b.free(s.settings.MemoryShare) - a.free(s.settings.MemoryShare)
	})
	first := slices.IndexFunc(byMemory, func(e *engine) bool { return len(e.runs) < e.Slots })
	if first < 0 || len(readers) < 2 {
		return choice{}, false
	}
	c := choice{
		first: byMemory[first],
		cost:  cost + s.settings.ReserveCost,
	}
	missing := r.planned() - c.first.free(s.settings.MemoryShare)
	for i, e := range byMemory {
		if i == first {
			continue
		}
		if e.helping >= e.Slots {
			return choice{}, false
		}
		tokens := min(missing, e.free(s.settings.MemoryShare))
		if missing > 0 && tokens < minReservation {
			tokens = 0
		}
		missing -= max(0, tokens)
		c.helpers = append(c.helpers, e)
		c.reserved = append(c.reserved, max(0, tokens))
	}
	return c, missing <= 0
}

// minReservation is the least memory worth an order, in tokens.
const minReservation = 4096

// harm is the value that a piece of reading takes from the streams of an engine: those that would pause for too long.
func (s *Scheduler) harm(now time.Time, r *Request, e *engine, work time.Duration) int {
	if work <= shortWork && e.backlog(now) < r.Latency || work <= e.room(now, s.settings.PauseMargin) {
		return 0
	}
	spoiled := 0
	for _, other := range e.runs {
		if !other.spoiled && other.request.Pause > 0 {
			spoiled += other.request.value()
		}
	}
	return spoiled
}

// shortWork is reading that lengthens a pass by little.
const shortWork = 60 * time.Millisecond

// gain is the value of a request whose first event comes at a time.
func (r *Request) gain(first time.Time) float64 {
	if first.Sub(r.Arrived) > r.Latency {
		return lateShare * float64(r.value())
	}
	return float64(r.value())
}

// value is what an answer is worth, in prompt tokens.
func (r *Request) value() int {
	return r.Prompt + outputWeight*r.Output
}

// disturbance is the cost of reading beside streams that tolerate short pauses only, or of putting such a stream on an
// engine without them.
func (s *Scheduler) disturbance(e *engine, parts int) time.Duration {
	_, shared := e.tolerance()
	switch {
	case parts > 1 && shared:
		return s.settings.SharedCost
	case parts == 1 && !shared:
		return s.settings.OpenCost
	default:
		return 0
	}
}

// begin starts a request and describes its placement.
func (s *Scheduler) begin(now time.Time, r *Request, c choice) Placement {
	p := Placement{
		Engine:  c.first.ID,
		Address: c.first.Address,
		Backlog: c.first.backlog(now),
	}
	one := s.start(now, *r, c)
	for i, h := range c.helpers {
		helper := Helper{
			Engine:  h.ID,
			Address: h.Address,
		}
		if len(c.reserved) > 0 {
			helper.Tokens = c.reserved[i]
		}
		p.Helpers = append(p.Helpers, helper)
	}
	p.FirstEvent = one.expected.Sub(now)
	return p
}

func (s *Scheduler) start(now time.Time, r Request, c choice) *run {
	first := c.first
	one := &run{
		request:  r,
		engine:   first,
		helpers:  c.helpers,
		reserved: c.reserved,
		tokens:   r.planned(),
	}
	s.running[r.ID] = one
	parts := len(c.helpers) + 1
	s.load(now, readTime(&first.Speed, r.Prompt, 1))
	one.expected = first.ends(now, first.part(r.Prompt, parts))
	first.read(now, r.ID, first.part(r.Prompt, parts))
	first.runs[r.ID] = one
	first.sent(now)
	for i, h := range c.helpers {
		ready := h.ends(now, h.part(r.Prompt, parts))
		h.read(now, r.ID, h.part(r.Prompt, parts))
		h.helping++
		if len(c.reserved) > 0 {
			h.memory += c.reserved[i]
			one.tokens -= c.reserved[i]
		}
		if ready.After(one.expected) {
			one.expected = ready
		}
	}
	first.memory += one.tokens
	return one
}
