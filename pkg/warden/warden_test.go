package warden

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const lease = 3 * time.Second

// call is a call of the store on its way.
type call struct {
	from   *process
	action Action
	// result is what the store answered; nil until it has run the call.
	result func(w *Warden, now time.Duration)
}

type process struct {
	*Warden
	machine int
	name    string
	wish    Wish
}

// act is a call for a duty that the platform received.
type act struct {
	at      time.Duration
	machine int
	process string
	fence   int64
}

// world is a store, processes that may be slow, cut off or killed, and a log of their acts.
type world struct {
	now   time.Duration
	store Record
	// kept is a copy of the record, from which the store may be restored.
	kept         Record
	keptRevision int64
	era          int64
	revision     int64
	processes    []*process
	started      int
	calls        []*call
	acts         []act
}

func (w *world) start(machine int) {
	w.started++
	name := fmt.Sprintf("machine-%d.%d", machine, w.started)
	w.processes[machine] = &process{
		Warden:  New(SettingsFor(lease), name),
		machine: machine,
		name:    name,
		wish: Wish{
			Hold: true,
		},
	}
}

// run lets the store carry out a call, whether its sender still waits for it or not.
func (w *world) run(c *call) {
	// The store knows no eras of the versions that callers state.
	if write, ok := c.action.(Write); ok && write.Record.Version.Number == w.store.Version.Number {
		w.revision++
		w.store = write.Record
		w.store.Version = versioner.Version{Era: w.era, Number: w.revision}
		version := w.store.Version
		c.result = func(v *Warden, now time.Duration) {
			if write.Record.Version.Exists() && write.Record.Version.Era != version.Era {
				// The store's client doesn't report a write over an object that the caller never saw as done.
				v.Failed(now)
				return
			}
			v.Written(now, version)
		}
		return
	}
	seen := w.store
	c.result = func(v *Warden, now time.Duration) { v.Seen(now, seen) }
}

func (w *world) actions(drills bool) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *process { return rapid.SampledFrom(w.processes).Draw(t, "process") }
	pickCall := func(t *rapid.T) (int, *call) {
		if len(w.calls) == 0 {
			t.Skip("no call on its way")
		}
		i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
		return i, w.calls[i]
	}
	advance := func(t *rapid.T) {
		w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	}
	tick := func(t *rapid.T) {
		p := pick(t)
		if a := p.Tick(w.now, p.wish); a != nil {
			w.calls = append(w.calls, &call{from: p, action: a})
		}
	}
	deliver := func(t *rapid.T) {
		i, c := pickCall(t)
		if c.result == nil {
			w.run(c)
		}
		w.calls = append(w.calls[:i], w.calls[i+1:]...)
		if c.from == w.processes[c.from.machine] && c.from.pending == c.action {
			c.result(c.from.Warden, w.now)
		}
	}
	performAct := func(t *rapid.T) {
		p := pick(t)
		if fence, _, ok := p.Turn(w.now); ok {
			w.acts = append(w.acts, act{at: w.now, machine: p.machine, process: p.name, fence: fence})
		}
	}
	return map[string]func(*rapid.T){
		"advance": advance, "advance again": advance, "tick": tick, "tick again": tick, "tick once more": tick,
		"deliver": deliver, "deliver again": deliver, "act": performAct, "act again": performAct,
		"run without an answer": func(t *rapid.T) {
			if _, c := pickCall(t); c.result == nil {
				w.run(c)
			}
		},
		// The sender gives up, and the call stays on its way: the store may still run it.
		"time out": func(t *rapid.T) {
			if _, c := pickCall(t); c.from == w.processes[c.from.machine] && c.from.pending == c.action {
				c.from.Failed(w.now)
			}
		},
		"copy": func(*rapid.T) { w.kept, w.keptRevision = w.store, w.revision },
		"restore": func(t *rapid.T) {
			if !drills {
				t.Skip("the store isn't restored")
			}
			w.era++
			w.store, w.revision = w.kept, w.keptRevision
			w.store.Version.Era = w.era
		},
		"hear of the era": func(t *rapid.T) { pick(t).EnterEra(w.now, w.era) },
		"restart":         func(t *rapid.T) { w.start(pick(t).machine) },
		"wish":            func(t *rapid.T) { p := pick(t); p.wish.Hold = !p.wish.Hold },
		"":                func(t *rapid.T) { w.check(t) },
	}
}

// check fails if the acts break a promise of the fence or of the lease.
func (w *world) check(t *rapid.T) {
	owner := map[int64]string{}
	for i, a := range w.acts {
		if o, used := owner[a.fence]; used && o != a.process {
			t.Fatalf("%s and %s act with fence %d", o, a.process, a.fence)
		}
		owner[a.fence] = a.process
		if i > 0 && a.fence < w.acts[i-1].fence {
			t.Fatalf("fence %d after %d", a.fence, w.acts[i-1].fence)
		}
		for j := i - 1; j >= 0 && a.at-w.acts[j].at < lease; j-- {
			if w.acts[j].machine == a.machine && j < i-1 && otherBetween(w.acts[j:i], a.machine) {
				t.Fatalf("machine %d acts again %v after its former act, another one between", a.machine, a.at-w.acts[j].at)
			}
		}
	}
}

func otherBetween(acts []act, machine int) bool {
	for _, a := range acts {
		if a.machine != machine {
			return true
		}
	}
	return false
}

// Guards against two holders with one fence, a lower fence after a higher one and a holder that returns within the lease, when processes
// pause, die or change their minds, and when answers are lost and writes are done late.
func TestInterleavings(t *testing.T) {
	checkInterleavings(t, false)
}

// Guards against the same where the store is restored from copies, which may lack the last holder, show one before it or give a revision
// out again.
func TestInterleavingsWithRestoredStores(t *testing.T) {
	checkInterleavings(t, true)
}

func checkInterleavings(t *testing.T, drills bool) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			now:       time.Second,
			processes: make([]*process, 3),
		}
		if drills {
			w.era = 1
		}
		for m := range w.processes {
			w.start(m)
		}
		t.Repeat(w.actions(drills))
	})
}

// Guards against a takeover that never comes after the holder's death, and against a wait where the holder has given up in good order.
func TestTakeover(t *testing.T) {
	for _, test := range []struct {
		name     string
		release  bool
		earliest time.Duration
		latest   time.Duration
	}{
		{name: "holder dies", earliest: lease, latest: lease * 3 / 2},
		{name: "holder leaves", release: true, latest: lease / 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &world{
				now:       time.Second,
				processes: make([]*process, 2),
			}
			w.start(0)
			w.start(1)
			w.settle(w.processes[0], 2*lease)
			if _, _, ok := w.processes[0].Turn(w.now); !ok {
				t.Fatal("the first process doesn't hold the duties")
			}
			if test.release {
				w.processes[0].wish.Hold = false
				w.settle(w.processes[0], lease/20)
			}
			began := w.now
			for w.now < began+2*lease {
				w.settle(w.processes[1], lease/100)
				if _, _, ok := w.processes[1].Turn(w.now); ok {
					break
				}
			}
			if took := w.now - began; took < test.earliest || took > test.latest {
				t.Errorf("takeover after %v, expected %v to %v", took, test.earliest, test.latest)
			}
		})
	}
}

// startTwo returns a world with two processes, in an era of the store.
func startTwo(era int64) *world {
	w := &world{
		now:       time.Second,
		era:       era,
		processes: make([]*process, 2),
	}
	w.start(0)
	w.start(1)
	return w
}

// settle runs a process for a time with a store that answers at once.
func (w *world) settle(p *process, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += lease / 100 {
		if a := p.Tick(w.now, p.wish); a != nil {
			c := &call{from: p, action: a}
			w.run(c)
			c.result(p.Warden, w.now)
		}
	}
}

// Guards against a lease that counts from the answer: another process counts it from an earlier time and would act beside this one.
func TestLeaseCountsFromSending(t *testing.T) {
	w := New(SettingsFor(lease), "a")
	w.Tick(lease, Wish{Hold: true})
	w.Seen(lease, Record{})
	if _, ok := w.Tick(lease, Wish{Hold: true}).(Write); !ok {
		t.Fatal("no write")
	}
	w.Written(lease*3/2, versioner.Of(1))
	if _, until, ok := w.Turn(lease * 3 / 2); !ok || until > 2*lease {
		t.Errorf("turn until %v, expected at most %v", until, 2*lease)
	}
}

// Guards against a former holder that follows its successor too soon, after both have given up in good order.
func TestNoReturnWithinLease(t *testing.T) {
	w := startTwo(0)
	first, second := w.processes[0], w.processes[1]
	second.wish.Hold = false
	w.settle(first, 2*lease)
	left := w.now
	for _, p := range []*process{first, second} {
		other := w.processes[1-p.machine]
		p.wish.Hold, other.wish.Hold = false, true
		w.settle(p, lease/20)
		w.settle(other, lease/20)
	}
	for w.now < left+2*lease {
		if _, _, ok := first.Turn(w.now); ok {
			break
		}
		w.settle(first, lease/100)
	}
	if _, _, ok := first.Turn(w.now); !ok || w.now-left < lease {
		t.Errorf("holds again: %v, %v after it gave up", ok, w.now-left)
	}
}

// Guards against two holders after the store was restored from a copy that lacks the holder or shows the one before it: only the holder may
// act before its lease could have ended.
func TestRestoredStore(t *testing.T) {
	for _, test := range []struct {
		name   string
		record func(other string) Record
	}{
		{name: "no record", record: func(string) Record { return Record{} }},
		{name: "released", record: func(string) Record { return Record{Holder: "former", Fence: 1, Released: true} }},
		{name: "the other process", record: func(other string) Record { return Record{Holder: other, Fence: 1} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := startTwo(1)
			holder, other := w.processes[0], w.processes[1]
			w.settle(holder, 2*lease)
			former, _, _ := holder.Turn(w.now)
			w.era++
			w.store = test.record(other.name)
			w.store.Version = versioner.Version{Era: w.era, Number: 1}
			if w.store.Holder == "" {
				w.store.Version.Number = 0
			}
			restored := w.now
			w.settle(other, lease/2)
			if _, _, ok := other.Turn(w.now); ok {
				t.Error("another process acts within the lease")
			}
			holder.EnterEra(w.now, w.era)
			if _, _, ok := holder.Turn(w.now); ok {
				t.Error("the holder acts on its former lease")
			}
			w.settle(holder, lease/10)
			fence, _, ok := holder.Turn(w.now)
			if !ok || fence <= former {
				t.Errorf("the holder goes on: %v, with fence %d after %d", ok, fence, former)
			}
			t.Logf("%v after the return", w.now-restored)
		})
	}
}

// Guards against windows that are reported with two contents: a successor must learn that a restored store may lack what the last holder
// stored, while that holder itself goes on.
func TestLostRecord(t *testing.T) {
	for _, test := range []struct {
		name    string
		machine int
		lost    bool
	}{
		{name: "the holder goes on", machine: 0},
		{name: "a successor takes the duties", machine: 1, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := startTwo(1)
			w.settle(w.processes[0], 2*lease)
			w.era++
			w.store.Version = versioner.Version{Era: w.era, Number: 1}
			p := w.processes[test.machine]
			p.EnterEra(w.now, w.era)
			for end := w.now + 2*lease; w.now < end; w.now += lease / 100 {
				switch a := p.Tick(w.now, p.wish).(type) {
				case Read:
					p.Seen(w.now, w.store)
				case Write:
					if a.Lost != test.lost {
						t.Errorf("lost: %v, expected %v", a.Lost, test.lost)
					}
					return
				}
			}
			t.Error("the duties weren't taken")
		})
	}
}
