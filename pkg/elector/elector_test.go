package elector_test

import (
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// driver feeds one elector with the events of a healthy cell, except for those that a test leaves out.
type driver struct {
	t         *testing.T
	el        *elector.Elector
	now       time.Time
	number    int64
	writes    []elector.WriteTable
	fences    []elector.FenceTarget
	authority map[namer.Target]elector.SetAuthority
	done      bool
}

func newDriver(t *testing.T, fencing bool, entry elector.Entry) *driver {
	d := &driver{
		t:         t,
		now:       time.Unix(1_000_000, 0),
		authority: map[namer.Target]elector.SetAuthority{},
	}
	d.el = elector.New(elector.DefaultOptions(benchHolder(0)), d.now)
	d.handle(elector.TargetsRead{Targets: []elector.Target{{ID: "t", Fencing: fencing}}})
	d.handle(elector.MembersRead{Requested: d.now, Members: []tracker.Member{
		{Holder: benchHolder(0), State: tracker.StateServing, Number: 1},
		{Holder: benchHolder(1), State: tracker.StateServing, Number: 1},
		{Holder: benchHolder(2), State: tracker.StateServing, Number: 1},
	}})
	d.read(1, entry)
	return d
}

// read delivers a read of the table. Before version 1 it delivers an empty table, as a starting instance reads it.
func (d *driver) read(version int64, entry elector.Entry) {
	if version == 1 {
		d.handle(elector.TableRead{Requested: d.now, Version: 0})
	}
	d.handle(elector.TableRead{Requested: d.now, Version: version, Table: elector.Table{
		Entries: map[namer.Target]*elector.Entry{"t": &entry},
	}})
}

func (d *driver) handle(event elector.Event) {
	for _, a := range d.el.Handle(event, d.now) {
		switch v := a.(type) {
		case elector.WriteTable:
			d.writes = append(d.writes, v)
		case elector.FenceTarget:
			d.fences = append(d.fences, v)
		case elector.SetAuthority:
			d.authority[v.Target] = v
		case elector.HandoverDone:
			d.done = true
		}
	}
}

// advance moves time on in ticks; at each tick the members in hear send a heartbeat that echoes this instance.
func (d *driver) advance(length time.Duration, hear ...int) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(250 * time.Millisecond)
		d.number++
		d.handle(elector.HeartbeatSent{Number: d.number})
		for _, i := range hear {
			d.hear(i, d.el.TableVersion())
		}
		d.handle(elector.Tick{})
	}
}

func (d *driver) hear(i int, version int64) {
	d.handle(elector.HeartbeatReceived{
		From:         benchHolder(i),
		State:        tracker.StateServing,
		Number:       d.number,
		TableVersion: version,
		Echoes: []tracker.HeardNumber{{
			Holder: benchHolder(0),
			Number: d.number,
		}},
	})
}

func (d *driver) wantShare(want float64) {
	d.t.Helper()
	if got := d.el.Authority("t", d.now).Share; got != want {
		d.t.Errorf("share: got %v, want %v", got, want)
	}
}

func owned(owner, successor int) elector.Entry {
	return elector.Entry{
		Owner:     benchHolder(owner),
		Successor: benchHolder(successor),
		Epoch:     5,
	}
}

func replaced(owner, successor, previous int) elector.Entry {
	entry := owned(owner, successor)
	h := benchHolder(previous)
	entry.Previous = &h
	return entry
}

// Guards against a wrong share in any state of owner and successor, for targets that ignore epochs.
func TestAuthorityWithoutFencing(t *testing.T) {
	tests := []struct {
		name  string
		entry elector.Entry
		hear  []int
		after time.Duration
		want  float64
	}{
		{name: "owner with a promise", entry: owned(0, 1), hear: []int{1, 2}, after: 20 * time.Second, want: 1},
		{name: "owner without a promise", entry: owned(0, 1), hear: []int{2}, after: 7 * time.Second, want: 0.5},
		{name: "owner beside a previous owner", entry: replaced(0, 1, 2), hear: []int{1}, after: 5 * time.Second, want: 0.5},
		{name: "isolated owner", entry: owned(0, 1), after: 4 * time.Second, want: 0},
		{name: "successor that hears the owner", entry: owned(1, 0), hear: []int{1, 2}, after: 20 * time.Second, want: 0},
		{name: "successor before the wait is over", entry: owned(1, 0), hear: []int{2}, after: 13 * time.Second, want: 0},
		{name: "successor after the wait", entry: owned(1, 0), hear: []int{2}, after: 14 * time.Second, want: 0.5},
		{name: "successor beside a previous owner", entry: replaced(1, 0, 2), hear: []int{2}, after: 20 * time.Second, want: 0},
		{name: "isolated successor", entry: owned(1, 0), after: 20 * time.Second, want: 0},
		{name: "any other instance", entry: owned(1, 2), hear: []int{1, 2}, after: 20 * time.Second, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDriver(t, false, tt.entry)
			d.advance(tt.after, tt.hear...)
			d.wantShare(tt.want)
		})
	}
}

// Guards against a wrong share in any state of owner and successor, for targets that reject old epochs, and against
// authority on an engine that lost the epoch in a restart.
func TestAuthorityWithFencing(t *testing.T) {
	accept := func(d *driver, boot string) {
		last := d.fences[len(d.fences)-1]
		d.handle(elector.FenceAnswered{Target: "t", Epoch: last.Epoch, Boot: boot, Accepted: true})
	}
	t.Run("owner", func(t *testing.T) {
		d := newDriver(t, true, owned(0, 1))
		d.advance(5*time.Second, 2)
		d.wantShare(0)
		accept(d, "b")
		d.wantShare(1)
		d.handle(elector.BootSeen{Target: "t", Boot: "b2"})
		d.wantShare(0)
		d.advance(2*time.Second, 2)
		accept(d, "b2")
		d.wantShare(1)
		d.handle(elector.EpochRejected{Target: "t", Epoch: 5})
		d.wantShare(0)
	})
	t.Run("successor", func(t *testing.T) {
		d := newDriver(t, true, owned(1, 0))
		d.advance(6*time.Second, 2)
		if len(d.fences) != 0 {
			t.Fatalf("fenced after 6 s: %v", d.fences)
		}
		d.advance(time.Second, 2)
		accept(d, "b")
		d.wantShare(1)
		if got := d.el.Authority("t", d.now).Epoch; got != 6 {
			t.Errorf("epoch: got %d, want 6", got)
		}
	})
}

// Guards against counting the promise of a process that has read a newer table, or not yet the current entry.
func TestPromiseNeedsTheSameTable(t *testing.T) {
	d := newDriver(t, false, owned(0, 1))
	d.advance(time.Second, 1, 2)
	d.wantShare(1)
	d.read(2, owned(0, 2))
	d.hear(2, 1)
	d.wantShare(0.5)
	d.hear(2, 2)
	d.wantShare(1)
	d.advance(250*time.Millisecond, 1)
	d.hear(2, 3)
	d.wantShare(0.5)
}

// Guards against authority after a pause, when others may have replaced this instance.
func TestPauseEndsAuthority(t *testing.T) {
	d := newDriver(t, false, owned(0, 1))
	d.advance(time.Second, 1, 2)
	until := d.authority["t"].Until
	d.now = d.now.Add(2500 * time.Millisecond)
	d.handle(elector.HeartbeatSent{Number: 1000})
	if d.now.Before(until) {
		t.Errorf("authority was given until %v, after the pause", until)
	}
	d.wantShare(0)
	d.number = 1000
	d.advance(250*time.Millisecond, 2)
	d.wantShare(0)
	d.advance(250*time.Millisecond, 1)
	d.wantShare(1)
}

// Guards against two writers: the table is changed only by a conditional write, the next write waits for its outcome,
// and the outcome of a write whose answer was lost is read from the table.
func TestTakeoverWrite(t *testing.T) {
	takeOver := func(t *testing.T) (*driver, elector.WriteTable) {
		d := newDriver(t, false, owned(1, 0))
		d.advance(13*time.Second, 2)
		d.handle(elector.TableRead{Requested: d.now, Version: 1})
		d.advance(time.Second, 2)
		if len(d.writes) != 1 {
			t.Fatalf("got %d writes, want 1", len(d.writes))
		}
		return d, d.writes[0]
	}
	t.Run("done", func(t *testing.T) {
		d, w := takeOver(t)
		entry := w.Table.Entries["t"]
		if w.Version != 1 || entry.Owner != benchHolder(0) || *entry.Previous != benchHolder(1) || entry.Epoch != 6 {
			t.Errorf("got version %d, entry %+v", w.Version, entry)
		}
		d.handle(elector.WriteAnswered{WriteNumber: w.Table.WriteNumber, Outcome: elector.WriteDone, Version: 2})
		d.wantShare(0.5)
	})
	t.Run("conflict", func(t *testing.T) {
		d, w := takeOver(t)
		d.handle(elector.WriteAnswered{WriteNumber: w.Table.WriteNumber, Outcome: elector.WriteConflict})
		d.read(2, owned(2, 1))
		d.wantShare(0)
	})
	t.Run("answer lost", func(t *testing.T) {
		d, w := takeOver(t)
		d.handle(elector.WriteAnswered{WriteNumber: w.Table.WriteNumber, Outcome: elector.WriteUnknown})
		d.advance(500*time.Millisecond, 2)
		if len(d.writes) != 1 {
			t.Fatalf("got %d writes, want the outcome read first", len(d.writes))
		}
		d.read(2, *w.Table.Entries["t"])
		d.wantShare(0.5)
		if got := d.el.TableVersion(); got != 2 {
			t.Errorf("version: got %d, want 2", got)
		}
	})
}

// Guards against a successor that echoes the owner, which restores its authority, while quotas that the successor
// granted may be in use.
func TestSuccessorWithholdsEcho(t *testing.T) {
	d := newDriver(t, false, owned(1, 0))
	d.advance(14*time.Second, 2)
	d.wantShare(0.5)
	promises := func() bool {
		for _, h := range d.el.Echoes(benchHolder(1), d.now) {
			if h.Holder == benchHolder(1) {
				return true
			}
		}
		return false
	}
	d.advance(5*time.Second, 1, 2)
	d.wantShare(0)
	if promises() {
		t.Error("echoes the owner while its own quotas are valid")
	}
	d.advance(5*time.Second, 1, 2)
	if !promises() {
		t.Error("does not echo the owner after its own quotas have expired")
	}
}

// Guards against a planned stop after which the next owner allocates while quotas of this one are still in use.
func TestHandover(t *testing.T) {
	d := newDriver(t, false, owned(0, 1))
	d.advance(time.Second, 1, 2)
	d.handle(elector.Leave{})
	d.wantShare(0)
	d.handle(elector.TableRead{Requested: d.now, Version: 1})
	for range 8 {
		d.advance(time.Second, 1, 2)
		d.handle(elector.TableRead{Requested: d.now, Version: 1})
	}
	if len(d.writes) != 0 || d.done {
		t.Fatal("handed over before the last quota expired")
	}
	d.advance(2*time.Second, 1, 2)
	if len(d.writes) != 1 {
		t.Fatalf("got %d writes, want 1", len(d.writes))
	}
	w := d.writes[0]
	if e := w.Table.Entries["t"]; e.Owner != benchHolder(1) || e.Previous != nil || e.Successor != benchHolder(2) {
		t.Errorf("got %+v, want owner i1, successor i2", e)
	}
	d.handle(elector.WriteAnswered{WriteNumber: w.Table.WriteNumber, Outcome: elector.WriteDone, Version: 2})
	d.advance(time.Second, 1, 2)
	if !d.done {
		t.Error("the handover is not reported as done")
	}
}
