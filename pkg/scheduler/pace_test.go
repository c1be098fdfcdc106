package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// placeAndStart places statements one after the other and reports their first events, those of slow engines late by the factor. It
// returns how many were sent to each engine.
func placeAndStart(t *testing.T, s *Scheduler, from time.Time, count int, factor func(namer.Target) float64) map[namer.Target]int {
	t.Helper()
	sent := map[namer.Target]int{}
	now := from
	for i := range count {
		id := fmt.Sprintf("%d-%d", from.UnixNano(), i)
		p := mustPlace(t, s, now, statement(id, now))
		sent[p.Engine]++
		now = now.Add(time.Duration(factor(p.Engine) * float64(max(p.FirstEvent, minPaceTime))))
		s.Started(now, namer.Request(id))
		s.Ended(now, namer.Request(id), Finished, "")
		now = now.Add(20 * time.Millisecond)
	}
	return sent
}

// slowEngines returns the number of engines that count as slow.
func slowEngines(s *Scheduler, now time.Time) int {
	return s.Load(now).Slow
}

// Guards against requests that keep landing on engines that have turned slow while quick ones are free (pattern: srv_slow, a part of the
// engines 3.5 to 4 times as slow for some seconds).
func TestSlowEnginesAreLeftOut(t *testing.T) {
	s := newFixture(4)
	slow := s.order[0]
	for i := range paceSamples {
		id := namer.Request(fmt.Sprint("slow-", i))
		r := review(string(id), start, 40_000)
		s.start(start, r, choice{first: slow})
		s.Started(start.Add(4*s.running[id].firstEventExpected.Sub(start)), id)
		s.Ended(start, id, Finished, "")
		quick := namer.Request(fmt.Sprint("quick-", i))
		s.start(start, review(string(quick), start, 40_000), choice{first: s.order[1+i%3]})
		s.Started(s.running[quick].firstEventExpected, quick)
		s.Ended(start, quick, Finished, "")
	}
	now := start.Add(time.Second)
	s.Decide(now)
	if got := slowEngines(s, now); got != 1 {
		t.Fatalf("%d engines count as slow, want 1", got)
	}
	for i := range 12 {
		if p := mustPlace(t, s, now, statement(fmt.Sprint("statement-", i), now)); p.Engine == slow.ID {
			t.Errorf("statement %d was sent to the slow engine while others are free", i)
		}
	}
}

// Guards against an engine that is left out for good, and against avoiding all engines of a service that is slow as a whole.
func TestPace(t *testing.T) {
	sampled := func(samples ...float64) *pace {
		p := &pace{}
		for _, sample := range samples {
			p.add(start, sample)
		}
		return p
	}
	for name, test := range map[string]struct {
		pace  *pace
		after time.Duration
		want  float64
	}{
		"no sample":              {pace: &pace{}, want: 1},
		"one late first event":   {pace: sampled(1, 5, 1), want: 1},
		"two of three are late":  {pace: sampled(4, 1, 5), want: 4},
		"late without limit":     {pace: sampled(100, 100, 100), want: maxSlowdown},
		"slower by a half":       {pace: sampled(1.5, 1.5, 1.5), want: 1},
		"forgotten without news": {pace: sampled(4, 4, 4), after: paceMemory + time.Millisecond, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.pace.slowdown(start.Add(test.after)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	t.Run("recovered", func(t *testing.T) {
		p := sampled(4, 4, 4)
		later := start.Add(2 * paceMemory)
		p.add(later, 1)
		if got := p.slowdown(later); got != 1 {
			t.Errorf("got %v after a good first event", got)
		}
	})
	t.Run("all are late", func(t *testing.T) {
		s := newFixture(4)
		for range 30 {
			s.recentPaces.add(4)
		}
		if got := s.recentPaces.common(); got != 4 {
			t.Errorf("the common lateness is %v, want 4", got)
		}
	})
}

// Guards against judging an engine slow whose first events come as predicted.
func TestEnginesAsPublishedAreNotSlow(t *testing.T) {
	s := newFixture(4)
	placeAndStart(t, s, start, 40, func(namer.Target) float64 { return 1 })
	if got := slowEngines(s, start.Add(time.Minute)); got != 0 {
		t.Errorf("%d engines count as slow", got)
	}
}
