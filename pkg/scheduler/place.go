package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// place chooses engines for a request and starts it there.
func (s *Scheduler) place(now time.Time, r *Request) (Placement, bool) {
	// A request that is about to miss its target latency may lengthen the pauses of others.
	urgent := r.Arrived.Add(r.Latency).Sub(now) < time.Duration(s.settings.Urgent*float64(r.Latency))
	if s.hopeless(r, urgent) {
		return Placement{}, false
	}
	s.tried++
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return Placement{}, false
	}
	best := choice{}
	most := max(1, min(s.parts(r, candidates[0]), len(candidates)))
	for parts := 1; parts <= most; parts++ {
		c, found := s.choose(now, r, candidates, parts, most, urgent)
		if found && (best.first == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best.first == nil {
		full := urgent && !slices.ContainsFunc(s.options, func(o option) bool { return o.holds })
		if most == 1 && (full || !urgent) {
			s.unplaced = append(s.unplaced, unplaced{
				request: r,
				full:    full,
			})
		}
		return Placement{}, false
	}
	return s.begin(now, r, best), true
}

// parts is the most parts into which it is worth dividing a prompt.
func (s *Scheduler) parts(r *Request, e *engine) int {
	work := readTime(&e.Speed, r.Prompt, 1)
	return min(s.settings.MaxParts, int(work/s.settings.MinPart))
}

// unplaced is a request for which no engine was found; full is set if none had a slot and the memory.
type unplaced struct {
	request *Request
	full    bool
}

// hopeless reports whether a request needs at least what another one did not get in this round: placements take room only.
// Under overload most of a long queue is passed over so.
func (s *Scheduler) hopeless(r *Request, urgent bool) bool {
	return slices.ContainsFunc(s.unplaced, func(u unplaced) bool {
		other := u.request
		return (u.full || !urgent) && other.Service == r.Service && other.Prompt <= r.Prompt && other.Output <= r.Output &&
			other.Latency >= r.Latency && other.Pause <= r.Pause && len(other.Exclude) == 0 && s.parts(r, s.speed(r)) <= 1
	})
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
	found := s.found[:0]
	for _, e := range s.order {
		if e.Service == r.Service && e.usable(now) && !slices.Contains(r.Exclude, e.ID) {
			found = append(found, e)
		}
	}
	s.found = found
	return found
}

// harm is the value that a part of a prompt takes from others at an engine.
func (s *Scheduler) harm(now time.Time, e *engine, work time.Duration, parts int) int {
	if e.weighed != s.round {
		e.weighed = s.round
		e.alone = e.limits(e.alone[:0], now, s.settings.PauseMargin, false)
		e.shared = e.limits(e.shared[:0], now, s.settings.PauseMargin, true)
	}
	if parts > 1 {
		return harm(e.shared, work)
	}
	return harm(e.alone, work)
}

// planned is the memory that a request will hold.
func (r *Request) planned() int {
	return r.Prompt + r.Output
}

// option is an engine that may read a part of a prompt, with what that costs and what it takes from others.
type option struct {
	engine *engine
	cost   time.Duration
	harm   int
	// holds is set if the engine has the memory and a slot for the whole request.
	holds bool
}

func (o option) compare(other option) int {
	return cmp.Or(cmp.Compare(o.harm, other.harm), cmp.Compare(o.cost, other.cost))
}

// chooseOne finds an engine for a whole prompt: the fullest one on which the stream tightens no bound and begins early, or else the
// cheapest one.
func (s *Scheduler) chooseOne(now time.Time, r *Request, options []option) (choice, bool) {
	best := s.fullest(now, r, options)
	if best.engine == nil {
		for _, o := range options {
			if o.holds && (best.engine == nil || o.compare(best) < 0) {
				best = o
			}
		}
	}
	if best.engine == nil {
		return choice{}, false
	}
	c := choice{
		first: best.engine,
		cost:  best.cost + s.settings.PartCost,
	}
	return c, s.worthwhile(now, r, c.cost, best.harm)
}

// fullest returns the option with the most streams among those on which another stream tolerates no longer pauses than this one. A
// stream that tolerates short pauses bounds what its engine reads in a pass; kept together, such streams leave other engines free for
// long prompts.
func (s *Scheduler) fullest(now time.Time, r *Request, options []option) option {
	best := option{}
	limit := time.Duration(s.settings.GatherShare*float64(r.Latency)) - now.Sub(r.Arrived)
	for _, o := range options {
		if !o.holds || o.harm > 0 || o.cost > limit || r.Pause == 0 || o.engine.tolerance() > r.Pause {
			continue
		}
		if best.engine == nil || len(o.engine.runs) > len(best.engine.runs) {
			best = o
		}
	}
	return best
}

// choose finds the cheapest engines for a number of parts: those that end first, with what it costs to disturb others.
func (s *Scheduler) choose(now time.Time, r *Request, candidates []*engine, parts, most int, urgent bool) (choice, bool) {
	options := s.options[:0]
	for _, e := range candidates {
		work := e.part(r.Prompt, parts)
		if work > s.settings.MaxPart && parts < most {
			return choice{}, false
		}
		harm := s.harm(now, e, work, parts)
		if harm > 0 && !urgent {
			continue
		}
		options = append(options, option{
			engine: e,
			cost:   e.ends(now, work, s.settings.Transit, parts > 1).Sub(now) + s.disturbance(r, e, parts),
			harm:   harm,
			holds:  len(e.runs) < e.Slots && e.free(s.settings.MemoryShare) >= r.planned(),
		})
	}
	s.options = options
	if parts == 1 {
		return s.chooseOne(now, r, options)
	}
	slices.SortStableFunc(options, option.compare)
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

// shared reports whether several engines read the prompt.
func (r *run) shared() bool {
	return len(r.helpers) > 0
}

// target is when the first event has its full value at the latest.
func (r *run) target() time.Time {
	return r.request.Arrived.Add(r.request.Latency)
}

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

// disturbance is the cost of reading beside streams that tolerate short pauses only, or of putting a stream on an engine whose streams
// all tolerate longer ones.
func (s *Scheduler) disturbance(r *Request, e *engine, parts int) time.Duration {
	tolerance := e.tolerance()
	switch {
	case parts > 1 && tolerance < s.settings.ShortPause:
		return s.settings.SharedCost
	case parts == 1 && tolerance > r.Pause:
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
	first.weighed = 0
	for _, h := range c.helpers {
		h.weighed = 0
	}
	one := &run{
		request:  r,
		engine:   first,
		helpers:  c.helpers,
		reserved: c.reserved,
		tokens:   r.planned(),
		placed:   now,
	}
	s.running[r.ID] = one
	parts := len(c.helpers) + 1
	s.load(now, readTime(&first.Speed, r.Prompt, 1))
	transit := s.settings.Transit
	one.expected = first.ends(now, first.part(r.Prompt, parts), transit, one.shared())
	first.read(now, one, first.part(r.Prompt, parts), transit)
	first.runs[r.ID] = one
	first.sent(now)
	for i, h := range c.helpers {
		ready := h.ends(now, h.part(r.Prompt, parts), transit, true)
		h.read(now, one, h.part(r.Prompt, parts), transit)
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
