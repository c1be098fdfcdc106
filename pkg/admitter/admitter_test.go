package admitter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/admitter"
	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

var start = time.Unix(1_000, 0)

// fakePlacer is a placer with a single target that has free tokens; each request runs for a second.
type fakePlacer struct {
	free int
}

func (m *fakePlacer) Place(_ time.Time, r placer.Request) placer.Decision {
	estimate := estimator.Estimate{Total: time.Second, Tokens: r.Tokens()}
	class := placer.Short
	if r.PromptTokens > 64_000 {
		class = placer.Long
	}
	switch {
	case r.PromptTokens > 1_000_000:
		return placer.Unplaceable{NeededTokens: r.Tokens(), Targets: 1}
	case r.Tokens() > m.free:
		return placer.NoRoom{NeededTokens: r.Tokens(), FreeTokens: m.free, Class: class, Estimate: estimate}
	}
	return placer.SingleTarget{Target: "t", Class: class, Estimate: estimate}
}

func newAdmitter(m *fakePlacer, limits map[namer.Customer]admitter.Limits) *admitter.Admitter {
	a := admitter.New(admitter.DefaultSettings(), m)
	a.SetCustomers(limits)
	return a
}

func request(id, customer string, tokens int, now time.Time, timeout time.Duration) admitter.Request {
	return admitter.Request{
		Request:  placer.Request{ID: namer.Request(id), Model: "m", PromptTokens: tokens},
		Customer: namer.Customer(customer),
		Arrived:  now,
		Deadline: now.Add(timeout),
	}
}

func limits(names ...string) map[namer.Customer]admitter.Limits {
	all := map[namer.Customer]admitter.Limits{}
	for _, name := range names {
		all[namer.Customer(name)] = admitter.Limits{Weight: 1}
	}
	return all
}

// Guards against refusals with the wrong reason, or with a Retry-After that does not match the
// predicted release of memory.
func TestRefuse(t *testing.T) {
	cases := []struct {
		name     string
		limits   admitter.Limits
		running  int
		request  admitter.Request
		want     refuser.Reason
		wantWait time.Duration
	}{
		{"past deadline", admitter.Limits{}, 0, request("r", "c", 1, start, 0), refuser.DeadlinePast, 0},
		{"unknown customer", admitter.Limits{}, 0, request("r", "x", 1, start, time.Minute), refuser.UnknownCustomer, 0},
		{"too long for all targets", admitter.Limits{}, 0, request("r", "c", 2_000_000, start, time.Minute), refuser.PromptExceedsTargets, 0},
		{"unreachable even when idle", admitter.Limits{}, 0, request("r", "c", 1, start, time.Second-1), refuser.DeadlineUnreachable, 0},
		{"released too late", admitter.Limits{}, 10, request("r", "c", 10, start, 2*time.Second-1), refuser.DeadlineUnreachable, time.Second},
		{"share of the rate", admitter.Limits{RequestsPerSecond: 8}, 2, request("r", "c", 1, start, time.Minute), refuser.RateLimited, 500 * time.Millisecond},
		{"at least one", admitter.Limits{Concurrency: 1}, 1, request("r", "c", 1, start, time.Minute), refuser.ConcurrencyLimited, time.Second},
		{"share of the concurrency", admitter.Limits{Concurrency: 8}, 2, request("r", "c", 1, start, time.Minute), refuser.ConcurrencyLimited, time.Second},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			m := &fakePlacer{free: 100}
			a := newAdmitter(m, map[namer.Customer]admitter.Limits{"c": c.limits})
			a.SetInstances(4)
			for i := range c.running {
				So(a.Submit(start, request(fmt.Sprint(i), "c", 10, start, time.Minute)), ShouldHaveSameTypeAs, admitter.Admit{})
				m.free -= 10
			}
			refused, ok := a.Submit(start, c.request).(admitter.Refuse)
			So(ok, ShouldBeTrue)
			So(refused.Refusal.Reason, ShouldEqual, c.want)
			So(refused.Refusal.RetryAfter, ShouldEqual, c.wantWait)
			So(refused.Refusal.Ran, ShouldEqual, refuser.RanNo)
		})
	}
	Convey("the queue is bounded", t, func() {
		a := newAdmitter(&fakePlacer{}, limits("c"))
		for i := range 1_000 {
			So(a.Submit(start, request(fmt.Sprint(i), "c", 10, start, time.Hour)), ShouldHaveSameTypeAs, admitter.Queue{})
		}
		So(a.Submit(start, request("r", "c", 10, start, time.Hour)).(admitter.Refuse).Refusal.Reason, ShouldEqual, refuser.QueueFull)
	})
}

// drain frees a number of tokens, admits queued requests until none fits, and returns their ids in order.
func drain(a *admitter.Admitter, m *fakePlacer, now time.Time, free int) []namer.Request {
	m.free = free
	var order []namer.Request
	for {
		admit, ok := a.Next(now, "m").(admitter.Admit)
		if !ok {
			return order
		}
		m.free -= admit.Request.Tokens()
		order = append(order, admit.Request.ID)
	}
}

// Guards against a large customer that starves a small one, an order of admission that ignores weights
// or deadlines, and late requests whose priority is not raised.
func TestOrder(t *testing.T) {
	Convey("a small customer is not starved by the backlog of a large one", t, func() {
		m := &fakePlacer{}
		a := newAdmitter(m, limits("large", "small"))
		for i := range 50 {
			a.Submit(start, request(fmt.Sprintf("l%02d", i), "large", 10, start, time.Hour))
		}
		a.Submit(start, request("s", "small", 10, start, time.Hour))
		So(drain(a, m, start, 20), ShouldContain, namer.Request("s"))
	})
	Convey("tokens are shared by weight", t, func() {
		m := &fakePlacer{}
		a := newAdmitter(m, map[namer.Customer]admitter.Limits{"a": {Weight: 3}, "b": {Weight: 1}})
		for i := range 50 {
			a.Submit(start, request(fmt.Sprintf("a%02d", i), "a", 10, start, time.Hour))
			a.Submit(start, request(fmt.Sprintf("b%02d", i), "b", 10, start, time.Hour))
		}
		counts := map[byte]int{}
		for _, id := range drain(a, m, start, 400) {
			counts[id[0]]++
		}
		So(counts['a'], ShouldBeBetween, 28, 32)
	})
	Convey("the request with the earliest latest start goes first", t, func() {
		m := &fakePlacer{}
		a := newAdmitter(m, limits("c"))
		a.Submit(start, request("later", "c", 10, start, time.Hour))
		a.Submit(start, request("sooner", "c", 10, start, time.Minute))
		So(drain(a, m, start, 10), ShouldResemble, []namer.Request{"sooner"})
	})
	Convey("a long request close to its deadline goes before short ones", t, func() {
		m := &fakePlacer{}
		a := newAdmitter(m, limits("c", "d"))
		a.Submit(start, request("long", "c", 100_000, start, 40*time.Second))
		now := start.Add(30 * time.Second)
		a.Submit(now, request("short", "d", 10, now, time.Hour))
		So(drain(a, m, now, 100_000), ShouldResemble, []namer.Request{"long"})
		So(a.Priority(now, request("long", "c", 100_000, start, 40*time.Second), placer.Long), ShouldEqual, 1)
	})
}

// Guards against requests that are never decided or are admitted twice, requests left in the queue after their end,
// and concurrency limits that are exceeded.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fakePlacer{free: 1_000}
		all := map[namer.Customer]admitter.Limits{"a": {Weight: 1, Concurrency: 5}, "b": {Weight: 2}}
		a := newAdmitter(m, all)
		now := start
		queued := map[namer.Request]admitter.Request{}
		running := map[namer.Request]admitter.Request{}
		active := 0
		apply := func(action admitter.Action) {
			switch got := action.(type) {
			case admitter.Admit:
				if running[got.Request.ID].Tokens() > 0 {
					t.Fatalf("%s admitted twice", got.Request.ID)
				}
				delete(queued, got.Request.ID)
				running[got.Request.ID] = got.Request
				if m.free -= got.Request.Tokens(); m.free < 0 {
					t.Fatalf("%d tokens too many admitted", -m.free)
				}
			case admitter.Queue:
				queued[got.Request.ID] = got.Request
			case admitter.Refuse:
				delete(queued, got.Request.ID)
			}
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				for id, one := range running {
					if rapid.Bool().Draw(t, "requeue") {
						a.Requeue(now, id, placer.Short)
						queued[id] = one
					} else {
						a.Finish(now, id)
					}
					delete(running, id)
					m.free += one.Tokens()
					break
				}
			case 1:
				for id, one := range queued {
					if !a.Cancel(one) {
						t.Fatalf("%s was not queued", id)
					}
					delete(queued, id)
					break
				}
			default:
				customer := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
				apply(a.Submit(now, request(fmt.Sprint(i), customer, rapid.IntRange(1, 900).Draw(t, "tokens"), now,
					time.Duration(rapid.IntRange(1, 20).Draw(t, "patience"))*time.Second)))
			}
			for action := a.Next(now, "m"); action != nil; action = a.Next(now, "m") {
				apply(action)
			}
			active = 0
			for _, one := range running {
				if one.Customer == "a" {
					active++
				}
			}
			if active > all["a"].Concurrency {
				t.Fatalf("%d requests of a customer with a limit of %d", active, all["a"].Concurrency)
			}
			if a.Queued("m") != len(queued) || a.Running() != len(running) {
				t.Fatalf("%d queued and %d running, want %d and %d", a.Queued("m"), a.Running(), len(queued), len(running))
			}
		}
		now = now.Add(time.Hour)
		for action := a.Next(now, "m"); action != nil; action = a.Next(now, "m") {
			apply(action)
		}
		if a.Queued("m") != 0 {
			t.Fatalf("%d requests queued past their deadline", a.Queued("m"))
		}
	})
}
