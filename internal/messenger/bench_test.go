package messenger

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// benchHeartbeat returns a heartbeat in a cell of 8 instances, with a summary and a quota for each target.
func benchHeartbeat(targets int) Heartbeat {
	h := Heartbeat{
		Sender:           namer.Holder{Instance: "entry-0", Incarnation: "0a1b2c3d"},
		BundleSequence:   12_000,
		DepartureVersion: 1_234_567,
		TableVersion:     1_234_000,
		StoreAgeMS:       412,
		Number:           123_456,
		Heard:            map[namer.Holder]int64{},
	}
	for i := range 3 {
		h.Heard[namer.Holder{Instance: namer.Instance(fmt.Sprintf("entry-%d", i+1)), Incarnation: "4e5f6a7b"}] = 123_400
	}
	for i := range targets {
		id := namer.Target(fmt.Sprintf("statement-%02d", i))
		h.Targets = append(h.Targets, TargetSummary{
			Target:      id,
			Epoch:       17,
			FreeTokens:  212_345,
			QueueTokens: 12_345,
			WarmPercent: 100,
			Boot:        "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
		})
		h.Quotas = append(h.Quotas, Quota{
			Target:        id,
			Epoch:         17,
			Boot:          "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			MemoryTokens:  43_210,
			PrefillTokens: 12_345,
		})
	}
	return h
}

// BenchmarkHeartbeat measures encoding and decoding of one heartbeat, and its size by the number of targets in it.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{0, 1, 2, 4} {
		message := benchHeartbeat(n)
		b.Run(fmt.Sprintf("json/%d_targets", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for range b.N {
				encoded, err := json.Marshal(message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
				var decoded Heartbeat
				if err := json.Unmarshal(encoded, &decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run(fmt.Sprintf("gob/%d_targets", n), func(b *testing.B) {
			benchGob(b, message)
		})
	}
}

// benchGob reports the size of a message in a gob stream after the first one, which also carries the type descriptions.
func benchGob(b *testing.B, message Heartbeat) {
	b.Helper()
	b.ReportAllocs()
	var wire bytes.Buffer
	encoder, decoder := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
	size := 0
	for range max(b.N, 2) {
		if err := encoder.Encode(message); err != nil {
			b.Fatal(err)
		}
		size = wire.Len()
		var decoded Heartbeat
		if err := decoder.Decode(&decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
