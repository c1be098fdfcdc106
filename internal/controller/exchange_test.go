package controller

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// TestIsCaller guards against pairs in which neither or both sides call, and against one instance calling all others.
func TestIsCaller(t *testing.T) {
	Convey("Exactly one side of each pair calls, and no instance calls all others", t, func() {
		names := make([]namer.Instance, 8)
		for i := range names {
			names[i] = namer.Instance(fmt.Sprintf("entry-%d", i))
		}
		for _, a := range names {
			calls := 0
			for _, b := range names {
				if a == b {
					continue
				}
				So(isCaller(a, b), ShouldNotEqual, isCaller(b, a))
				if isCaller(a, b) {
					calls++
				}
			}
			So(calls, ShouldBeBetween, 0, 7)
		}
	})
}

// TestSummaryChanged guards against changes of load or restarts of an engine that are not reported to peers.
func TestSummaryChanged(t *testing.T) {
	reported := messenger.TargetSummary{Target: "t", Epoch: 3, Boot: "b", FreeTokens: 200_000, QueueTokens: 0, WarmPercent: 100}
	for _, test := range []struct {
		name   string
		change func(*messenger.TargetSummary)
		want   bool
	}{
		{"the same", func(*messenger.TargetSummary) {}, false},
		{"free memory by 5%", func(s *messenger.TargetSummary) { s.FreeTokens = 190_000 }, false},
		{"free memory by 6%", func(s *messenger.TargetSummary) { s.FreeTokens = 188_000 }, true},
		{"a queue of one chunk", func(s *messenger.TargetSummary) { s.QueueTokens = 2_048 }, false},
		{"a queue of more", func(s *messenger.TargetSummary) { s.QueueTokens = 2_049 }, true},
		{"the epoch", func(s *messenger.TargetSummary) { s.Epoch = 4 }, true},
		{"the boot id", func(s *messenger.TargetSummary) { s.Boot = "c" }, true},
		{"the warm-up ramp", func(s *messenger.TargetSummary) { s.WarmPercent = 10 }, true},
		{"a long prefill", func(s *messenger.TargetSummary) { s.LongPrefills = 1 }, true},
	} {
		Convey("A summary that differs in "+test.name, t, func() {
			now := reported
			test.change(&now)
			So(summaryChanged(reported, now), ShouldEqual, test.want)
		})
	}
}

// TestPeerStatesForget guards against state that is never freed: that of restarted peers and the send times of old numbers.
func TestPeerStatesForget(t *testing.T) {
	Convey("Old numbers and processes that are no longer peers are dropped", t, func() {
		now := time.Unix(1_000, 0)
		s := newPeerStates()
		s.recordSent(1, now)
		for i := range 10 {
			s.peer(namer.Holder{Instance: "a", Incarnation: namer.Incarnation(fmt.Sprint(i))})
		}
		s.forget(nil, now.Add(sendTimeRetention))
		So(s.sentAt, ShouldContainKey, int64(1))
		So(s.peers, ShouldBeEmpty)
		s.forget(nil, now.Add(sendTimeRetention+time.Second))
		So(s.sentAt, ShouldBeEmpty)
	})
}
