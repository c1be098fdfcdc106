package deduplicator

import (
	"fmt"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// variant disables one mechanism, to show that the checked properties depend on it.
type variant int

const (
	complete variant = iota
	// unconditionalWrites: the store ignores the expected version of a write.
	unconditionalWrites
	// lostWriteIsStored: a write without a response counts as stored instead of being read back.
	lostWriteIsStored
	// sendTwice: the call is sent again when its response is lost.
	sendTwice
	// reclaimStarted: a record in state started counts as not_run when its process is dead.
	reclaimStarted
	// lostResponseIsNotSent: a lost response of the service is reported as NotSent.
	lostResponseIsNotSent
)

// world simulates a store, a service and three instances; messages are delivered in any order.
type world struct {
	draw    schedule.Draw
	variant variant
	now     time.Time
	version int64
	objects map[string]ReadResult
	down    bool
	// repaired disables all faults, so that every call must end.
	repaired    bool
	instances   []*modelInstance
	calls       []*modelCall
	network     schedule.Network
	runs        map[string]int
	ranBy       map[int64]bool
	attempt     int64
	answerKinds map[string]int
	violation   error
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
		draw:        draw,
		variant:     v,
		now:         time.Unix(1000, 0),
		objects:     map[string]ReadResult{},
		runs:        map[string]int{},
		ranBy:       map[int64]bool{},
		answerKinds: map[string]int{},
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

// run executes a random schedule, then ends all faults, lets all calls finish and checks the result.
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
		w.network.Deliver(0)
		if round%10 == 9 {
			w.advance(2 * time.Second)
		}
	}
	w.checkEnd()
	return w.violation
}

func (w *world) step() {
	i := w.instances[w.draw("instance", len(w.instances))]
	switch w.draw("step", 20) {
	default:
		w.network.Deliver(w.draw("message", 16))
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

// kill replaces the process; messages that it has sent are still delivered.
func (w *world) kill(i *modelInstance) {
	i.holder.Incarnation += "1"
	i.settler = NewSettler(DefaultSettlerSettings())
	i.paused = false
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, c := range w.calls {
		if w.alive(c) && !c.owner.paused {
			w.feed(c, CheckDeadline{})
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

// receive delivers an event to a call, after a pause of its process; a killed process receives nothing.
func (w *world) receive(c *modelCall, e Event) {
	w.network.Send(func() {
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
	for _, a := range c.Step(w.applyVariant(e), w.now) {
		w.do(c, a)
	}
}

// applyVariant changes an event as the variant requires.
func (w *world) applyVariant(e Event) Event {
	switch e := e.(type) {
	case WriteUncertain:
		if w.variant == lostWriteIsStored {
			return Written{
				Version: w.version,
			}
		}
	case SendFailed:
		if w.variant == lostResponseIsNotSent {
			return NotSent{}
		}
	case Conflict:
		if w.variant == reclaimStarted && e.Record.State == StateStarted && !w.holderAlive(e.Record.Holder) {
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
		w.network.Send(func() { w.send(c, a) })
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
				w.network.Send(func() {
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

// drawFault draws the treatment of a message, 0 to n-1; the highest numbers are faults.
func (w *world) drawFault(label string, n int) int {
	if w.repaired {
		return 0
	}
	return w.draw(label, n)
}

// write applies a write, refuses it, or reports it as uncertain; an uncertain write may be applied at any later time.
func (w *world) write(name string, version int64, r Record, reply func(Event)) {
	w.network.Send(func() {
		switch fault := w.drawFault("write", 10); {
		case fault == 9:
			reply(WriteRefused{})
		case fault == 8:
			reply(WriteUncertain{})
			w.network.Send(func() { w.apply(name, version, r) })
		case fault == 7 || w.down:
			reply(WriteUncertain{})
		case fault == 6:
			w.apply(name, version, r)
			reply(WriteUncertain{})
		default:
			reply(w.apply(name, version, r))
		}
	})
}

func (w *world) apply(name string, version int64, r Record) Event {
	stored := w.objects[name]
	if stored.Version != version && w.variant != unconditionalWrites {
		return Conflict(stored)
	}
	w.version++
	w.objects[name] = ReadResult{
		Exists:  true,
		Version: w.version,
		Record:  r,
	}
	return Written{
		Version: w.version,
	}
}

func (w *world) read(name string, reply func(Event)) {
	w.network.Send(func() {
		if w.down || w.drawFault("read", 6) == 5 {
			reply(ReadFailed{})
			return
		}
		reply(w.objects[name])
	})
}

// send executes a Send action; it checks the deadline itself, because the process may have paused after the decision.
func (w *world) send(c *modelCall, a Send) {
	switch {
	case !w.alive(c):
	case c.owner.paused:
		w.network.Send(func() { w.send(c, a) })
	case !w.now.Before(a.Before) || w.drawFault("connect", 5) == 4:
		w.receive(c, NotSent{})
	default:
		w.network.Send(func() { w.serve(c) })
	}
}

func (w *world) serve(c *modelCall) {
	switch w.drawFault("serve", 8) {
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
		w.network.Send(func() { w.execute(c) })
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
	w.answerKinds[answerKind(a)]++
	switch {
	case len(c.answers) > 1:
		w.fail("attempt %d was answered twice", c.request.Attempt)
	case a.Refusal == nil && w.runs[name] == 0:
		w.fail("attempt %d got an outcome of a call that did not run", c.request.Attempt)
	case a.Refusal != nil && a.Refusal.Ran == refuser.RanYes && w.runs[name] == 0:
		w.fail("attempt %d was told that the call ran, but it did not", c.request.Attempt)
	case a.Refusal != nil && a.Refusal.Ran == refuser.RanNo && w.ranBy[c.request.Attempt]:
		w.fail("attempt %d ran, but its caller was told that it did not", c.request.Attempt)
	}
}

// checkEnd requires that all calls of live processes are answered and all records settled after the faults have ended.
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
	if w.violation == nil {
		w.violation = fmt.Errorf(format, values...)
	}
}

// answerKind returns the kind of an answer, to check that the schedules produce all kinds.
func answerKind(a Answer) string {
	switch {
	case a.Replayed:
		return "replayed"
	case a.Refusal == nil:
		return "answered"
	default:
		return string(a.Refusal.Reason) + " " + string(a.Refusal.Ran)
	}
}
