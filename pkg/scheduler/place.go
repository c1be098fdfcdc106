package scheduler

import (
	"slices"
	"time"
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

// candidate is an engine that may read for a request, and what the reading may harm there: alone, alone bounds a whole
// prompt, shared a part of one.
type candidate struct {
	*engine
	alone  []limit
	shared []limit
}

// candidates returns the engines that may read for a request.
func (s *Scheduler) candidates(now time.Time, r *Request) []candidate {
	var found []candidate
	for _, e := range s.order {
		if e.Service == r.Service && e.usable(now) && !slices.Contains(r.Exclude, e.ID) {
			found = append(found, candidate{
				engine: e,
				alone:  e.limits(now, s.settings.PauseMargin, false),
				shared: e.limits(now, s.settings.PauseMargin, true),
			})
		}
	}
	return found
}

// harm is the value that a part of a prompt takes from others.
func (c *candidate) harm(work time.Duration, parts int) int {
	if parts > 1 {
		return harm(c.shared, work)
	}
	return harm(c.alone, work)
}

// planned is the memory that a request will hold.
func (r *Request) planned() int {
	return r.Prompt + r.Output
}

// choose finds the cheapest engines for a number of parts: those that end first, with what it costs to disturb others.
func (s *Scheduler) choose(now time.Time, r *Request, candidates []candidate, parts, most int, urgent bool) (choice, bool) {
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
		harm := e.harm(work, parts)
		if harm > 0 && !urgent {
			continue
		}
		options = append(options, option{
			engine: e.engine,
			cost:   e.ends(now, work, s.settings.Transit, parts > 1).Sub(now) + s.disturbance(e.engine, parts),
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

// disturbance is the cost of reading beside streams that tolerate short pauses only, or of putting such a stream on an
// engine without them.
func (s *Scheduler) disturbance(e *engine, parts int) time.Duration {
	sensitive := e.sensitive()
	switch {
	case parts > 1 && sensitive:
		return s.settings.SharedCost
	case parts == 1 && !sensitive:
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
