package isolator

import (
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// crashes reports crashes of engines one after the other, each with one request.
func crashes(i *Isolator, from, spacing, count int, parts ...namer.Part) {
	for n := range count {
		i.Crashed(at(from+n*spacing), Crash{
			Engine:  namer.Target(fmt.Sprint("engine-", from, "-", n)),
			Request: namer.Request(fmt.Sprint("request-", from, "-", n/2)),
			Parts:   parts,
		})
		i.Decide(at(from + n*spacing + settled))
	}
}

// lateCrashes reports crashes of engines long after the beginning of an answer, one after the other.
func lateCrashes(i *Isolator, count int, parts ...namer.Part) {
	for n := range count {
		i.Crashed(at(200*n), Crash{
			Engine:  namer.Target(fmt.Sprint("engine-", n)),
			Request: namer.Request(fmt.Sprint("request-", n)),
			Parts:   parts,
			Late:    true,
		})
		i.Decide(at(200*n + settled))
	}
}

// settled is the time in milliseconds after which a crash counts.
const settled = 150

func assertIsolated(t *testing.T, i *Isolator, want ...namer.Part) {
	t.Helper()
	var got []namer.Part
	for _, k := range i.Isolations() {
		got = append(got, k.Part)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("isolated %v, want %v", got, want)
	}
}

// Guards against a part that goes on crashing engines, and against the isolation of sound parts beside it, which would cost the callers
// that share them.
func TestFindsThePart(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(i *Isolator)
		want []namer.Part
	}{
		{name: "found before the sixth crash", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"first"})
			crashes(i, 100, 200, 5, "first", "deadly")
		}, want: []namer.Part{"deadly"}},
		{name: "too few crashes", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"first"})
			crashes(i, 100, 200, 3, "first", "deadly")
		}},
		{name: "one request, sent again and again", play: func(i *Isolator) {
			for n := range 8 {
				i.Crashed(at(200*n), Crash{
					Engine:  namer.Target(fmt.Sprint("engine-", n)),
					Request: "same",
					Parts:   []namer.Part{"first", "deadly"},
				})
			}
			i.Decide(at(5000))
		}},
		{name: "sound in between", play: func(i *Isolator) {
			crashes(i, 0, 200, 3, "popular")
			i.Sound(at(0), []namer.Part{"popular"})
			crashes(i, 800, 200, 3, "popular")
		}},
		{name: "power lost by many engines at once", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"popular"})
			crashes(i, 0, 5, 40, "popular")
		}},
		{name: "sound once, and deadly since", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"popular"})
			crashes(i, 0, 200, 8, "popular")
		}, want: []namer.Part{"popular"}},
		{name: "nothing known of either part, one more seldom at crashes", play: func(i *Isolator) {
			crashes(i, 0, 200, 3, "first", "deadly")
			crashes(i, 1000, 200, 1, "second", "deadly")
		}, want: []namer.Part{"deadly"}},
		{name: "always together: waits, then takes the later part", play: func(i *Isolator) {
			crashes(i, 0, 200, 7, "first", "deadly")
		}},
		{name: "always together for long", play: func(i *Isolator) {
			crashes(i, 0, 200, 8, "first", "deadly")
		}, want: []namer.Part{"deadly"}},
		{name: "a neighbour on crashed engines", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"first"})
			for n := range 12 {
				engine := namer.Target(fmt.Sprint("engine-", n))
				i.Crashed(at(200*n), Crash{Engine: engine, Request: namer.Request(fmt.Sprint("n", n)), Parts: []namer.Part{"neighbour"}})
				i.Crashed(at(200*n), Crash{Engine: engine, Request: namer.Request(fmt.Sprint("d", n)), Parts: []namer.Part{"first", "deadly"}})
				i.Decide(at(200*n + settled))
			}
		}, want: []namer.Part{"deadly"}},
		{name: "two parts", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"first"})
			crashes(i, 100, 200, 5, "first", "deadly")
			crashes(i, 2000, 200, 5, "first", "fatal")
		}, want: []namer.Part{"deadly", "fatal"}},
		{name: "too few crashes long after the beginning of an answer", play: func(i *Isolator) {
			lateCrashes(i, 7, "popular")
		}},
		{name: "many crashes long after the beginning of an answer", play: func(i *Isolator) {
			lateCrashes(i, 8, "deadly")
		}, want: []namer.Part{"deadly"}},
		{name: "a neighbour whose answer had begun long before", play: func(i *Isolator) {
			for n := range 5 {
				engine := namer.Target(fmt.Sprint("engine-", n))
				i.Crashed(at(200*n), Crash{Engine: engine, Request: namer.Request(fmt.Sprint("n", n)), Parts: []namer.Part{"neighbour"}, Late: true})
				i.Crashed(at(200*n), Crash{Engine: engine, Request: namer.Request(fmt.Sprint("d", n)), Parts: []namer.Part{"deadly"}})
				i.Decide(at(200*n + settled))
			}
		}, want: []namer.Part{"deadly"}},
		{name: "one request under new IDs, its parts sound", play: func(i *Isolator) {
			for n := range 4 {
				crashes(i, 200*n, 200, 1, "first", "popular", Whole("deadly"))
				i.Sound(at(200*n+100), []namer.Part{"first", "popular", Whole(fmt.Sprint(n))})
			}
			crashes(i, 1000, 200, 4, "first", "popular", Whole("deadly"))
		}, want: []namer.Part{Whole("deadly")}},
		{name: "one request under new IDs, nothing known of its parts", play: func(i *Isolator) {
			crashes(i, 0, 200, 8, "first", "popular", Whole("deadly"))
		}, want: []namer.Part{Whole("deadly")}},
		{name: "a part in many requests", play: func(i *Isolator) {
			for n := range 5 {
				crashes(i, 200*n, 200, 1, "deadly", Whole(fmt.Sprint(n)))
			}
		}, want: []namer.Part{"deadly"}},
		{name: "a request and a part of others", play: func(i *Isolator) {
			i.Sound(at(0), []namer.Part{"first", "popular"})
			for n := range 5 {
				crashes(i, 100+400*n, 200, 1, "first", "popular", Whole("fatal"))
				crashes(i, 300+400*n, 200, 1, "first", "deadly", Whole(fmt.Sprint(n)))
			}
		}, want: []namer.Part{"deadly", Whole("fatal")}},
		{name: "a request that was answered between its crashes", play: func(i *Isolator) {
			crashes(i, 0, 200, 3, "popular", Whole("sound"))
			i.Sound(at(700), []namer.Part{"popular", Whole("sound")})
			crashes(i, 800, 200, 3, "popular", Whole("sound"))
		}},
		{name: "requests without shared parts", play: func(i *Isolator) {
			crashes(i, 0, 200, 8)
		}},
		{name: "one crash, reported by many instances with clocks of their own", play: func(i *Isolator) {
			for n := range 8 {
				i.Crashed(at(40*n), Crash{
					Engine:  "engine",
					Started: start.In(time.FixedZone("", 3600*n)),
					Request: namer.Request(fmt.Sprint("request-", n)),
					Parts:   []namer.Part{"popular"},
				})
			}
			i.Decide(at(1000))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := New(DefaultSettings())
			c.play(i)
			assertIsolated(t, i, c.want...)
		})
	}
}

// Guards against a part that stays isolated for good although engines were repaired, and against a second series of crashes when its
// time is over.
func TestIsolationEnds(t *testing.T) {
	s := DefaultSettings()
	i := New(s)
	crashes(i, 0, 200, 8, "first", "deadly")
	over := i.Isolations()[0].Until
	t.Run("the first crash after its time isolates it for twice as long", func(t *testing.T) {
		i.Crashed(over, Crash{Engine: "engine", Request: "request", Parts: []namer.Part{"first", "deadly"}})
		again := i.Decide(over.Add(s.Settle))
		if len(again) != 1 || again[0].Part != "deadly" || again[0].Hold != 2*s.Hold {
			t.Errorf("got %+v", again)
		}
	})
	t.Run("an answer ends it", func(t *testing.T) {
		if ended := i.Sound(over, []namer.Part{"first", "deadly"}); len(ended) != 1 || ended[0] != "deadly" {
			t.Errorf("ended: %v", ended)
		}
		assertIsolated(t, i)
	})
}

// Guards against state that grows with the number of parts, crashes and isolations.
func TestMemoryIsBounded(t *testing.T) {
	s := DefaultSettings()
	i := New(s)
	for n := range 3 * s.MaxSound {
		i.Sound(at(0), []namer.Part{namer.Part(fmt.Sprint("part-", n))})
	}
	last := namer.Part(fmt.Sprint("part-", 3*s.MaxSound-1))
	for n := range 3 * s.MaxSound {
		i.Sound(at(0), []namer.Part{Whole(fmt.Sprint(n))})
	}
	if i.lastSound(last).IsZero() {
		t.Error("answered requests have pushed an answered part out of the memory")
	}
	for n := range 2 * s.MaxIsolated {
		i.Add(Isolation{Part: namer.Part(fmt.Sprint("isolated-", n)), Until: at(n), Hold: s.Hold})
	}
	crashes(i, 0, 1, 3*s.MaxCrashes, "part")
	if len(i.sound)+len(i.olderSound) > 2*s.MaxSound || len(i.isolated) > s.MaxIsolated || len(i.crashes) > s.MaxCrashes {
		t.Errorf("%d sound, %d isolated, %d crashes", len(i.sound)+len(i.olderSound), len(i.isolated), len(i.crashes))
	}
}

// Guards against a follower that keeps an isolation that its leader has ended, or that lacks one.
func TestReplace(t *testing.T) {
	i := New(DefaultSettings())
	i.Add(Isolation{Part: "old", Until: at(600_000), Hold: 10 * time.Minute})
	list := []Isolation{{Part: "deadly", Until: at(600_000), Hold: 10 * time.Minute}}
	if !i.Replace(list) {
		t.Error("the new list was taken to be the same")
	}
	assertIsolated(t, i, "deadly")
	if i.Replace(list) {
		t.Error("the same list was taken to be new")
	}
}

// Guards against an isolation that comes back after its end, with an instance that hasn't heard of the end.
func TestEndedIsolationIsNotAddedAgain(t *testing.T) {
	i := New(DefaultSettings())
	known := Isolation{Part: "sound", Until: at(600_000), Hold: 10 * time.Minute}
	i.Add(known)
	i.Sound(at(1000), []namer.Part{"sound"})
	if i.Add(known) {
		t.Error("it was added again")
	}
}

// Guards against instances that send each other the same isolation forever, and against one that shortens another's.
func TestAdd(t *testing.T) {
	i := New(DefaultSettings())
	known := Isolation{Part: "deadly", Until: at(600_000), Hold: 10 * time.Minute}
	for _, c := range []struct {
		name string
		add  Isolation
		want bool
	}{
		{name: "new", add: known, want: true},
		{name: "the same, a moment later", add: Isolation{Part: "deadly", Until: at(600_050), Hold: 10 * time.Minute}},
		{name: "shorter", add: Isolation{Part: "deadly", Until: at(300_000), Hold: 5 * time.Minute}},
		{name: "longer", add: Isolation{Part: "deadly", Until: at(1_800_000), Hold: 20 * time.Minute}, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := i.Add(c.add); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}
