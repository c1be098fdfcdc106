package deduplicator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// shardWorld simulates two processes that write the same shard, as after a change of owner that one has not noticed.
type shardWorld struct {
	draw          schedule.Draw
	unconditional bool
	now           time.Time
	version       int64
	object        ShardObject
	shards        []*Shard
	network       schedule.Network
	id            int64
	changes       map[int64]Change
	outcome       map[int64]Action
	repaired      bool
}

func newShardWorld(draw schedule.Draw, unconditional bool) *shardWorld {
	w := &shardWorld{
		draw:          draw,
		unconditional: unconditional,
		now:           time.Unix(1000, 0),
		changes:       map[int64]Change{},
		outcome:       map[int64]Action{},
	}
	for i := range 2 {
		settings := DefaultShardSettings(shardHolder(i))
		settings.MaxChanges = 3
		w.shards = append(w.shards, NewShard(settings))
	}
	return w
}

func shardHolder(i int) namer.Holder {
	return namer.Holder{
		Instance:    namer.Instance(fmt.Sprint("i", i)),
		Incarnation: "1",
	}
}

func (w *shardWorld) run(steps int) error {
	for range steps {
		i := w.draw("shard", len(w.shards))
		switch w.draw("step", 8) {
		default:
			w.network.Deliver(w.draw("message", 8))
		case 4, 5:
			w.submit(i)
		case 6:
			w.tick(20 * time.Millisecond)
		case 7:
			w.tick(2 * time.Second)
		}
	}
	w.repaired = true
	for range 100 {
		w.network.Deliver(0)
		w.tick(20 * time.Millisecond)
	}
	return w.check()
}

func (w *shardWorld) submit(i int) {
	w.id++
	change := Change{
		ID:   w.id,
		Name: fmt.Sprint("key", w.draw("key", 4)),
		Record: Record{
			State:    StateStarted,
			Holder:   shardHolder(i),
			Attempt:  w.id,
			Deadline: w.now.Add(time.Hour),
		},
	}
	w.changes[w.id] = change
	w.do(i, w.shards[i].Submit(change, w.now))
}

func (w *shardWorld) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i, s := range w.shards {
		w.do(i, s.Tick(w.now))
	}
}

func (w *shardWorld) do(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case WriteShard:
			w.network.Send(func() { w.write(i, a) })
		case ReadShard:
			w.network.Send(func() { w.do(i, w.shards[i].ReceiveObject(a.Call, w.version, w.object, w.now)) })
		case Applied:
			w.outcome[a.ID] = a
		case Rejected:
			w.outcome[a.ID] = a
		case Failed:
			w.outcome[a.ID] = a
		}
	}
}

func (w *shardWorld) write(i int, a WriteShard) {
	fault := 0
	if !w.repaired {
		fault = w.draw("write", 6)
	}
	switch {
	case fault == 5:
		w.do(i, w.shards[i].FailCall(a.Call, true, w.now))
	case fault == 4:
		w.network.Send(func() { w.apply(a) })
		w.do(i, w.shards[i].FailCall(a.Call, true, w.now))
	case fault == 3:
		w.do(i, w.shards[i].FailCall(a.Call, false, w.now))
	case !w.apply(a):
		w.do(i, w.shards[i].ReceiveObject(a.Call, w.version, w.object, w.now))
	case fault == 2:
		w.do(i, w.shards[i].FailCall(a.Call, true, w.now))
	default:
		w.do(i, w.shards[i].ConfirmWrite(a.Call, w.version, w.now))
	}
}

func (w *shardWorld) apply(a WriteShard) bool {
	if a.Version != w.version && !w.unconditional {
		return false
	}
	w.version++
	w.object = a.Object
	return true
}

func (w *shardWorld) check() error {
	for _, id := range slices.Sorted(maps.Keys(w.changes)) {
		change := w.changes[id]
		stored := w.object.Records[change.Name].Attempt == id
		switch o := w.outcome[id].(type) {
		case nil:
			return fmt.Errorf("change %d has no outcome", id)
		case Applied:
			if !stored {
				return fmt.Errorf("change %d was confirmed but is not stored", id)
			}
		case Failed:
			if stored && !o.Lost {
				return fmt.Errorf("change %d is stored but was reported as not written", id)
			}
		case Rejected:
			if stored && o.Record.Attempt != id {
				return fmt.Errorf("change %d is stored but was rejected because of another record", id)
			}
		}
	}
	return nil
}
