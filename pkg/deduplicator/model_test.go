package deduplicator

import (
	"fmt"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// variant leaves one mechanism out, to show that the properties depend on it.
type variant int

const (
	complete variant = iota
	// blindWrites: the store ignores conditions.
	blindWrites
	// trustLostWrite: a lost answer counts as success instead of being read back.
	trustLostWrite
	// sendTwice: the call is sent again when its answer is lost.
	sendTwice
	// reviveStarted: a started record of a killed process counts as not run.
	reviveStarted
	// lostMeansNotRun: a lost answer of the service is reported as not sent.
	lostMeansNotRun
)

// world is a store, a service and three instances whose messages are delivered in any order.
type world struct {
	draw    schedule.Draw
	variant variant
	now     time.Time
	version int64
	objects map[string]ReadBack
	down    bool
	// repaired ends all faults, so that what is open must end.
	repaired  bool
	instances []*modelInstance
	calls     []*modelCall
	wire      schedule.Wire
	runs      map[string]int
	ranBy     map[int64]bool
	attempt   int64
	reached   map[string]int
	fault     error
}

type modelInstance struct {
	holder  namer.Holder
	paused  bool
	settler *Settler
}

type modelCall struct {
	*Call
	owner   *modelInstance
	holder  namer.Holder
	answers []Answer
}

func newWorld(draw schedule.Draw, v variant) *world {
	w := &world{
		draw:    draw,
		variant: v,
		now:     time.Unix(1000, 0),
		objects: map[string]ReadBack{},
		runs:    map[string]int{},
		ranBy:   map[int64]bool{},
		reached: map[string]int{},
	}
	for i := range 3 {
		w.instances = append(w.instances, &modelInstance{
			holder: namer.Holder{
				Instance:    namer.Instance(fmt.Sprint("i", i)),
				Incarnation: "1",
			},
			settler: NewSettler(DefaultSettlerSettings()),
		})
	}
	return w
}

// run plays a schedule, then repairs everything and lets all work end.
func (w *world) run(steps int) error {
	for range steps {
		w.step()
	}
	w.down = false
	w.repaired = true
	for _, i := range w.instances {
		i.paused = false
	}
	for round := 0; round < 400; round++ {
		w.wire.Deliver(0)
		if round%10 == 9 {
			w.advance(2 * time.Second)
		}
	}
	w.checkEnd()
	return w.fault
}

func (w *world) step() {
	i := w.instances[w.draw("instance", len(w.instances))]
	switch w.draw("step", 20) {
	default:
		w.wire.Deliver(w.draw("message", 16))
	case 13, 14, 15:
		w.arrive(i)
	case 16:
		w.advance([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 3 * time.Second}[w.draw("pass", 4)])
	case 17:
		i.paused = !i.paused
	case 18:
		w.down = !w.down
	case 19:
		w.kill(i)
	}
}

func (w *world) arrive(i *modelInstance) {
	w.attempt++
	call := &modelCall{
		Call: NewCall(Request{
			Name:     fmt.Sprint("key", w.draw("key", 2)),
			Digest:   fmt.Sprint("digest", w.draw("digest", 5)/4),
			Deadline: w.now.Add(3 * time.Second),
			Holder:   i.holder,
			Attempt:  w.attempt,
		}),
		owner:  i,
		holder: i.holder,
	}
	w.calls = append(w.calls, call)
	w.feed(call, Arrive{})
}

// kill replaces the process; what it already sent stays on its way.
func (w *world) kill(i *modelInstance) {
	i.holder.Incarnation += "1"
	i.settler = NewSettler(DefaultSettlerSettings())
	i.paused = false
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, c := range w.calls {
		if w.alive(c) && !c.owner.paused {
			w.feed(c, Elapse{})
		}
	}
	for _, i := range w.instances {
		if !i.paused {
			w.settle(i, i.settler.Tick(w.now))
		}
	}
}

func (w *world) alive(c *modelCall) bool {
	return c.owner.holder == c.holder
}

// receive hands an event to a call once its process runs; a killed process receives nothing.
func (w *world) receive(c *modelCall, e Event) {
	w.wire.Post(func() {
		switch {
		case !w.alive(c):
		case c.owner.paused:
			w.receive(c, e)
		default:
			w.feed(c, e)
		}
	})
}

func (w *world) feed(c *modelCall, e Event) {
	for _, a := range c.Step(w.alter(e), w.now) {
		w.do(c, a)
	}
}

// alter is where variants leave a mechanism out.
func (w *world) alter(e Event) Event {
	switch e := e.(type) {
	case WriteLost:
		if w.variant == trustLostWrite {
			return Written{
				Version: w.version,
			}
		}
	case SendFailed:
		if w.variant == lostMeansNotRun {
			return NotSent{}
		}
	case Conflict:
		if w.variant == reviveStarted && e.Record.State == StateStarted && !w.holderAlive(e.Record.Holder) {
			e.Record.State = StateNotRun
			return e
		}
	}
	return e
}

func (w *world) holderAlive(h namer.Holder) bool {
	return slices.ContainsFunc(w.instances, func(i *modelInstance) bool {
		return i.holder == h
	})
}

func (w *world) do(c *modelCall, a Action) {
	reply := func(e Event) {
		w.receive(c, e)
	}
	switch a := a.(type) {
	case Create:
		w.write(a.Name, 0, a.Record, reply)
	case Update:
		w.write(a.Name, a.Version, a.Record, reply)
	case Read:
		w.read(a.Name, reply)
	case Send:
		w.wire.Post(func() { w.send(c, a) })
	case Answer:
		w.answer(c, a)
	case Settle:
		c.owner.settler.Add(a, w.now)
	}
}

func (w *world) settle(i *modelInstance, actions []Action) {
	holder := i.holder
	for _, a := range actions {
		reply := func(name string, attempt int64) func(Event) {
			return func(e Event) {
				w.wire.Post(func() {
					if i.holder == holder {
						w.settle(i, i.settler.Step(name, attempt, e, w.now))
					}
				})
			}
		}
		switch a := a.(type) {
		case SettleRead:
			w.read(a.Name, reply(a.Name, a.Attempt))
		case SettleCreate:
			w.write(a.Name, 0, a.Record, reply(a.Name, a.Attempt))
		case SettleUpdate:
			w.write(a.Name, a.Version, a.Record, reply(a.Name, a.Attempt))
		}
	}
}

// fate draws what happens to a message; the highest numbers are faults.
func (w *world) fate(label string, n int) int {
	if w.repaired {
		return 0
	}
	return w.draw(label, n)
}

// write reaches the store, is refused, or is reported lost while it may still take effect at any later time.
func (w *world) write(name string, version int64, r Record, reply func(Event)) {
	w.wire.Post(func() {
		switch fate := w.fate("write", 10); {
		case fate == 9:
			reply(WriteRefused{})
		case fate == 8:
			reply(WriteLost{})
			w.wire.Post(func() { w.apply(name, version, r) })
		case fate == 7 || w.down:
			reply(WriteLost{})
		case fate == 6:
			w.apply(name, version, r)
			reply(WriteLost{})
		default:
			reply(w.apply(name, version, r))
		}
	})
}

func (w *world) apply(name string, version int64, r Record) Event {
	stored := w.objects[name]
	if stored.Version != version && w.variant != blindWrites {
		return Conflict(stored)
	}
	w.version++
	w.objects[name] = ReadBack{
		Exists:  true,
		Version: w.version,
		Record:  r,
	}
	return Written{
		Version: w.version,
	}
}

func (w *world) read(name string, reply func(Event)) {
	w.wire.Post(func() {
		if w.down || w.fate("read", 6) == 5 {
			reply(ReadFailed{})
			return
		}
		reply(w.objects[name])
	})
}

// send is the executor: it checks the deadline itself, because the process may have paused after the decision.
func (w *world) send(c *modelCall, a Send) {
	switch {
	case !w.alive(c):
	case c.owner.paused:
		w.wire.Post(func() { w.send(c, a) })
	case !w.now.Before(a.Before) || w.fate("connect", 5) == 4:
		w.receive(c, NotSent{})
	default:
		w.wire.Post(func() { w.serve(c) })
	}
}

func (w *world) serve(c *modelCall) {
	switch w.fate("serve", 8) {
	case 7:
		w.receive(c, SendFailed{})
	case 6:
		w.execute(c)
		if w.variant == sendTwice {
			w.execute(c)
		}
		w.receive(c, SendFailed{})
	case 5:
		w.receive(c, SendFailed{})
		w.wire.Post(func() { w.execute(c) })
	default:
		w.execute(c)
		w.receive(c, Answered{
			Outcome: Outcome{
				Status: 200,
			},
		})
	}
}

func (w *world) execute(c *modelCall) {
	name := c.request.Name
	w.runs[name]++
	w.ranBy[c.request.Attempt] = true
	if w.runs[name] > 1 {
		w.fail("%s ran %d times", name, w.runs[name])
	}
	for _, a := range c.answers {
		if a.Refusal != nil && a.Refusal.Ran == refuser.RanNo {
			w.fail("attempt %d of %s ran after its caller was told that it would not", c.request.Attempt, name)
		}
	}
}

func (w *world) answer(c *modelCall, a Answer) {
	c.answers = append(c.answers, a)
	name := c.request.Name
	w.reached[reach(a)]++
	switch {
	case len(c.answers) > 1:
		w.fail("attempt %d was answered twice", c.request.Attempt)
	case a.Refusal == nil && w.runs[name] == 0:
		w.fail("attempt %d got an outcome of a call that did not run", c.request.Attempt)
	case a.Refusal != nil && a.Refusal.Ran == refuser.RanYes && w.runs[name] == 0:
		w.fail("attempt %d was told that a call ran that did not", c.request.Attempt)
	case a.Refusal != nil && a.Refusal.Ran == refuser.RanNo && w.ranBy[c.request.Attempt]:
		w.fail("attempt %d ran and its caller was told that it did not", c.request.Attempt)
	}
}

// checkEnd requires that everything that can end has ended once all faults are repaired.
func (w *world) checkEnd() {
	for _, c := range w.calls {
		if w.alive(c) && len(c.answers) != 1 {
			w.fail("attempt %d has %d answers", c.request.Attempt, len(c.answers))
		}
	}
	for _, i := range w.instances {
		if n := i.settler.Pending(); n > 0 {
			w.fail("%s has %d unsettled records", i.holder, n)
		}
	}
}

func (w *world) fail(format string, values ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, values...)
	}
}

// reach names the kind of answer, to show that schedules reach all of them.
func reach(a Answer) string {
	switch {
	case a.Replayed:
		return "replayed"
	case a.Refusal == nil:
		return "answered"
	default:
		return string(a.Refusal.Reason) + " " + string(a.Refusal.Ran)
	}
}
