package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

var start = time.Unix(1_000, 0)

// speed is the published speed of the engines of the users' services.
var speed = matcher.Engine{
	MemoryTokens:           232_000,
	Step:                   1020 * time.Microsecond,
	StepPerDecodingRequest: 2260 * time.Nanosecond,
	StepPerThousandTokens:  4310 * time.Nanosecond,
	PrefillRate:            206_000,
	PrefillPerMillionPairs: 138 * time.Microsecond,
	ChunkTokens:            2048,
	StepsPerPass:           43,
	MeanOutputTokens:       1300,
}

func newFixture(engines int) *Scheduler {
	s := New(DefaultSettings())
	s.SetEngines(fleet(engines))
	return s
}

func fleet(engines int) []Engine {
	var list []Engine
	for i := range engines {
		list = append(list, Engine{
			ID:      namer.Target(fmt.Sprintf("engine-%02d", i)),
			Service: "scribe",
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Slots:   16,
			Speed:   speed,
		})
	}
	return list
}

// statement returns a request with a short prompt that tolerates only short pauses.
func statement(id string, now time.Time) Request {
	return Request{
		ID:            namer.Request(id),
		Service:       "scribe",
		PromptTokens:  5_000,
		OutputTokens:  1_300,
		Arrived:       now,
		TargetLatency: 300 * time.Millisecond,
		MaxPause:      250 * time.Millisecond,
		Deadline:      now.Add(10 * time.Second),
	}
}

// review returns a request that tolerates longer pauses, for long prompts.
func review(id string, now time.Time, prompt int) Request {
	return Request{
		ID:            namer.Request(id),
		Service:       "scribe",
		PromptTokens:  prompt,
		OutputTokens:  680,
		Arrived:       now,
		TargetLatency: 3 * time.Second,
		MaxPause:      time.Second,
		Deadline:      now.Add(15 * time.Second),
	}
}

func mustPlace(t *testing.T, s *Scheduler, now time.Time, r Request) Placement {
	t.Helper()
	s.Submit(r)
	for _, d := range s.Decide(now) {
		if p, ok := d.(Place); ok && p.Request == r.ID {
			return p.Placement
		}
	}
	t.Fatalf("%s was not placed", r.ID)
	return Placement{}
}

func mustRefuse(t *testing.T, s *Scheduler, now time.Time, id namer.Request) Refuse {
	t.Helper()
	for _, d := range s.Decide(now) {
		if r, ok := d.(Refuse); ok && r.Request == id {
			return r
		}
	}
	t.Fatalf("%s was not refused", id)
	return Refuse{}
}

// Guards against one instance sending all its requests to one engine. Short statements arrive at the rate at which four
// engines can prefill them (scenario burst).
func TestStatementsSpread(t *testing.T) {
	s := newFixture(4)
	used := map[namer.Target]int{}
	for i := range 40 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		p := mustPlace(t, s, now, statement(fmt.Sprint(i), now))
		used[p.Engine]++
	}
	for id, n := range used {
		if n > 16 {
			t.Errorf("%s has %d requests, more than its slots", id, n)
		}
	}
	if len(used) < 3 {
		t.Errorf("40 requests went to only %d engines", len(used))
	}
}

// Guards against statements whose first event is late because others were added to the same pass. 40 short statements arrive
// at once for four engines that each prefill one in 30 ms (scenario burst).
func TestBurstWaitsForCapacity(t *testing.T) {
	s := newFixture(4)
	for i := range 40 {
		s.Submit(statement(fmt.Sprint(i), start))
	}
	placed := 0
	for _, d := range s.Decide(start) {
		p, ok := d.(Place)
		if !ok {
			t.Fatalf("got %+v", d)
		}
		placed++
		if p.Placement.FirstEvent > 300*time.Millisecond {
			t.Errorf("%s was placed with its first event expected after %s", p.Request, p.Placement.FirstEvent)
		}
	}
	if placed < 24 {
		t.Errorf("%d of 40 requests were placed; the engines can prefill more in time", placed)
	}
	for _, r := range s.running {
		if r.firstEventExpected.After(r.firstEventDue()) {
			t.Errorf("%s was placed in time, but its first event is now expected after %s", r.request.ID, r.firstEventExpected.Sub(start))
		}
	}
}

// Guards against prompts that stay queued for a long time and are refused in the end. No engine has room for the reviews
// beside its streams; such waits cost 0.04 of the score of a scaled-up harborline day.
func TestWaitIsBoundedByTheTarget(t *testing.T) {
	s := fullFixture(4, 0)
	for name, r := range map[string]Request{
		"statement": statement("statement", start),
		"review":    review("review", start, 133_000),
	} {
		t.Run(name, func(t *testing.T) {
			s.Submit(r)
			longest := max(r.TargetLatency, s.settings.MinQueueTime)
			if d := s.Decide(start.Add(longest)); len(d) != 0 {
				t.Fatalf("got %+v before the queue time limit", d)
			}
			refused := mustRefuse(t, s, start.Add(longest+10*time.Millisecond), r.ID)
			if refused.Reason != Overload || refused.RetryAfter <= 0 {
				t.Errorf("got %+v", refused)
			}
		})
	}
}

// Guards against a late statement that is refused although a slot came free while it waited: it was searched for every 50 ms only.
func TestLateStatementTakesTheNextFreeSlot(t *testing.T) {
	s := fullFixture(1, 0)
	r := statement("late", start)
	s.Submit(r)
	late := start.Add(r.TargetLatency + 10*time.Millisecond)
	if d := s.Decide(late); len(d) != 0 {
		t.Fatalf("got %+v without a free slot", d)
	}
	for id := range s.running {
		s.Ended(late, id, Finished, "")
		break
	}
	d := s.Decide(late.Add(5 * time.Millisecond))
	if len(d) != 1 {
		t.Fatalf("got %+v after a slot came free", d)
	}
	if _, placed := d[0].(Place); !placed {
		t.Errorf("got %+v after a slot came free", d[0])
	}
}

// Guards against a backoff of many seconds because all requests on an engine failed at the same moment: an engine that was
// down for 2 s was excluded for 8 s while the others had no capacity (scenario cold_return).
func TestConcurrentFailuresCountOnce(t *testing.T) {
	s := newFixture(1)
	for i := range 8 {
		mustPlace(t, s, start.Add(time.Duration(i)*100*time.Millisecond), statement(fmt.Sprint(i), start))
	}
	now := start.Add(time.Second)
	for i := range 8 {
		s.Ended(now.Add(time.Duration(i)*time.Millisecond), namer.Request(fmt.Sprint(i)), Failed, "")
	}
	if pause := s.order[0].backoffUntil.Sub(now); pause > s.settings.MinBackoff+10*time.Millisecond {
		t.Errorf("the engine is excluded for %s", pause)
	}
	again := now.Add(s.settings.MinBackoff + 10*time.Millisecond)
	mustPlace(t, s, again, statement("again", again))
	s.Ended(again, "again", Failed, "")
	if pause := s.order[0].backoffUntil.Sub(again); pause != 2*s.settings.MinBackoff {
		t.Errorf("after another failure the engine is excluded for %s", pause)
	}
}

// Guards against all instances starting with the same engine while each schedules alone: after all processes were killed at
// once, the first engine by name received the work of seven instances.
func TestInstancesWithoutLeaderStartWithDifferentEngines(t *testing.T) {
	used := map[namer.Target]bool{}
	for i := range 7 {
		settings := DefaultSettings()
		settings.Preference = fmt.Sprint("entry-", i)
		s := New(settings)
		s.SetEngines(fleet(22))
		used[mustPlace(t, s, start, statement("one", start)).Engine] = true
	}
	if len(used) < 4 {
		t.Errorf("7 instances start with only %d different engines", len(used))
	}
}

// shortestPause returns the shortest pause limit of an engine's streams, if there is one.
func shortestPause(e *engine) (bound time.Duration, found bool) {
	for _, r := range e.runs {
		if r.request.MaxPause > 0 && !r.objectiveMissed && (!found || r.request.MaxPause < bound) {
			bound, found = r.request.MaxPause, true
		}
	}
	return bound, found
}

// Guards against passes with so much prefill that streams on the engine pause for too long. Reviews arrive while every
// engine is decoding answers to short statements.
func TestPassesLeavePausesShort(t *testing.T) {
	s := newFixture(14)
	for i := range 28 {
		id := fmt.Sprint("statement-", i)
		mustPlace(t, s, start, statement(id, start))
	}
	now := start.Add(time.Second)
	for i := range 28 {
		s.Started(now, namer.Request(fmt.Sprint("statement-", i)))
	}
	for _, r := range s.running {
		r.objectiveMissed = false
	}
	for i := range 3 {
		s.Submit(review(fmt.Sprint("review-", i), now, 133_000))
	}
	s.Decide(now)
	for _, e := range s.order {
		bound, shared := shortestPause(e)
		if pass := totalWork(e.waiting) + e.decodeTime(); shared && pass > bound {
			t.Errorf("the next pass of %s takes %s, but its streams tolerate only %s", e.ID, pass, bound)
		}
	}
}

// Guards against refusing, or queueing forever, prompts that exceed the memory of any single engine; on quiet days these are
// the largest tenth of the reviews.
func TestLongestPromptsAreShared(t *testing.T) {
	for _, prompt := range []int{240_000, 600_000} {
		t.Run(fmt.Sprint(prompt), func(t *testing.T) {
			s := newFixture(16)
			r := review("long", start, prompt)
			p := mustPlace(t, s, start, r)
			reserved := 0
			for _, h := range p.Helpers {
				reserved += h.Tokens
				if h.Tokens > speed.MemoryTokens {
					t.Errorf("%d tokens are reserved on one engine", h.Tokens)
				}
			}
			if left := r.plannedMemory() - reserved; left > speed.MemoryTokens {
				t.Errorf("%d tokens remain for the first engine", left)
			}
			s.Ended(start, "long", Finished, "")
			assertIdle(t, s)
		})
	}
}

// Guards against starvation by long prompts, whose prefill time grows with the square of their length. Reviews arrive at 2.8
// times the usual rate.
func TestLongPromptsWaitForLowPressure(t *testing.T) {
	s := newFixture(14)
	now := start
	reviews := 0
	submitReviews := func(steps int) []Decision {
		var decisions []Decision
		for range steps {
			s.Submit(review(fmt.Sprint(reviews), now, 133_000))
			decisions = append(decisions, s.Decide(now)...)
			s.Started(now, namer.Request(fmt.Sprint(reviews-4)))
			s.Ended(now, namer.Request(fmt.Sprint(reviews-10)), Finished, "")
			reviews++
			now = now.Add(130 * time.Millisecond)
		}
		return decisions
	}
	submitReviews(40)
	heavy := review("heavy", now, 500_000)
	s.Submit(heavy)
	for _, d := range submitReviews(6) {
		switch d := d.(type) {
		case Place:
			if d.Request == "heavy" {
				t.Fatal("a prompt of 500,000 tokens was placed under high pressure")
			}
		case Refuse:
			if d.Request != "heavy" {
				continue
			}
			if d.RetryAfter <= 0 || d.RetryAfter > heavy.Deadline.Sub(heavy.Arrived)/3 {
				t.Errorf("retry after %s", d.RetryAfter)
			}
			if d.Waited > heavy.TargetLatency/4 {
				t.Errorf("refused only after %s", d.Waited)
			}
			heavy.ID = "later"
		}
	}
	if heavy.ID != "later" {
		t.Fatal("the long prompt was not refused")
	}
	now = now.Add(20 * time.Second)
	for i := range reviews {
		s.Ended(now, namer.Request(fmt.Sprint(i)), Finished, "")
		s.Withdraw(namer.Request(fmt.Sprint(i)))
	}
	mustPlace(t, s, now, review("later", now, 500_000))
}

// Guards against requests that stay queued although no engine is in service.
func TestNoEngineRefusesAtOnce(t *testing.T) {
	s := newFixture(0)
	s.Submit(statement("one", start))
	if r := mustRefuse(t, s, start, "one"); r.Reason != NoEngine || r.RetryAfter <= 0 {
		t.Errorf("got %+v", r)
	}
}

// Guards against a prompt that stays queued until its deadline although all engines together lack the memory for it.
func TestPromptBeyondAllMemoryIsRefusedAtOnce(t *testing.T) {
	s := newFixture(2)
	s.Submit(review("huge", start, 3*speed.MemoryTokens))
	if r := mustRefuse(t, s, start, "huge"); r.Reason != TooLarge {
		t.Errorf("got %+v", r)
	}
}

// Guards against choosing a failed engine again at once. Engines crash or fail a part of their requests (scenarios srv_crash
// and srv_grey).
func TestFailedEngineIsAvoided(t *testing.T) {
	s := newFixture(2)
	p := mustPlace(t, s, start, statement("one", start))
	s.Ended(start, "one", Failed, "")
	for i := range 5 {
		id := fmt.Sprint("next-", i)
		if next := mustPlace(t, s, start, statement(id, start)); next.Engine == p.Engine {
			t.Errorf("%s was placed on the failed engine", id)
		}
	}
	later := start.Add(time.Minute)
	s.Ended(later, "next-0", Finished, "")
	if load := s.Load(later); load.Avoided != 0 {
		t.Errorf("%d engines are still excluded", load.Avoided)
	}
}

// Guards against exceeding the request rate of a cold engine. A burst arrives while engines that returned are still cold.
func TestColdEngineBound(t *testing.T) {
	s := New(DefaultSettings())
	list := fleet(1)
	list[0].ColdUntil = start.Add(time.Hour)
	list[0].ColdRate = 5
	s.SetEngines(list)
	placed := 0
	for i := range 12 {
		s.Submit(statement(fmt.Sprint(i), start))
	}
	for _, d := range s.Decide(start) {
		if _, ok := d.(Place); ok {
			placed++
		}
	}
	if placed != 5 {
		t.Errorf("%d requests were placed in one second, want 5", placed)
	}
	list[0].ColdRate = 0.4
	alone := New(DefaultSettings())
	alone.SetEngines(list)
	alone.Submit(statement("alone", start))
	if d := alone.Decide(start); len(d) > 0 {
		t.Errorf("a rate below one request a second led to %v", d)
	}
}

// Guards against leaks of slots, memory, prefill work and decoding requests, after which an engine would look full forever.
// Requests end in any order, are withdrawn or lose their engine.
func TestAllResourcesAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFixture(rapid.IntRange(1, 6).Draw(t, "engines"))
		now := start
		open := map[namer.Request]bool{}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			id := namer.Request(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if open[id] {
					continue
				}
				id = namer.Request(fmt.Sprint(id, "-", i))
				open[id] = true
				s.Submit(review(string(id), now, rapid.IntRange(100, 300_000).Draw(t, "prompt")))
			case 2:
				for runningID := range s.running {
					s.Started(now, runningID)
				}
			case 3:
				for runningID := range s.running {
					s.Ended(now, runningID, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), "")
					delete(open, runningID)
				}
			case 4:
				s.Withdraw(id)
			case 5:
				s.SetEngines(fleet(rapid.IntRange(1, 6).Draw(t, "fleet")))
			}
			s.Decide(now)
		}
		for id := range open {
			s.Withdraw(id)
		}
		for id := range s.running {
			s.Ended(now, id, Finished, "")
		}
		assertIdle(t, s)
	})
}

type failer interface {
	Helper()
	Errorf(format string, arguments ...any)
}

func assertIdle(t failer, s *Scheduler) {
	t.Helper()
	for _, e := range s.order {
		if e.plannedMemory != 0 || e.decoding != 0 || e.contextTokens != 0 || e.helperParts != 0 || len(e.runs) != 0 || len(e.waiting) != 0 {
			t.Errorf("%s still has planned memory %d, decoding %d, context tokens %d, helper parts %d, runs %d, waiting %d", e.ID, e.plannedMemory,
				e.decoding, e.contextTokens, e.helperParts, len(e.runs), len(e.waiting))
		}
	}
	if len(s.running) != 0 {
		t.Errorf("%d requests are still running", len(s.running))
	}
}

// BenchmarkDecide measures one decision at the size of the scaled-up deployments and beyond.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{14, 78, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s := newFixture(engines)
			now := start
			for i := range b.N {
				now = now.Add(5 * time.Millisecond)
				id := namer.Request(fmt.Sprint(i))
				s.Submit(statement(string(id), now))
				s.Decide(now)
				s.Started(now, id)
				s.Ended(now, id, Finished, "")
			}
		})
	}
}

// fullFixture returns a scheduler whose slots are all taken, with a queue of statements.
func fullFixture(engines, queued int) *Scheduler {
	s := newFixture(engines)
	for _, e := range s.order {
		for i := range e.Slots {
			r := statement(fmt.Sprint(e.ID, "-", i), start)
			s.Adopt(start, r, Placement{Engine: e.ID}, true)
		}
	}
	for i := range queued {
		s.Submit(statement(fmt.Sprint("queued-", i), start))
	}
	return s
}

// Guards against a leader whose control goroutine is busy comparing engines for a long queue that cannot be served: its
// followers then time out, and each schedules alone. A burst of notes arrived while two data centres were down.
func TestLongQueueIsSkipped(t *testing.T) {
	s := fullFixture(78, 200)
	s.Decide(start)
	if s.searches > 3 {
		t.Errorf("engines were compared for %d of 200 equal requests", s.searches)
	}
}

func BenchmarkDecideLongQueue(b *testing.B) {
	s := fullFixture(78, 150)
	for b.Loop() {
		s.Decide(start)
	}
}

func BenchmarkDecideUrgentQueue(b *testing.B) {
	s := fullFixture(78, 150)
	for b.Loop() {
		s.Decide(start.Add(250 * time.Millisecond))
	}
}

// Guards against spreading short streams over all engines, where each bounds the prefill per pass, so that a long prompt
// finds no engine without them. Few notes arrive beside many reviews after a burst of notes; 30 notes then occupied 12 of 14
// engines.
func TestShortStreamsArePacked(t *testing.T) {
	const (
		engines  = 14
		burst    = 140
		notes    = burst + 60
		duration = 4 * time.Second
	)
	s := newFixture(engines)
	type stream struct {
		id     namer.Request
		engine namer.Target
		ends   time.Time
	}
	var running []stream
	now := start
	for i := range notes {
		gap := 15 * time.Millisecond
		if i >= burst {
			gap = 100 * time.Millisecond
		}
		now = now.Add(gap)
		for len(running) > 0 && !running[0].ends.After(now) {
			s.Ended(now, running[0].id, Finished, "")
			running = running[1:]
		}
		id := namer.Request(fmt.Sprint("note-", i))
		p := mustPlace(t, s, now, statement(string(id), now))
		if p.FirstEvent > 150*time.Millisecond {
			t.Errorf("the first event of %s is expected after %v, more than half of its target latency", id, p.FirstEvent)
		}
		s.Started(now.Add(p.FirstEvent), id)
		running = append(running, stream{
			id:     id,
			engine: p.Engine,
			ends:   now.Add(duration),
		})
	}
	used := map[namer.Target]int{}
	for _, r := range running {
		used[r.engine]++
	}
	// In this scenario, reviews need more than half of the engines' prefill capacity.
	if len(used) > engines/2 {
		t.Errorf("%d streams are spread over %d engines of 16 slots: %v", len(running), len(used), used)
	}
	p := mustPlace(t, s, now, review("review", now, 133_000))
	if used[p.Engine] > 0 || p.FirstEvent > 400*time.Millisecond {
		t.Errorf("the review was placed beside %d short streams with its first event after %v", used[p.Engine], p.FirstEvent)
	}
}
