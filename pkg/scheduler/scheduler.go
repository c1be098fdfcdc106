package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Scheduler keeps the queue and the work on engines; it has no clock of its own.
type Scheduler struct {
	settings Settings
	engines  map[namer.Target]*engine
	// order holds the engines by preference, so that the same events lead to the same decisions.
	order []*engine
	queue []*Request
	// pressure is the reading placed a second on each engine, averaged up to pressureAt.
	pressure   float64
	pressureAt time.Time
	running    map[namer.Request]*run
	// round counts the calls of Decide; unplaced are requests for which it has found no engine so far.
	round    int
	unplaced []unplaced
	// tried counts the requests for which engines were compared.
	tried int
	// found and options are kept between calls.
	found   []*engine
	options []option
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
	placed   time.Time
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
			known.preference = s.preference(one.ID)
		}
		known.Engine = one
		fresh[one.ID] = known
		s.order = append(s.order, known)
	}
	s.engines = fresh
	slices.SortFunc(s.order, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), cmp.Compare(a.ID, b.ID))
	})
}

// preference orders engines differently for each scheduler.
func (s *Scheduler) preference(id namer.Target) uint64 {
	h := fnv.New64a()
	// Writing to a hash cannot fail.
	_, _ = h.Write([]byte(s.settings.Preference + "/" + string(id)))
	return h.Sum64()
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
	case (outcome == Failed || outcome == Rejected) && !one.judged:
		s.suspect(now, guilty, one.placed)
	case outcome == Finished:
		one.engine.failures = 0
	}
}

// suspect avoids an engine for a while, after a request that was placed at a time has failed there. Requests that were placed
// before the last suspicion fail for the same cause: an engine that ends takes all of them along.
func (s *Scheduler) suspect(now time.Time, e *engine, placed time.Time) {
	if placed.Before(e.suspected) {
		return
	}
	e.suspected = now
	pause := s.settings.MaxSuspicion
	if e.failures < 5 {
		pause = min(pause, s.settings.Suspicion<<e.failures)
	}
	e.failures++
	if until := now.Add(pause); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}
