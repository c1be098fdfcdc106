package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

var start = time.Unix(1_000, 0)

const capacity = 450_000

// unusedQuota holds the unused quota of each target, the same for memory and prefill.
type unusedQuota map[namer.Target]int

func (q unusedQuota) Unused(id namer.Target) (memory, prefill int) {
	return q[id], q[id]
}

type fixture struct {
	*placer.Placer
	unused unusedQuota
	ids    []namer.Target
}

func newFixture(targets, quota int) *fixture {
	estimates := estimator.New(estimator.DefaultSettings())
	f := &fixture{
		unused: unusedQuota{},
	}
	delays := map[namer.DataCentre]time.Duration{"d1": 500 * time.Microsecond, "d2": 500 * time.Microsecond}
	f.Placer = placer.New(placer.DefaultSettings(), estimates, f.unused,
		func(d namer.DataCentre) time.Duration { return delays[d] }, rand.New(rand.NewPCG(1, 2)))
	for i := range targets {
		id := namer.Target(fmt.Sprintf("t%03d", i))
		f.ids = append(f.ids, id)
		f.unused[id] = quota
		estimates.SetTarget(estimator.Target{ID: id, Model: "m", PrefillRate: 60_000, TokenInterval: 20 * time.Millisecond})
		f.SetTarget(placer.Target{
			ID: id, Model: "m", DataCentre: namer.DataCentre(fmt.Sprintf("d%d", i%3)),
			CapacityTokens: capacity, GroupContext: true,
		})
	}
	f.update(start, nil)
	return f
}

func (f *fixture) update(at time.Time, change func(*placer.Summary)) {
	for _, id := range f.ids {
		summary := placer.Summary{Target: id, FreeTokens: capacity - f.unused[id], WarmPercent: 100, At: at}
		if change != nil {
			change(&summary)
		}
		f.Update(summary)
	}
}

func (f *fixture) addHints(at time.Time, id namer.Target, blocks []uint64) {
	for _, one := range blocks {
		f.AddHint(at, id, one)
	}
}

func prefixes(blocks int) []uint64 {
	list := make([]uint64, blocks)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// Guards against choices that ignore load, distance, prefixes, departures or long prefills.
func TestPlace(t *testing.T) {
	short := placer.Request{ID: "r", Model: "m", PromptTokens: 4_096, OutputTokens: 300, Prefix: prefixes(8)}
	busy := func(ids ...namer.Target) func(*placer.Summary) {
		return func(s *placer.Summary) {
			for _, id := range ids {
				if s.Target == id {
					s.QueueTokens = 100_000
				}
			}
		}
	}
	cases := []struct {
		name    string
		prepare func(*fixture)
		want    namer.Target
	}{
		{"nearest when all are idle", func(*fixture) {}, "t000"},
		{"shortest queue", func(f *fixture) { f.update(start, busy("t000", "t002")) }, "t001"},
		{"own placements count before the next summary", func(f *fixture) {
			for i, id := range []namer.Target{"t000", "t001"} {
				f.Start(start.Add(1), namer.Request(fmt.Sprint(i)), placer.SingleTarget{Target: id, UncachedTokens: 50_000})
			}
		}, "t002"},
		{"cached prefix", func(f *fixture) { f.addHints(start, "t002", prefixes(8)) }, "t002"},
		{"longest cached prefix", func(f *fixture) {
			f.addHints(start, "t001", prefixes(8))
			f.addHints(start, "t002", prefixes(3))
		}, "t001"},
		{"prefix behind a gap in the events", func(f *fixture) {
			f.addHints(start, "t001", prefixes(3))
			f.addHints(start, "t002", prefixes(3))
			f.addHints(start, "t002", prefixes(8)[5:])
		}, "t002"},
		{"prefix at a target too busy for it", func(f *fixture) {
			f.addHints(start, "t002", prefixes(8))
			f.update(start, busy("t002"))
		}, "t000"},
		{"expired hint", func(f *fixture) { f.addHints(start.Add(-30*time.Second), "t002", prefixes(8)) }, "t000"},
		{"evicted hint", func(f *fixture) {
			f.addHints(start, "t002", prefixes(1))
			f.RemoveHint("t002", 1)
		}, "t000"},
		{"data centre out of service", func(f *fixture) { f.SetOutOfService([]namer.DataCentre{"d0"}, []namer.Target{"t001"}) }, "t002"},
		{"long prefill avoided", func(f *fixture) {
			f.update(start, func(s *placer.Summary) {
				if s.Target == "t000" || s.Target == "t001" {
					s.LongPrefills = 1
				}
			})
		}, "t002"},
		{"shared with a long prefill when nothing else has room", func(f *fixture) {
			f.unused["t001"], f.unused["t002"] = 0, 0
			f.update(start, func(s *placer.Summary) { s.LongPrefills, s.FreeTokens = 1, 0 })
		}, "t000"},
		{"cold target", func(f *fixture) {
			f.update(start, func(s *placer.Summary) {
				if s.Target != "t001" {
					s.WarmPercent = 10
				}
			})
		}, "t001"},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			f := newFixture(3, 100_000)
			c.prepare(f)
			single, ok := f.Place(start, short).(placer.SingleTarget)
			So(ok, ShouldBeTrue)
			So(single.Target, ShouldEqual, c.want)
		})
	}
}

// Guards against long prefills that start before other instances know of them, and against two instances that each start
// one on the same target.
func TestLong(t *testing.T) {
	long := placer.Request{ID: "r", Model: "m", PromptTokens: 100_000}
	Convey("a long prefill starts after the notice, and its estimate includes it", t, func() {
		single := newFixture(3, 10_000).Place(start, long).(placer.SingleTarget)
		So(single.Notice, ShouldEqual, 1500*time.Millisecond)
		So(single.NeedsReservation, ShouldBeTrue)
		So(single.Estimate.Wait, ShouldEqual, single.Notice)
	})
	Convey("long prefills on at most a third of the targets", t, func() {
		f := newFixture(3, 10_000)
		f.Start(start, "other", f.Place(start, long))
		So(f.Place(start, long), ShouldHaveSameTypeAs, placer.NoRoom{})
		f.EndPrefill("other")
		So(f.Place(start, long), ShouldHaveSameTypeAs, placer.SingleTarget{})
	})
	Convey("chosen without free memory only when it may wait", t, func() {
		f := newFixture(3, 10_000)
		f.update(start, func(s *placer.Summary) { s.FreeTokens = 50_000 })
		So(f.Place(start, long), ShouldHaveSameTypeAs, placer.NoRoom{})
		patient := long
		patient.MayWait = true
		So(f.Place(start, patient).(placer.SingleTarget).Waits, ShouldBeTrue)
	})
}

// Guards against a target that would miss the deadline being chosen although another one would meet it.
func TestWithin(t *testing.T) {
	Convey("shared with a long prefill rather than late", t, func() {
		f := newFixture(2, 100_000)
		f.update(start, func(s *placer.Summary) {
			if s.Target == "t000" {
				s.LongPrefills = 1
			} else {
				s.QueueTokens = 600_000
			}
		})
		r := placer.Request{ID: "r", Model: "m", PromptTokens: 4_096, OutputTokens: 300}
		So(f.Place(start, r).(placer.SingleTarget).Target, ShouldEqual, namer.Target("t001"))
		r.TimeLeft = 12 * time.Second
		So(f.Place(start, r).(placer.SingleTarget).Target, ShouldEqual, namer.Target("t000"))
	})
}

// Guards against prompts larger than a target's memory that are placed on one target, or refused although a group of
// targets could hold them.
func TestGroup(t *testing.T) {
	million := placer.Request{ID: "r", Model: "m", PromptTokens: 1_000_000, OutputTokens: 1_000}
	Convey("three targets in ascending order hold a million tokens", t, func() {
		f := newFixture(9, 10_000)
		group, ok := f.Place(start, million).(placer.Group)
		So(ok, ShouldBeTrue)
		So(len(group.Members), ShouldEqual, 3)
		So(group.Members[0].Target, ShouldBeLessThan, group.Members[1].Target)
		So(group.Members[1].Target, ShouldBeLessThan, group.Members[2].Target)
	})
	Convey("no room now", t, func() {
		So(newFixture(9, 300_000).Place(start, million), ShouldHaveSameTypeAs, placer.NoRoom{})
	})
	Convey("too few targets", t, func() {
		So(newFixture(2, 10_000).Place(start, million), ShouldHaveSameTypeAs, placer.Unplaceable{})
	})
}

// Guards against placements without room, more long prefills than allowed, placements on targets out of service, and
// accounting that doesn't return to zero after all requests have ended.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 12).Draw(t, "targets")
		f := newFixture(targets, 60_000)
		now := start
		long := map[namer.Request]namer.Target{}
		var running []namer.Request
		out := namer.DataCentre("")
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				if len(running) > 0 {
					f.Finish(running[0])
					delete(long, running[0])
					running = running[1:]
				}
			case 1:
				f.update(now, func(s *placer.Summary) {
					for _, id := range long {
						if id == s.Target {
							s.LongPrefills++
						}
					}
				})
			case 2:
				out = rapid.SampledFrom([]namer.DataCentre{"", "d1", "d2"}).Draw(t, "out")
				f.SetOutOfService([]namer.DataCentre{out}, nil)
			default:
				id := namer.Request(fmt.Sprint(i))
				r := placer.Request{ID: id, Model: "m", PromptTokens: rapid.IntRange(1, 300_000).Draw(t, "prompt"), OutputTokens: 100}
				single, ok := f.Place(now, r).(placer.SingleTarget)
				if !ok {
					continue
				}
				number := 0
				fmt.Sscanf(string(single.Target), "t%d", &number)
				if namer.DataCentre(fmt.Sprintf("d%d", number%3)) == out {
					t.Fatalf("placed on %s in %s, which is out", single.Target, out)
				}
				if !single.NeedsReservation && r.Tokens() > f.unused[single.Target] {
					t.Fatalf("%d tokens placed in a quota of %d", r.Tokens(), f.unused[single.Target])
				}
				f.Start(now, id, single)
				running = append(running, id)
				if single.Class != placer.Long {
					continue
				}
				for _, other := range long {
					if other == single.Target {
						t.Fatalf("two long prefills on %s", other)
					}
				}
				long[id] = single.Target
				if out == "" && len(long) > max(1, targets/3) {
					// Those started before a departure may exceed the share of those left.
					t.Fatalf("%d long prefills on %d targets", len(long), targets)
				}
			}
		}
		for _, id := range running {
			f.EndPrefill(id)
			f.Finish(id)
		}
		if f.Running() != 0 {
			t.Fatalf("%d requests left", f.Running())
		}
		f.SetOutOfService(nil, nil)
		f.update(now, nil)
		r := placer.Request{ID: "last", Model: "m", PromptTokens: 100_000}
		if single, ok := f.Place(now, r).(placer.SingleTarget); !ok || single.Estimate.Wait != single.Notice {
			t.Fatalf("after all requests have ended: %+v", f.Place(now, r))
		}
	})
}
