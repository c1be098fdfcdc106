package reconciler

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/limiter"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

// variant disables one mechanism, to show that the checked properties depend on it.
type variant int

const (
	complete variant = iota
	// lostIsDone: an order whose answer was lost counts as done.
	lostIsDone
	// ignoreBoot: the restart of a target is not detected.
	ignoreBoot
	// noRate: the rate limit of the weight store is not enforced.
	noRate
	// overtake: an order is sent while an earlier one is open.
	overtake
	// ignoreLateOrders: lost orders are assumed to have no late effect.
	ignoreLateOrders
)

var start = time.Unix(1000, 0)

// unlimitedBucket is a Bucket without a limit.
type unlimitedBucket struct{}

func (unlimitedBucket) Take(float64, time.Time) bool { return true }

// engine is a target whose state is the last order of each kind.
type engine struct {
	boot  int
	state map[roller.OrderKind]string
}

// model is an owner of three engines whose answers are lost and whose processes restart.
type model struct {
	*Reconciler
	draw    schedule.Draw
	variant variant
	now     time.Time
	engines map[namer.Target]*engine
	wanted  map[namer.Target][]roller.Order
	network schedule.Network
	loads   []time.Time
	bundle  int
}

var targets = []namer.Target{"t0", "t1", "t2"}

func newModel(draw schedule.Draw, v variant) *model {
	var bucket Bucket = limiter.NewBucket(LoadsPerSecond, 1, start)
	if v == noRate {
		bucket = unlimitedBucket{}
	}
	settings := DefaultSettings()
	if v == ignoreLateOrders {
		settings.MaxOrderDelay = 0
	}
	m := &model{
		Reconciler: New(settings, bucket),
		draw:       draw,
		variant:    v,
		now:        start,
		engines:    map[namer.Target]*engine{},
	}
	for _, id := range targets {
		m.engines[id] = &engine{}
		m.restart(id)
		m.do(m.AddTarget(id, 1, m.now))
	}
	return m
}

func (m *model) run(steps int) error {
	for range steps {
		id := targets[m.draw("target", len(targets))]
		switch m.draw("step", 20) {
		default:
			m.network.Deliver(m.draw("message", 4))
		case 8, 9, 10, 11, 12, 13, 14:
			m.advance(time.Duration(m.draw("seconds", 20)) * time.Second)
		case 15, 16, 17:
			m.changeWanted()
		case 18:
			m.restart(id)
		case 19:
			m.RemoveTarget(id)
			m.do(m.AddTarget(id, 1, m.now))
		}
	}
	for range 300 {
		for m.network.Deliver(0) {
		}
		m.advance(5 * time.Second)
	}
	return m.check()
}

// changeWanted changes the wanted version and role of each engine.
func (m *model) changeWanted() {
	m.bundle++
	m.wanted = map[namer.Target][]roller.Order{}
	for _, id := range targets {
		m.wanted[id] = []roller.Order{
			{Kind: roller.OrderLoadVersion, Name: fmt.Sprint("v", m.bundle%3)},
			{Kind: roller.OrderChangeRole, Name: fmt.Sprint("r", m.bundle%2)},
		}
	}
	m.do(m.SetWanted(m.wanted, m.now))
}

func (m *model) restart(id namer.Target) {
	m.engines[id].boot++
	m.engines[id].state = map[roller.OrderKind]string{}
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, id := range targets {
		if m.variant != ignoreBoot {
			m.do(m.ObserveBoot(id, fmt.Sprint(m.engines[id].boot), m.now))
		}
	}
	if m.variant == overtake {
		for _, t := range m.owned {
			t.open = nil
		}
	}
	m.do(m.Tick(m.now))
}

func (m *model) do(actions []Action) {
	for _, a := range actions {
		order, ok := a.(SendOrder)
		if !ok {
			continue
		}
		if order.Order.Kind.UsesWeightStore() {
			m.loads = append(m.loads, m.now)
		}
		sent := m.now
		boot := m.engines[order.Target].boot
		m.network.Send(func() {
			outcome := m.draw("answer", 5)
			// An order that arrives after MaxOrderDelay or after a restart has no effect, and its answer is lost.
			late := m.now.Sub(sent) >= DefaultSettings().MaxOrderDelay
			if late || m.engines[order.Target].boot != boot {
				outcome = 3
			}
			m.execute(order, outcome)
		})
	}
}

// execute simulates the engine. The order takes effect unless the outcome is 3 or 4; its answer is lost with 2 and 3, and is
// an error with 4.
func (m *model) execute(o SendOrder, outcome int) {
	result := ResultDone
	switch outcome {
	case 2:
		m.engines[o.Target].state[o.Order.Kind] = o.Order.Name
		result = ResultLost
	case 3:
		result = ResultLost
	case 4:
		result = ResultFailed
	default:
		m.engines[o.Target].state[o.Order.Kind] = o.Order.Name
	}
	if m.variant == lostIsDone && result == ResultLost {
		result = ResultDone
	}
	m.do(m.Finish(o.Target, o.Number, result, m.now))
}

// check requires that every engine has its wanted state and that the loads kept to the weight store's rate limit.
func (m *model) check() error {
	for _, id := range targets {
		for _, o := range m.wanted[id] {
			if got := m.engines[id].state[o.Kind]; got != o.Name {
				return fmt.Errorf("%s has %s %q instead of %q", id, o.Kind, got, o.Name)
			}
		}
	}
	for i := 1; i < len(m.loads); i++ {
		if gap := m.loads[i].Sub(m.loads[i-1]); gap < 9*time.Second {
			return fmt.Errorf("two loads within %v", gap)
		}
	}
	return nil
}

// Guards against engines that do not reach their wanted state after lost answers, restarts and changed bundles, and
// against loads that exceed the weight store's rate limit.
func TestTargetsReachWantedState(t *testing.T) {
	schedule.Check(t, 1000, func(draw schedule.Draw) error { return newModel(draw, complete).run(60) })
}

// Guards against properties that hold for any implementation: the check must fail for each disabled mechanism.
func TestVariantsAreCaught(t *testing.T) {
	without := func(v variant) func(schedule.Draw) error {
		return func(draw schedule.Draw) error { return newModel(draw, v).run(60) }
	}
	schedule.RequireFailures(t, 3000, map[string]func(schedule.Draw) error{
		"lost answer counts as done": without(lostIsDone),
		"restart not detected":       without(ignoreBoot),
		"rate limit not enforced":    without(noRate),
		"orders overtake each other": without(overtake),
		"late orders ignored":        without(ignoreLateOrders),
	})
}

// Guards against an owner that sends orders after the target has rejected its epoch, and against retries without backoff.
func TestStaleAndBackoff(t *testing.T) {
	r := New(DefaultSettings(), unlimitedBucket{})
	wanted := map[namer.Target][]roller.Order{"t0": {{Kind: roller.OrderLoadModel, Name: "m"}}}
	convey.Convey("a failed order is retried with backoff, a stale epoch stops all orders until the next epoch", t, func() {
		convey.So(r.AddTarget("t0", 3, start), convey.ShouldBeEmpty)
		sent := r.SetWanted(wanted, start)[0].(SendOrder)
		convey.So(sent.Epoch, convey.ShouldEqual, namer.Epoch(3))
		convey.So(r.Finish("t0", sent.Number, ResultFailed, start), convey.ShouldBeEmpty)
		convey.So(r.Tick(start.Add(900*time.Millisecond)), convey.ShouldBeEmpty)
		again := r.Tick(start.Add(time.Second))[0].(SendOrder)
		convey.So(r.Finish("t0", again.Number, ResultFailed, start.Add(time.Second)), convey.ShouldBeEmpty)
		convey.So(r.Tick(start.Add(2900*time.Millisecond)), convey.ShouldBeEmpty)
		third := r.Tick(start.Add(3 * time.Second))[0].(SendOrder)
		stale := r.Finish("t0", third.Number, ResultStale, start.Add(3*time.Second))
		convey.So(stale, convey.ShouldResemble, []Action{ReportStale{Target: "t0", Epoch: 3}})
		convey.So(r.Tick(start.Add(time.Hour)), convey.ShouldBeEmpty)
		convey.So(r.Unconfirmed(), convey.ShouldEqual, 1)
		convey.So(r.AddTarget("t0", 4, start.Add(time.Hour)), convey.ShouldHaveLength, 1)
	})
}
