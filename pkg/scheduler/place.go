package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
)

// place chooses engines for a request and registers it there; it reports whether it found any.
func (s *Scheduler) place(now time.Time, r *Request) (Placement, bool) {
	// A request that is about to miss its target latency may lengthen the pauses of other streams.
	urgent := r.Arrived.Add(r.TargetLatency).Sub(now) < time.Duration(s.settings.UrgentShare*float64(r.TargetLatency))
	if s.yields(now, r) {
		urgent = s.mayPress(now, r)
	}
	r.kept = s.keepsFor(r)
	if s.knownUnplaceable(r, urgent) {
		return Placement{}, false
	}
	s.searches++
	candidates := s.candidates(now, r)
	r.obstacle = ""
	if len(candidates) == 0 {
		r.obstacle = ObstacleEngines
		return Placement{}, false
	}
	best, reason := s.placeLocally(now, r, candidates, urgent)
	if best.first == nil {
		full := urgent && !slices.ContainsFunc(s.optionBuffer, func(o option) bool { return o.fits })
		if s.mostParts(r, candidates) == 1 && (full || !urgent) {
			s.unplaced = append(s.unplaced, unplaced{
				request: r,
				full:    full,
			})
		}
		return Placement{}, false
	}
	p := s.begin(now, r, best)
	p.Left = reason
	return p, true
}

// cheapest returns the cheapest placement on the given engines, without engines if there is none.
func (s *Scheduler) cheapest(now time.Time, r *Request, candidates []*engine, urgent bool) choice {
	best := choice{}
	most := s.mostParts(r, candidates)
	for parts := 1; parts <= most; parts++ {
		c, found := s.choose(now, r, candidates, parts, most, urgent)
		if found && (best.first == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// mostParts returns the largest number of parts in which the given engines may prefill a prompt.
func (s *Scheduler) mostParts(r *Request, candidates []*engine) int {
	return max(1, min(s.maxParts(r, candidates[0]), len(candidates)))
}

// maxParts returns the number of parts up to which splitting the prefill of a prompt pays off.
func (s *Scheduler) maxParts(r *Request, e *engine) int {
	work := prefillTime(&e.Speed, r.PromptTokens, 1)
	return min(s.settings.MaxParts, int(work/s.settings.MinPart))
}

// unplaced is a request for which no engine was found; full is set if no engine had a free slot and enough memory.
type unplaced struct {
	request *Request
	full    bool
}

// knownUnplaceable reports whether a request needs at least as much as one that was not placed in this round; placements
// within a round only reduce capacity. Under overload this skips most of a long queue.
func (s *Scheduler) knownUnplaceable(r *Request, urgent bool) bool {
	return slices.ContainsFunc(s.unplaced, func(u unplaced) bool {
		other := u.request
		return (u.full || !urgent) && other.Service == r.Service &&
			other.PromptTokens <= r.PromptTokens && other.OutputTokens <= r.OutputTokens &&
			other.TargetLatency >= r.TargetLatency && other.MaxPause <= r.MaxPause &&
			len(other.Exclude) == 0 && s.maxParts(r, s.anyEngine(r)) <= 1
	})
}

// choice is a possible placement of a request.
type choice struct {
	first *engine
	// lost is the value that other requests lose.
	lost float64
	// interference is the part of the cost that isn't time until the first event.
	interference time.Duration
	helpers      []*engine
	// reserved is the memory to reserve at each helper; it is empty if the first engine stores the whole prompt.
	reserved []int
	cost     time.Duration
}

// candidates returns the engines that may prefill a request.
func (s *Scheduler) candidates(now time.Time, r *Request) []*engine {
	found := s.candidateBuffer[:0]
	for _, e := range s.order {
		if e.Service == r.Service && e.usable(now) && !slices.Contains(r.Exclude, e.ID) {
			found = append(found, e)
		}
	}
	s.candidateBuffer = found
	return found
}

// valueLost returns the value that other requests on an engine lose if it prefills a part of a prompt.
func (s *Scheduler) valueLost(now time.Time, e *engine, work time.Duration, parts int) float64 {
	if e.limitsRound != s.round {
		e.limitsRound = s.round
		e.wholeLimits = e.limits(e.wholeLimits[:0], now, s.settings.PauseMargin, false)
		e.partLimits = e.limits(e.partLimits[:0], now, s.settings.PauseMargin, true)
		e.leastPause = e.minPause()
	}
	if parts > 1 {
		return valueLost(e.partLimits, work)
	}
	return valueLost(e.wholeLimits, work)
}

// plannedMemory returns the memory that a request needs, in tokens.
func (r *Request) plannedMemory() int {
	return r.PromptTokens + r.OutputTokens
}

// option is an engine that may prefill a part of a prompt, with its cost and the value that other requests would lose.
type option struct {
	engine    *engine
	cost      time.Duration
	valueLost float64
	// interference is the part of the cost that isn't time until the first event.
	interference time.Duration
	// late is the value that the request itself loses if its first event comes late.
	late float64
	// fits is set if the engine has a free slot and the memory for the whole request.
	fits bool
}

func (o option) compare(other option) int {
	return cmp.Or(cmp.Compare(o.valueLost+o.late, other.valueLost+other.late), cmp.Compare(o.cost, other.cost))
}

// chooseWhole finds one engine for a whole prompt: preferably the one with the most streams among those where the new stream
// imposes no shorter pause limit and starts early, otherwise the cheapest one.
func (s *Scheduler) chooseWhole(now time.Time, r *Request, options []option) (choice, bool) {
	best := s.mostStreams(now, r, options)
	if best.engine == nil {
		for _, o := range options {
			if o.fits && (best.engine == nil || o.compare(best) < 0) {
				best = o
			}
		}
	}
	if best.engine == nil {
		r.obstacle = ObstacleRoom
		return choice{}, false
	}
	c := choice{
		first:        best.engine,
		cost:         best.cost + s.settings.PartCost,
		lost:         best.valueLost,
		interference: best.interference,
	}
	return c, s.worthwhile(now, r, c.cost, best.valueLost)
}

// mostStreams returns the option with the most streams among the engines that already have a stream with the same or a
// shorter pause limit. The shortest pause limit on an engine bounds how much it prefills in a pass, so packing such streams
// leaves other engines free for long prompts.
func (s *Scheduler) mostStreams(now time.Time, r *Request, options []option) option {
	best := option{}
	limit := time.Duration(s.settings.PackingShare*float64(r.TargetLatency)) - now.Sub(r.Arrived)
	for _, o := range options {
		if !o.fits || o.valueLost > 0 || o.cost > limit || r.MaxPause == 0 || o.engine.leastPause > r.MaxPause {
			continue
		}
		if best.engine == nil || o.engine.draw(r) > best.engine.draw(r) {
			best = o
		}
	}
	return best
}

// choose finds the cheapest engines for a number of parts: those that finish first, including the cost of interference with
// other requests. The prompt can be split into at most maxParts parts.
func (s *Scheduler) choose(now time.Time, r *Request, candidates []*engine, parts, maxParts int, urgent bool) (choice, bool) {
	options := s.optionBuffer[:0]
	for _, e := range candidates {
		work := e.partTime(r.PromptTokens, parts)
		if work > s.settings.MaxPart && parts < maxParts {
			return choice{}, false
		}
		lost := s.valueLost(now, e, work, parts) + s.expectedLoss(now, r, e, work)
		if lost > 0 && !urgent {
			continue
		}
		interference := s.interferenceCost(now, r, e, parts)
		finish := e.finishTime(now, work, s.settings.Transit, parts > 1)
		options = append(options, option{
			engine:       e,
			cost:         finish.Sub(now) + interference,
			interference: interference,
			valueLost:    lost,
			late:         s.ownLoss(now, r, finish),
			fits:         len(e.runs) < e.Slots && e.freeMemory(s.settings.MemoryShare) >= r.plannedMemory(),
		})
	}
	s.optionBuffer = options
	if parts == 1 {
		return s.chooseWhole(now, r, options)
	}
	slices.SortStableFunc(options, option.compare)
	if len(options) < parts {
		r.obstacle = ObstaclePauses
		return choice{}, false
	}
	first := slices.IndexFunc(options, func(o option) bool { return o.fits })
	if first < 0 {
		return s.chooseWithSplitMemory(now, r, options, parts)
	}
	c := choice{
		first: options[first].engine,
		cost:  options[first].cost + time.Duration(parts)*s.settings.PartCost,
	}
	lost := options[first].valueLost
	for i, o := range options {
		if len(c.helpers) == parts-1 {
			break
		}
		if i == first || !o.engine.mayHelp() {
			continue
		}
		lost += o.valueLost
		c.helpers = append(c.helpers, o.engine)
		c.cost = max(c.cost, o.cost+time.Duration(parts)*s.settings.PartCost)
	}
	if len(c.helpers) < parts-1 {
		r.obstacle = ObstacleEngines
		return choice{}, false
	}
	c.lost = lost
	return c, s.worthwhile(now, r, c.cost, lost)
}

// chooseWithSplitMemory finds engines for a prompt that exceeds the memory of every single one; all of them may help another one.
func (s *Scheduler) chooseWithSplitMemory(now time.Time, r *Request, options []option, parts int) (choice, bool) {
	engines := make([]*engine, 0, parts)
	cost := time.Duration(0)
	lost := 0.0
	for _, o := range options {
		if len(engines) == parts {
			break
		}
		if !o.engine.mayHelp() {
			continue
		}
		engines = append(engines, o.engine)
		cost = max(cost, o.cost)
		lost += o.valueLost
	}
	if len(engines) < parts {
		r.obstacle = ObstacleEngines
		return choice{}, false
	}
	if !s.worthwhile(now, r, cost, lost) {
		return choice{}, false
	}
	c, found := s.splitMemory(r, engines, cost+time.Duration(parts)*s.settings.PartCost)
	c.lost = lost
	return c, found
}

// worthwhile reports whether the value of a request exceeds the value that other requests lose, and its caller waits for it.
func (s *Scheduler) worthwhile(now time.Time, r *Request, cost time.Duration, lost float64) bool {
	first := now.Add(cost)
	switch {
	case first.After(r.latestStart(&s.anyEngine(r).Speed)):
		r.obstacle = ObstaclePatience
		return false
	case lost == 0 || r.valueAt(first) > lost:
		return true
	}
	r.obstacle = ObstaclePauses
	return false
}

// splitMemory divides the memory of a prompt that exceeds every single engine: the first engine holds as much as it can, the
// helpers reserve the rest.
func (s *Scheduler) splitMemory(r *Request, engines []*engine, cost time.Duration) (choice, bool) {
	byMemory := slices.Clone(engines)
	slices.SortStableFunc(byMemory, func(a, b *engine) int {
		return b.freeMemory(s.settings.MemoryShare) - a.freeMemory(s.settings.MemoryShare)
	})
	first := slices.IndexFunc(byMemory, func(e *engine) bool { return len(e.runs) < e.Slots })
	if first < 0 || len(engines) < 2 {
		return choice{}, false
	}
	c := choice{
		first: byMemory[first],
		cost:  cost + s.settings.ReserveCost,
	}
	missing := r.plannedMemory() - c.first.freeMemory(s.settings.MemoryShare)
	for i, e := range byMemory {
		if i == first {
			continue
		}
		tokens := 0
		if free := e.freeMemory(s.settings.MemoryShare); missing > 0 && free >= minReservation {
			tokens = min(max(missing, minReservation), free)
		}
		missing -= tokens
		c.helpers = append(c.helpers, e)
		c.reserved = append(c.reserved, tokens)
	}
	if missing > 0 {
		r.obstacle = ObstacleRoom
	}
	return c, missing <= 0
}

// minReservation is the smallest memory reservation that is worth a request to a helper, in tokens.
const minReservation = 4096

// shared reports whether several engines prefill the prompt.
func (r *run) shared() bool {
	return len(r.helpers) > 0
}

// firstEventDue returns the time until which the first event has its full value.
func (r *run) firstEventDue() time.Time {
	return r.request.Arrived.Add(r.request.TargetLatency)
}

// valueAt returns the value of a request whose first event arrives at the given time.
func (r *Request) valueAt(first time.Time) float64 {
	if first.Sub(r.Arrived) > r.TargetLatency {
		return lateShare * float64(r.value())
	}
	return float64(r.value())
}

// leaves returns the time at which the caller disconnects if it has no event.
func (r *Request) leaves() time.Time {
	if left := r.Arrived.Add(r.Patience); r.Patience > 0 && left.Before(r.Deadline) {
		return left
	}
	return r.Deadline
}

// latestStart returns the time at which the first event must come for the answer to be of use: the caller still waits, and the answer can
// end by the deadline.
func (r *Request) latestStart(speed *matcher.Engine) time.Time {
	leaves := r.leaves()
	end := r.Deadline.Add(-time.Duration(r.OutputTokens) * speed.Step)
	if r.Retried || leaves.Before(end) {
		// A part of the answer to a retried request may have been sent.
		return leaves
	}
	return end
}

// value returns the value of an answer on time, in prompt tokens.
func (r *Request) value() int {
	return r.PromptTokens + outputWeight*r.OutputTokens
}

// interferenceCost returns the cost of prefilling a part before parts of other prompts or beside a stream with a short pause limit, or
// of placing a stream on an engine whose streams all tolerate longer pauses.
func (s *Scheduler) interferenceCost(now time.Time, r *Request, e *engine, parts int) time.Duration {
	switch {
	case parts == 1 && r.kept && !e.isKeptFor(r.Rank):
		return s.settings.UnpackedCost
	case parts > 1 && e.leastPause < s.settings.ShortPause:
		return s.settings.SharedCost + e.sharedBacklog(now)
	case parts > 1:
		return e.sharedBacklog(now)
	case parts == 1 && e.leastPause > r.MaxPause:
		return s.settings.UnpackedCost
	default:
		return 0
	}
}

// begin starts a request and returns its placement.
func (s *Scheduler) begin(now time.Time, r *Request, c choice) Placement {
	p := Placement{
		Engine:  c.first.ID,
		Address: c.first.Address,
		Backlog: c.first.backlog(now),
		Delayed: c.delayed(),
	}
	placed := s.start(now, *r, c)
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
	p.FirstEvent = placed.firstEventExpected.Sub(now)
	return p
}

// delayed returns the number of shared prompts that wait for a part on one of the chosen engines, which prefills the new part first.
func (c *choice) delayed() int {
	if len(c.helpers) == 0 {
		return 0
	}
	found := map[*run]bool{}
	for _, e := range append([]*engine{c.first}, c.helpers...) {
		if e.decoding > 0 {
			continue
		}
		for _, p := range e.current {
			if p.run.shared() && !p.run.started {
				found[p.run] = true
			}
		}
	}
	return len(found)
}

func (s *Scheduler) start(now time.Time, r Request, c choice) *run {
	first := c.first
	first.limitsRound = 0
	for _, h := range c.helpers {
		h.limitsRound = 0
	}
	placed := &run{
		request:  r,
		engine:   first,
		helpers:  c.helpers,
		reserved: c.reserved,
		tokens:   r.plannedMemory(),
		placedAt: now,
		slowdown: first.slowdown,
	}
	s.running[r.ID] = placed
	parts := len(c.helpers) + 1
	s.addPressure(now, prefillTime(&first.Speed, r.PromptTokens, 1))
	transit := s.settings.Transit
	placed.firstEventExpected = first.finishTime(now, first.partTime(r.PromptTokens, parts), transit, placed.shared())
	first.enqueue(now, placed, first.partTime(r.PromptTokens, parts), transit)
	first.runs[r.ID] = placed
	first.countColdRequest(now)
	for i, h := range c.helpers {
		ready := h.finishTime(now, h.partTime(r.PromptTokens, parts), transit, true)
		h.enqueue(now, placed, h.partTime(r.PromptTokens, parts), transit)
		h.helperParts++
		if len(c.reserved) > 0 {
			h.plannedMemory += c.reserved[i]
			placed.tokens -= c.reserved[i]
		}
		if ready.After(placed.firstEventExpected) {
			placed.firstEventExpected = ready
		}
	}
	first.plannedMemory += placed.tokens
	return placed
}
