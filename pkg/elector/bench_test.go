package elector_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const (
	benchMembers = 8
	benchTargets = 28
)

func benchHolder(i int) namer.Holder {
	return namer.Holder{
		Instance:    namer.Instance(fmt.Sprintf("entry-%d", i)),
		Incarnation: "0a1b2c3d",
	}
}

func benchTable(size int) (elector.Table, []elector.Target) {
	table := elector.Table{
		Entries: map[namer.Target]*elector.Entry{},
	}
	var targets []elector.Target
	for i := range size {
		id := namer.Target(fmt.Sprintf("statement-%02d", i))
		targets = append(targets, elector.Target{
			ID: id,
		})
		table.Entries[id] = &elector.Entry{
			Owner:     benchHolder(i % benchMembers),
			Successor: benchHolder((i + 1) % benchMembers),
			Epoch:     1,
		}
	}
	return table, targets
}

// benchElector returns the elector of one member of a full cell in steady state.
func benchElector(now time.Time) *elector.Elector {
	el := elector.New(elector.DefaultOptions(benchHolder(0)), now)
	table, targets := benchTable(benchTargets)
	var members []tracker.Member
	for i := range benchMembers {
		members = append(members, tracker.Member{
			Holder: benchHolder(i),
			State:  tracker.StateServing,
			Number: 1,
		})
	}
	el.Handle(elector.TargetsRead{Targets: targets}, now)
	el.Handle(elector.TableRead{Requested: now, Version: 1, Table: table}, now)
	el.Handle(elector.MembersRead{Requested: now, Members: members}, now)
	return el
}

// BenchmarkTick measures a tick with a quarter of a second's heartbeats and reads, while the store is up.
func BenchmarkTick(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	el := benchElector(now)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(250 * time.Millisecond)
		if i%4 == 0 {
			el.Handle(elector.HeartbeatSent{Number: int64(i)}, now)
			hearAll(el, int64(i), now)
			el.Handle(elector.InstancesListed{Requested: now}, now)
		}
		el.Handle(elector.Tick{}, now)
	}
}

func hearAll(el *elector.Elector, number int64, now time.Time) {
	for i := 1; i < benchMembers; i++ {
		el.Handle(elector.HeartbeatReceived{
			From:         benchHolder(i),
			State:        tracker.StateServing,
			Number:       number,
			TableVersion: 1,
			Echoes: []tracker.HeardNumber{{
				Holder: benchHolder(0),
				Number: number,
			}},
		}, now)
	}
}

// BenchmarkTableBytes measures the size of the ownership table of one cell, which must stay under the store's 1 MB.
func BenchmarkTableBytes(b *testing.B) {
	for _, n := range []int{7, 14, 28} {
		b.Run(fmt.Sprintf("%d_targets", n), func(b *testing.B) {
			table, _ := benchTable(n)
			size := 0
			for range b.N {
				encoded, err := json.Marshal(table)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
