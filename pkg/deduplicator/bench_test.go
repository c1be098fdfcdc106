package deduplicator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// storeLatency is the simulated duration of one call to the store.
const storeLatency = 3 * time.Millisecond

// BenchmarkRecordPerCall measures one call with its own record object; each of its two writes takes one store latency.
func BenchmarkRecordPerCall(b *testing.B) {
	writes := 0
	for n := range b.N {
		c := NewCall(Request{
			Name:     fmt.Sprint("key", n),
			Deadline: start.Add(time.Minute),
			Holder:   own,
			Attempt:  int64(n),
		})
		events := []Event{Arrive{}, Written{Version: 1}, Answered{}, Written{Version: 2}}
		for _, e := range events {
			for _, a := range c.Step(e, start) {
				switch a.(type) {
				case Create, Update:
					writes++
				}
			}
		}
	}
	b.ReportMetric(float64(writes)/float64(b.N), "writes/call")
	b.ReportMetric(float64(storeLatency.Microseconds())/1000, "added-ms/call")
}

// BenchmarkShard measures calls of one shard, which batches their claims and outcomes.
func BenchmarkShard(b *testing.B) {
	for _, perSecond := range []int{5, 50, 500, 5000} {
		b.Run(fmt.Sprint(perSecond, "_calls_per_second"), func(b *testing.B) {
			sim := newShardSim(perSecond)
			sim.run(b.N)
			b.ReportMetric(float64(sim.writes)/float64(b.N), "writes/call")
			if sim.failed > 0 {
				b.Errorf("%d changes failed", sim.failed)
			}
			b.ReportMetric(sim.waited.Seconds()*1000/float64(b.N), "added-ms/call")
		})
	}
}

// shardSim simulates a shard in steps of 1 ms; each call to the store takes one store latency.
type shardSim struct {
	shard   *Shard
	gap     time.Duration
	now     time.Time
	version int64
	writes  int
	waited  time.Duration
	arrived map[int64]time.Time
	done    int
	failed  int
	replies []shardReply
}

type shardReply struct {
	at   time.Time
	call int64
	read bool
}

func newShardSim(perSecond int) *shardSim {
	return &shardSim{
		shard:   NewShard(DefaultShardSettings(own)),
		gap:     time.Second / time.Duration(perSecond),
		now:     start,
		arrived: map[int64]time.Time{},
	}
}

func (s *shardSim) run(calls int) {
	submitted := 0
	next := s.now
	for s.done < calls {
		for submitted < calls && !next.After(s.now) {
			submitted++
			id := int64(submitted)
			s.arrived[id] = s.now
			s.do(s.shard.Submit(s.change(id, nil, StateStarted), s.now))
			next = next.Add(s.gap)
		}
		s.now = s.now.Add(time.Millisecond)
		s.reply()
		s.do(s.shard.Tick(s.now))
	}
}

func (s *shardSim) change(id int64, expect *Record, state State) Change {
	return Change{
		ID:     id,
		Name:   fmt.Sprint("key", id),
		Expect: expect,
		Record: Record{
			State:   state,
			Holder:  own,
			Attempt: id,
			// Records expire after 200 ms, so that the object stays under MaxRecords.
			Deadline: s.now.Add(200*time.Millisecond - 24*time.Hour),
		},
	}
}

func (s *shardSim) reply() {
	for len(s.replies) > 0 && !s.replies[0].at.After(s.now) {
		r := s.replies[0]
		s.replies = s.replies[1:]
		if r.read {
			s.do(s.shard.ReceiveObject(r.call, s.version, ShardObject{}, s.now))
			continue
		}
		s.version++
		s.do(s.shard.ConfirmWrite(r.call, s.version, s.now))
	}
}

func (s *shardSim) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case WriteShard:
			s.writes++
			s.replies = append(s.replies, shardReply{at: s.now.Add(storeLatency), call: a.Call})
		case ReadShard:
			s.replies = append(s.replies, shardReply{at: s.now.Add(storeLatency), call: a.Call, read: true})
		case Applied:
			s.applied(a.ID)
		default:
			s.failed++
			s.done++
		}
	}
}

// applied submits the outcome of a call that is claimed, or counts the call as done when its outcome is stored.
func (s *shardSim) applied(id int64) {
	arrived, claimed := s.arrived[id]
	if !claimed {
		s.done++
		return
	}
	delete(s.arrived, id)
	s.waited += s.now.Sub(arrived)
	started := s.change(id, nil, StateStarted).Record
	s.do(s.shard.Submit(s.change(id, &started, StateDone), s.now))
}

// BenchmarkRecordBytes measures the size of a record with a short response body.
func BenchmarkRecordBytes(b *testing.B) {
	r := storedRecord(StateDone, own, Digest("ledger", "payout", []byte("{}")))
	r.Deadline = start
	size := 0
	for range b.N {
		encoded, err := json.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}
