package stepper

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func options() Options {
	return Options{
		CapacityTokens: 100_000,
		PrefillRate:    60_000,
		Cold:           10 * time.Second,
		ColdNotice:     3 * time.Second,
		Fencing:        true,
		LoadLag:        time.Second,
		EventLag:       2 * time.Second,
	}
}

// warm is a time at which the engine is no longer cold.
func warm() time.Time {
	return start.Add(time.Minute)
}

func request(id string, prompt, output int) Request {
	return Request{
		ID:           id,
		PromptTokens: prompt,
		MaxTokens:    output,
	}
}

func mustSubmit(t *testing.T, s *Stepper, now time.Time, r Request) {
	t.Helper()
	if err := s.Submit(now, r); err != nil {
		t.Fatal(err)
	}
}

func assertErrorAs[E error](t *testing.T, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Fatalf("got error %v, want %T", err, want)
	}
}

// run steps until the engine is idle and returns the time and the token indexes by request.
func run(s *Stepper, now time.Time) (time.Time, map[string][]int) {
	indexes := map[string][]int{}
	for {
		result := s.Step(now)
		if result.Duration == 0 {
			return now, indexes
		}
		now = now.Add(result.Duration)
		for _, token := range result.Tokens {
			indexes[token.RequestID] = append(indexes[token.RequestID], token.Index)
		}
	}
}

// Guards against steps whose duration differs from the documented model.
func TestStepTime(t *testing.T) {
	s := New(start, options())
	mustSubmit(t, s, warm(), request("a", 3000, 2))
	for i, want := range []time.Duration{
		15*time.Millisecond + 2048*time.Second/60_000,
		15*time.Millisecond + 952*time.Second/60_000,
		15*time.Millisecond + 200*time.Microsecond,
		0,
	} {
		if got := s.Step(warm()).Duration; (got - want).Abs() > time.Microsecond {
			t.Errorf("step %d takes %v, want %v", i, got, want)
		}
	}
}

// Guards against a long prompt of low priority that delays a later prompt of higher priority.
func TestPriority(t *testing.T) {
	s := New(start, options())
	long := request("long", 50_000, 1)
	long.Priority = 2
	mustSubmit(t, s, warm(), long)
	s.Step(warm())
	mustSubmit(t, s, warm(), request("short", 1000, 1))
	if got := s.Step(warm()).Tokens; len(got) != 1 || got[0].RequestID != "short" {
		t.Fatalf("got tokens %+v, want the short request's", got)
	}
}

// Guards against an engine that does not crash beyond its memory, or a cold one that does not crash beyond 15% of it.
func TestMemory(t *testing.T) {
	s := New(start, options())
	assertErrorAs[*OutOfMemoryError](t, s.Submit(start, request("cold", 15_000, 1)))
	mustSubmit(t, s, warm(), request("a", 99_000, 1000))
	assertErrorAs[*OutOfMemoryError](t, s.Submit(warm(), request("b", 0, 1)))
	assertErrorAs[*DuplicateError](t, s.Submit(warm(), request("a", 0, 1)))

	s.SetCold(warm())
	s.Cancel(warm(), "a")
	assertErrorAs[*ColdError](t, s.Submit(warm(), request("c", 20_000, 1)))
	assertErrorAs[*OutOfMemoryError](t, s.Submit(warm().Add(4*time.Second), request("c", 20_000, 1)))
}

// Guards against a stale owner that is still served by a fencing engine.
func TestFencing(t *testing.T) {
	s := New(start, options())
	if err := s.Fence(3); err != nil {
		t.Fatal(err)
	}
	assertErrorAs[*StaleEpochError](t, s.Fence(2))
	assertErrorAs[*StaleEpochError](t, s.Submit(warm(), request("a", 1, 1)))
	o := options()
	o.Fencing = false
	s = New(start, o)
	_ = s.Fence(3)
	mustSubmit(t, s, warm(), request("a", 1, 1))
}

// Guards against a cached prefix that is computed again, and cache events that are published early or without gaps.
func TestPrefixCache(t *testing.T) {
	s := New(start, options())
	r := request("a", 20*BlockTokens, 1)
	for i := range 20 {
		r.Prefix = append(r.Prefix, fmt.Sprint(i))
	}
	mustSubmit(t, s, warm(), r)
	now, _ := run(s, warm())
	r.ID = "b"
	mustSubmit(t, s, now, r)
	if again, _ := run(s, now); again.Sub(now) > 20*time.Millisecond {
		t.Errorf("a cached prompt takes %v", again.Sub(now))
	}
	if early := s.CacheEvents(now, 0); len(early) != 0 {
		t.Errorf("got %d events before their lag", len(early))
	}
	if got := len(s.CacheEvents(now.Add(3*time.Second), 0)); got != 19 {
		t.Errorf("got %d events for 20 blocks, want 19", got)
	}
	other := New(start, options())
	other.Import(now, s.Export(r.Prefix))
	if got := len(other.Export(r.Prefix)); got != 20 {
		t.Errorf("imported %d blocks, want 20", got)
	}
}

// Guards against an engine of rank 1 that generates or frees its memory early, and one of rank 0 that computes more
// than its part.
func TestGroup(t *testing.T) {
	s := New(start, options())
	held := request("held", 200_000, 10)
	held.Group = &Group{
		Rank:       1,
		Size:       3,
		PartTokens: 60_000,
	}
	mustSubmit(t, s, warm(), held)
	if got := s.Step(warm()); got.Duration != 0 || s.Used() != 60_000 {
		t.Fatalf("the part of rank 1 runs a step: %+v, %d tokens used", got, s.Used())
	}
	s.Cancel(warm(), "held")
	held.Group.Rank = 0
	mustSubmit(t, s, warm(), held)
	end, _ := run(s, warm())
	if got := end.Sub(warm()); got > 2*time.Second {
		t.Errorf("rank 0 takes %v for a part of 60,000 tokens", got)
	}
}

// Guards against load reports that do not lag.
func TestLoadLag(t *testing.T) {
	s := New(start, options())
	now := warm()
	s.Load(now)
	mustSubmit(t, s, now.Add(time.Millisecond), request("a", 100, 1))
	if got := s.Load(now.Add(500 * time.Millisecond)).UsedTokens; got != 0 {
		t.Errorf("the report shows %d tokens within its lag", got)
	}
	if got := s.Load(now.Add(time.Second)); got.UsedTokens != 101 || got.QueueTokens != 100 {
		t.Errorf("got %+v after the lag", got)
	}
}

// Guards against leaked memory and against token indexes that are repeated, skipped or missing.
func TestRandomTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(start, options())
		now := warm()
		wants := map[string][2]int{}
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := request(fmt.Sprint(i), rapid.IntRange(1, 4000).Draw(t, "prompt"), rapid.IntRange(1, 50).Draw(t, "output"))
			r.ResumeFrom = rapid.IntRange(0, r.MaxTokens-1).Draw(t, "resume")
			r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			if err := s.Submit(now, r); err != nil {
				t.Fatal(err)
			}
			wants[r.ID] = [2]int{r.ResumeFrom, r.MaxTokens}
		}
		s.Cancel(now, "0")
		delete(wants, "0")
		_, indexes := run(s, now)
		for id, want := range wants {
			for i, index := range indexes[id] {
				if index != want[0]+i {
					t.Fatalf("request %s: token %d has index %d", id, i, index)
				}
			}
			if got := len(indexes[id]); got != want[1]-want[0] {
				t.Fatalf("request %s: got %d tokens, want %d", id, got, want[1]-want[0])
			}
		}
		if s.Used() != 0 || len(s.List()) != 0 {
			t.Fatalf("%d tokens still used", s.Used())
		}
	})
}
