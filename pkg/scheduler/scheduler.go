package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/forecaster"
	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Scheduler tracks the request queue and the work placed on engines. It has no clock; callers pass the current time.
type Scheduler struct {
	settings Settings
	engines  map[namer.Target]*engine
	// order lists the engines by preference, so that the same events lead to the same decisions.
	order []*engine
	queue []*Request
	// pressure is the moving average of prefill time placed per second and engine, as of pressureAt.
	pressure   float64
	pressureAt time.Time
	running    map[namer.Request]*run
	// round counts the calls of Decide that had a queue; unplaced lists the requests of this round for which no engine was
	// found.
	round    int
	unplaced []unplaced
	// searches counts the requests for which engines were compared.
	searches int
	// candidateBuffer and optionBuffer are reused between calls to avoid allocations.
	candidateBuffer []*engine
	optionBuffer    []option
	recentPaces     recentPaces
	// forecast estimates the demand of each rank; keptRounds hold the round for which the engines of a service were last kept.
	forecast   *forecaster.Forecaster
	keptRounds map[namer.Service]keptRound
	// offered is the prefill time of all prompts submitted so far, by service.
	offered map[namer.Service]time.Duration
	// localizer knows which data centres are short as of observedAt; localBuffer is reused like the other buffers.
	localizer   *localizer.Localizer
	observedAt  time.Time
	localBuffer []*engine
}

// run is a request that has been placed.
type run struct {
	request Request
	engine  *engine
	helpers []*engine
	// reserved is the memory planned at each helper, and tokens the memory planned at the first engine.
	reserved           []int
	tokens             int
	started            bool
	placedAt           time.Time
	firstEventExpected time.Time
	// failureCounted is set once an overdue first event has been counted as a failure of the engine.
	failureCounted bool
	// slowdown is the engine's slowdown when the run was placed; paceObserved is set once the run was compared with its prediction.
	slowdown     float64
	paceObserved bool
	// objectiveMissed is set once the answer missed its latency or pause objective; further pauses then cost nothing.
	objectiveMissed bool
}

// New returns a scheduler without engines.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings:   settings,
		engines:    map[namer.Target]*engine{},
		running:    map[namer.Request]*run{},
		forecast:   forecaster.New(settings.PressureTime),
		keptRounds: map[namer.Service]keptRound{},
		offered:    map[namer.Service]time.Duration{},
		localizer:  localizer.New(settings.Localizer),
	}
}

// SetEngines replaces the set of usable engines; the state of engines that remain is kept.
func (s *Scheduler) SetEngines(engines []Engine) {
	fresh := make(map[namer.Target]*engine, len(engines))
	s.order = s.order[:0]
	for _, e := range engines {
		known := s.engines[e.ID]
		if known == nil || !known.Started.Equal(e.Started) {
			known = newEngine()
			known.preference = s.preference(e.ID)
		}
		known.Engine = e
		fresh[e.ID] = known
		s.order = append(s.order, known)
	}
	s.engines = fresh
	slices.SortFunc(s.order, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), cmp.Compare(a.ID, b.ID))
	})
}

// preference hashes an engine's ID with the instance's preference, so that each scheduler orders engines differently.
func (s *Scheduler) preference(id namer.Target) uint64 {
	h := fnv.New64a()
	// Writing to a hash cannot fail.
	_, _ = h.Write([]byte(s.settings.Preference + "/" + string(id)))
	return h.Sum64()
}

// Submit appends a request to the queue.
func (s *Scheduler) Submit(r Request) {
	s.expect(&r)
	s.addOffered(&r)
	s.queue = append(s.queue, &r)
}

// Withdraw removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Withdraw(id namer.Request) bool {
	for i, q := range s.queue {
		if q.ID == id {
			s.queue = slices.Delete(s.queue, i, i+1)
			return true
		}
	}
	return false
}

// Queued returns the length of the queue.
func (s *Scheduler) Queued() int {
	return len(s.queue)
}

// Running returns the number of placed requests that have not ended.
func (s *Scheduler) Running() int {
	return len(s.running)
}

// Load is a summary of the engines and the queue.
type Load struct {
	Engines int
	// Avoided counts the engines that are excluded after failures.
	Avoided int
	Queued  int
	// Running counts placed requests, and Decoding those past their first event.
	Running  int
	Decoding int
	// Slow counts the engines that work slower than published.
	Slow int
	// Idle counts the engines without requests or parts of prompts.
	Idle int
	// FreeSlots and FreeTokens are totals over all engines.
	FreeSlots  int
	FreeTokens int
	// LongestPass is the length of the longest current pass.
	LongestPass time.Duration
	// Pressure is the prefill demand as a share of the engines' capacity.
	Pressure float64
	// Ranks lists the demand of each rank of services with several.
	Ranks []RankLoad
	// OddRanks lists the services whose ranks are negative or too many to tell apart; they are served as if all ranks were equal.
	OddRanks []namer.Service
	// Short lists the data centres that are short of free engines; it is empty if leaving a data centre costs nothing.
	Short []namer.DataCentre
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	s.addPressure(now, 0)
	load := Load{
		Pressure: s.pressure,
		Engines:  len(s.order),
		Queued:   len(s.queue),
		Running:  len(s.running),
		Ranks:    s.rankLoads(now),
		OddRanks: s.forecast.Odd(now),
		Short:    s.localizer.Shortages(),
	}
	for _, e := range s.order {
		if now.Before(e.backoffUntil) {
			load.Avoided++
		}
		if e.slowdown > 1 {
			load.Slow++
		}
		if len(e.runs) == 0 && e.helperParts == 0 {
			load.Idle++
		}
		load.Decoding += e.decoding
		load.FreeSlots += e.Slots - len(e.runs)
		load.FreeTokens += e.freeMemory(s.settings.MemoryShare)
		load.LongestPass = max(load.LongestPass, totalWork(e.current)+e.decodeTime())
	}
	return load
}

// Adopt registers a request that another scheduler has placed.
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

// Started records the first event of a request: its prefill is complete.
func (s *Scheduler) Started(now time.Time, id namer.Request) {
	r := s.running[id]
	if r == nil || r.started {
		return
	}
	r.started = true
	s.observeFirstEvent(now, r)
	r.objectiveMissed = now.Sub(r.request.Arrived) > r.request.TargetLatency
	e := r.engine
	e.advance(now)
	e.decoding++
	e.contextTokens += r.request.PromptTokens
	e.failures = 0
	e.passEnded(now, id)
	for _, h := range r.helpers {
		h.advance(now)
		h.remove(id)
	}
}

// Ended records the end of a request on its engines; faulty names the engine that failed, if it isn't the first one.
func (s *Scheduler) Ended(now time.Time, id namer.Request, outcome Outcome, faulty namer.Target) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	e := r.engine
	e.advance(now)
	delete(e.runs, id)
	if r.started {
		e.decoding--
		e.contextTokens -= r.request.PromptTokens
	} else {
		e.remove(id)
	}
	e.plannedMemory -= r.tokens
	for i, h := range r.helpers {
		h.advance(now)
		h.remove(id)
		h.helperParts--
		if len(r.reserved) > 0 {
			h.plannedMemory -= r.reserved[i]
		}
	}
	failedEngine := r.engine
	if other := s.engines[faulty]; other != nil {
		failedEngine = other
	}
	switch {
	case (outcome == Failed || outcome == Rejected) && !r.failureCounted:
		s.backOff(now, failedEngine, r.placedAt)
	case outcome == Finished:
		r.engine.failures = 0
	}
}

// backOff excludes an engine for an exponentially growing time after a failure of a request placed at the given time.
// Requests placed before the last backoff began are ignored: when an engine stops, all its requests fail for the same cause.
func (s *Scheduler) backOff(now time.Time, e *engine, placed time.Time) {
	if placed.Before(e.backoffSince) {
		return
	}
	e.backoffSince = now
	pause := s.settings.MaxBackoff
	if e.failures < 5 {
		pause = min(pause, s.settings.MinBackoff<<e.failures)
	}
	e.failures++
	if until := now.Add(pause); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}
