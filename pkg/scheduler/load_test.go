package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// class is a kind of request in a simulated load.
type class struct {
	name      string
	perSecond float64
	// prompt is the mean number of prompt tokens, spread the deviation of its logarithm, and most its maximum.
	prompt, spread, most float64
	output               int
	target, pause        time.Duration
	limit                time.Duration
}

// outcomeCount counts the requests of a class by their outcome.
type outcomeCount struct {
	asked, onTime, late, refused int
}

func (o outcomeCount) served() float64 {
	return float64(o.onTime+o.late) / math.Max(1, float64(o.asked))
}

// loadPlay plays arrivals on engines that behave as the scheduler models them: a request starts when it is expected to, and ends after
// its output. Callers come back once after a refusal with a delay.
type loadPlay struct {
	scheduler *Scheduler
	random    *rand.Rand
	events    eventQueue
	counts    map[string]*outcomeCount
	requests  map[namer.Request]*playedRequest
}

type playedRequest struct {
	request Request
	class   string
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (p *loadPlay) at(t time.Time, run func(now time.Time)) {
	heap.Push(&p.events, event{at: t, run: run})
}

// arrive submits a request of a class and plans the next arrival.
func (p *loadPlay) arrive(now, end time.Time, c class) {
	next := now.Add(time.Duration(p.random.ExpFloat64() / c.perSecond * float64(time.Second)))
	if next.Before(end) {
		p.at(next, func(now time.Time) { p.arrive(now, end, c) })
	}
	prompt := math.Min(c.most, c.prompt*math.Exp(c.spread*p.random.NormFloat64()-c.spread*c.spread/2))
	id := namer.Request(fmt.Sprintf("%s-%d", c.name, len(p.requests)))
	r := Request{
		ID:            id,
		Service:       "scribe",
		PromptTokens:  int(prompt),
		OutputTokens:  c.output,
		Arrived:       now,
		TargetLatency: c.target,
		MaxPause:      c.pause,
		Deadline:      now.Add(c.limit),
	}
	p.requests[id] = &playedRequest{request: r, class: p.label(c, int(prompt))}
	p.count(id).asked++
	p.scheduler.Submit(r)
}

// label separates prompts that exceed the memory of one engine from others of their class.
func (p *loadPlay) label(c class, prompt int) string {
	if prompt > speed.MemoryTokens*95/100 {
		return c.name + ", beyond one engine"
	}
	return c.name
}

func (p *loadPlay) count(id namer.Request) *outcomeCount {
	label := p.requests[id].class
	if p.counts[label] == nil {
		p.counts[label] = &outcomeCount{}
	}
	return p.counts[label]
}

func (p *loadPlay) decide(now time.Time) {
	for _, d := range p.scheduler.Decide(now) {
		switch d := d.(type) {
		case Place:
			p.placed(now, d)
		case Refuse:
			p.refused(now, d)
		}
	}
}

func (p *loadPlay) placed(now time.Time, d Place) {
	r := p.requests[d.Request].request
	first := now.Add(d.Placement.FirstEvent)
	if first.Sub(r.Arrived) <= r.TargetLatency {
		p.count(d.Request).onTime++
	} else {
		p.count(d.Request).late++
	}
	p.at(first, func(now time.Time) { p.scheduler.Started(now, d.Request) })
	writes := time.Duration(float64(r.OutputTokens) * 1.3 * float64(speed.Step))
	p.at(first.Add(writes), func(now time.Time) { p.scheduler.Ended(now, d.Request, Finished, "") })
}

func (p *loadPlay) refused(now time.Time, d Refuse) {
	r := p.requests[d.Request].request
	if r.Resubmitted || d.RetryAfter == 0 || d.RetryAfter > r.Deadline.Sub(now)/3 {
		p.count(d.Request).refused++
		return
	}
	p.at(now.Add(d.RetryAfter), func(time.Time) {
		again := p.requests[d.Request]
		again.request.Resubmitted = true
		p.scheduler.Submit(again.request)
	})
}

// playClasses plays the classes for a time on engines of the given number and slots.
func playClasses(seed uint64, engines, slots, steps int, length time.Duration, classes []class) map[string]*outcomeCount {
	list := fleet(engines)
	for i := range list {
		list[i].Slots = slots
		list[i].Speed.StepsPerPass = steps
	}
	s := New(DefaultSettings())
	s.SetEngines(list)
	p := &loadPlay{
		scheduler: s,
		random:    rand.New(rand.NewPCG(seed, 1)),
		counts:    map[string]*outcomeCount{},
		requests:  map[namer.Request]*playedRequest{},
	}
	end := start.Add(length)
	for _, c := range classes {
		p.at(start, func(now time.Time) { p.arrive(now, end, c) })
	}
	nextDecision := start
	for p.events.Len() > 0 || s.Queued() > 0 {
		if p.events.Len() > 0 && !p.events[0].at.After(nextDecision) {
			e := heap.Pop(&p.events).(event)
			e.run(e.at)
			p.decide(e.at)
			continue
		}
		p.decide(nextDecision)
		nextDecision = nextDecision.Add(5 * time.Millisecond)
	}
	return p.counts
}

// Guards against refusing the prompts that exceed one engine's memory while the engines have room for all others (pattern: a burst of
// reviews on many engines with few slots, scale-1 of the large site). The users' gate asks that the largest prompts of a kind are
// served at least half as often as the kind, over the whole day.
func TestPromptsBeyondOneEngineInABurst(t *testing.T) {
	classes := []class{
		{name: "statement", perSecond: 60, prompt: 4_960, spread: 0.9, most: 23_800, output: 1_540, target: 400 * time.Millisecond, pause: 250 * time.Millisecond, limit: 10 * time.Second},
		{name: "ledger", perSecond: 16, prompt: 45_000, spread: 0.5, most: 110_000, output: 925, target: 1500 * time.Millisecond, pause: 600 * time.Millisecond, limit: 10 * time.Second},
		{name: "review", perSecond: 17, prompt: 190_000, spread: 0.55, most: 600_000, output: 770, target: 3 * time.Second, pause: time.Second, limit: 15 * time.Second},
	}
	for seed := range uint64(4) {
		counts := playClasses(seed, 112, 10, 68, 10*time.Second, classes)
		largest, others := counts["review, beyond one engine"], counts["review"]
		if largest == nil || others == nil {
			t.Fatalf("seed %d: the load lacks reviews: %v", seed, counts)
		}
		if largest.served() < others.served()/2 {
			t.Errorf("seed %d: of the prompts beyond one engine %.2f were served, of the others %.2f", seed, largest.served(), others.served())
		}
	}
}

// Guards against a prompt that exceeds one engine's memory by less than the smallest reservation, and finds no engines.
func TestPromptSlightlyBeyondOneEngineIsPlaced(t *testing.T) {
	room := int(DefaultSettings().MemoryShare * float64(speed.MemoryTokens))
	for _, excess := range []int{1, 100, minReservation - 1, minReservation, minReservation + 1} {
		s := newFixture(16)
		r := review("large", start, room+excess)
		r.OutputTokens = 0
		p := mustPlace(t, s, start, r)
		reserved := 0
		for _, h := range p.Helpers {
			reserved += h.Tokens
		}
		if reserved < excess {
			t.Errorf("%d tokens are reserved for a prompt that is %d beyond one engine", reserved, excess)
		}
	}
}

// Guards against a prompt beyond one engine's memory that waits although enough engines may help: the cheapest ones already help as many
// prompts as they have slots (pattern: many long prompts at once on engines with few slots).
func TestBusyHelpersAreLeftOut(t *testing.T) {
	s := newFixture(20)
	for i, e := range s.order {
		if i < 4 {
			e.helperParts = e.Slots
		}
	}
	p := mustPlace(t, s, start, review("large", start, 400_000))
	for _, h := range append(p.Helpers, Helper{Engine: p.Engine}) {
		if e := s.engines[h.Engine]; e.helperParts > e.Slots {
			t.Errorf("%s helps %d prompts with %d slots", h.Engine, e.helperParts, e.Slots)
		}
	}
}
