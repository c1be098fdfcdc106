package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/sizer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// fakeDuties records orders.
type fakeDuties struct {
	err    error
	orders chan string
}

func (f *fakeDuties) ReportUsage(context.Context, Act, int64, map[namer.Customer]int) error {
	return nil
}

func (f *fakeDuties) OrderEngines(_ context.Context, act Act, service namer.Service, dataCentre namer.DataCentre, count int) error {
	f.orders <- fmt.Sprintf("%s/%s=%d by %s/%d", service, dataCentre, count, act.Holder, act.Fence)
	return f.err
}

// sizingFixture is a leader with two engines, in one data centre, whose number can be ordered.
func sizingFixture(t *testing.T, scaling *matcher.Scaling) (*Coordinator, *fakeDuties, *manualClock) {
	clock := &manualClock{System: timer.System{}, now: time.Unix(1_000, 0)}
	calls := &fakeDuties{orders: make(chan string, 100)}
	o := startInstance(t, newStore(), 0).options
	o.Clock = clock
	o.Sizer = sizer.DefaultSettings()
	o.Sizing = NewSizingMetrics()
	o.Duties = &DutyOptions{
		Calls:          calls,
		Engines:        true,
		CallsPerSecond: 50,
		Elapsed:        func() time.Duration { return time.Second },
	}
	c := New(o)
	c.convener.PointerWritten(clock.now, versioner.Of(1))
	rules := rulesOf(1)
	rules.Services[0].Scaling = scaling
	encoded, _ := json.Marshal(rules)
	c.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindRules, Name: "main", Version: versioner.Of(1), Value: encoded}})
	for i, id := range []string{"a", "b"} {
		entry, _ := json.Marshal(cataloguer.Target{ID: namer.Target(id), Service: "scribe", Slots: 16, DataCentre: "pier"})
		c.applyChange(clock.now, storer.Event{
			Type:   storer.EventPut,
			Object: storer.Object{Kind: kindTargets, Name: id, Version: versioner.Of(int64(2 + i)), Value: entry},
		})
	}
	c.publish()
	return c, calls, clock
}

// offer lets callers ask for two engines' time of prefill a second, and the duty be done, for a while.
func offer(c *Coordinator, clock *manualClock, fence int64, length time.Duration) {
	for i := range int(length / sizingInterval) {
		c.scheduler.Submit(scheduler.Request{
			ID:           namer.Request(fmt.Sprintf("%d-%d", fence, i)),
			Service:      "scribe",
			PromptTokens: 40_000,
			Arrived:      clock.now,
			Deadline:     clock.now.Add(time.Minute),
		})
		c.tendEngines(context.Background(), clock.now, turn{
			act: Act{
				Holder: "one",
				Fence:  fence,
			},
			until: time.Hour,
		})
		clock.now = clock.now.Add(sizingInterval)
		drainMessages(c, clock.now)
	}
}

func drainMessages(c *Coordinator, now time.Time) {
	for {
		select {
		case m := <-c.messages:
			if ended, ok := m.(dutyCallEnded); ok {
				ended.finish(now, ended.err)
			}
		default:
			return
		}
	}
}

func assertOrder(t *testing.T, calls *fakeDuties, want string) {
	t.Helper()
	select {
	case got := <-calls.orders:
		if got != want {
			t.Errorf("got order %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("no order, want %s", want)
	}
}

func assertNoOrder(t *testing.T, calls *fakeDuties) {
	t.Helper()
	select {
	case got := <-calls.orders:
		t.Errorf("got order %s", got)
	case <-time.After(20 * time.Millisecond):
	}
}

var twoToThree = matcher.Scaling{
	Minimum:   2,
	Maximum:   3,
	StartTime: 8 * time.Second,
}

// Guards against callers who lack engines while the platform takes orders for more, and against an order under another name or fence than
// the duty's.
func TestEnginesAreOrdered(t *testing.T) {
	c, calls, clock := sizingFixture(t, &twoToThree)
	offer(c, clock, 7, 4*time.Second)
	assertNoOrder(t, calls)
	offer(c, clock, 7, time.Second)
	assertOrder(t, calls, "scribe/pier=3 by one/7")
}

// Guards against orders by a new holder on what another one observed.
func TestNewTurnObservesAnew(t *testing.T) {
	c, calls, clock := sizingFixture(t, &twoToThree)
	offer(c, clock, 7, 4*time.Second)
	offer(c, clock, 8, 4*time.Second)
	assertNoOrder(t, calls)
}

// Guards against orders where the rules hold no limits for the number, and while it isn't known which engines there are.
func TestNoOrdersAreDue(t *testing.T) {
	for _, test := range []struct {
		name    string
		scaling *matcher.Scaling
		lost    bool
	}{
		{name: "fixed number"},
		{name: "store lost", scaling: &twoToThree, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, calls, clock := sizingFixture(t, test.scaling)
			c.storeState.StoreLost = test.lost
			offer(c, clock, 7, 8*time.Second)
			assertNoOrder(t, calls)
		})
	}
}

// Guards against taking an order for refused that the platform may have carried out, and the other way round.
func TestOrderOutcome(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want sizer.Outcome
	}{
		{name: "taken", want: sizer.Accepted},
		{name: "turned away", err: &DutyError{Refused: true}, want: sizer.Refused},
		{name: "not sent", err: &DutyError{Cause: errTurnOver}, want: sizer.Refused},
		{name: "no answer", err: &DutyError{MayHaveRun: true}, want: sizer.Lost},
		{name: "unknown", err: context.DeadlineExceeded, want: sizer.Lost},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := orderOutcome(test.err); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
