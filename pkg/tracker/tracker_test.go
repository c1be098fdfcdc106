package tracker

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

var start = time.Unix(1000, 0)

func holder(i int) namer.Holder {
	return namer.Holder{
		Instance:    namer.Instance(fmt.Sprintf("i%03d", i)),
		Incarnation: "a",
	}
}

// newServing returns the tracker of instance 0, serving, with n-1 members spread over the data centres.
func newServing(n int) *Tracker {
	settings := DefaultSettings(holder(0))
	settings.DataCentre = dataCentres[0]
	settings.CallerAddress = "address-0"
	t := New(settings, start)
	t.Serve(start)
	for i := 1; i < n; i++ {
		t.ObserveHeartbeat(heartbeatOf(i, StateServing, 1), start)
	}
	return t
}

func heartbeatOf(i int, state State, number int64) Heartbeat {
	return Heartbeat{
		Sender:        holder(i),
		State:         state,
		DataCentre:    dataCentres[i%len(dataCentres)],
		CallerAddress: fmt.Sprint("address-", i),
		Number:        number,
	}
}

// Guards against address answers that contain instances out of service, or that send all callers to the same instance.
func TestAddresses(t *testing.T) {
	out := func(d ...namer.DataCentre) func(*Tracker) {
		return func(t *Tracker) { t.ObserveDeparture(5, Departure{DataCentres: d}, start) }
	}
	for _, c := range []struct {
		name   string
		near   namer.DataCentre
		change func(*Tracker)
		want   []namer.Instance
	}{
		{"nearest first, one elsewhere", "fish-wharf", func(*Tracker) {}, []namer.Instance{"i001", "i004", "i000"}},
		{"own data centre by default", "", func(*Tracker) {}, []namer.Instance{"i000", "i003", "i001"}},
		{"taken out", "fish-wharf", out("fish-wharf"), []namer.Instance{"i000", "i002", "i003"}},
		{"all but one out", "", out("fish-wharf", "cannery-row"), []namer.Instance{"i000", "i003"}},
		{"own data centre out", "", out("north-pier"), []namer.Instance{"i001", "i002", "i004"}},
		{"leaving", "fish-wharf", func(t *Tracker) { t.ObserveHeartbeat(heartbeatOf(1, StateLeaving, 2), start) }, []namer.Instance{"i004", "i000", "i002"}},
		{"listed as leaving", "fish-wharf", func(t *Tracker) { t.ObserveList([]Listed{{Instance: "i001", Leaving: true}}, start) }, []namer.Instance{"i004", "i000", "i002"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := newServing(6)
			c.change(tracker)
			var got []namer.Instance
			for _, a := range tracker.Addresses(c.near, 0, start) {
				got = append(got, a.Instance)
			}
			convey.Convey(c.name, t, func() {
				convey.So(got, convey.ShouldResemble, c.want)
			})
		})
	}
	tracker := newServing(24)
	first := map[namer.Instance]int{}
	for n := range uint64(80) {
		first[tracker.Addresses("", n, start)[0].Instance]++
	}
	convey.Convey("80 callers are spread evenly over the 8 nearest", t, func() {
		convey.So(first, convey.ShouldHaveLength, 8)
		for _, n := range first {
			convey.So(n, convey.ShouldEqual, 10)
		}
	})
}

// Guards against a graceful shutdown that refuses callers with a valid cached address, or that ends running requests.
func TestLeaving(t *testing.T) {
	tracker := newServing(3)
	tracker.SetPendingWork(2, start)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	convey.Convey("accepts for 11 s, then waits for running requests", t, func() {
		written := tracker.Leave(at(0))[0].(WriteMember)
		convey.So(written.Member.State, convey.ShouldEqual, StateLeaving)
		convey.So(tracker.Addresses("", 0, at(0))[0].Instance, convey.ShouldNotEqual, holder(0).Instance)
		convey.So(tracker.Accepting(at(10.9)), convey.ShouldBeTrue)
		convey.So(tracker.Accepting(at(11)), convey.ShouldBeFalse)
		convey.So(tracker.Tick(at(11)), convey.ShouldContain, StopAccepting{})
		convey.So(tracker.SetPendingWork(1, at(12)), convey.ShouldBeEmpty)
		last := tracker.SetPendingWork(0, at(20))
		convey.So(last, convey.ShouldHaveLength, 2)
		convey.So(last[0].(WriteMember).Member.State, convey.ShouldEqual, StateLeft)
		convey.So(last[1], convey.ShouldResemble, Exit{})
	})
}

// Guards against an instance that keeps accepting while its data centre is out of service, or that does not resume after.
func TestOwnDataCentreOut(t *testing.T) {
	tracker := newServing(3)
	convey.Convey("stops after 11 s and resumes", t, func() {
		tracker.ObserveDeparture(5, Departure{DataCentres: dataCentres[:1]}, start)
		convey.So(tracker.Accepting(start.Add(10*time.Second)), convey.ShouldBeTrue)
		convey.So(tracker.Tick(start.Add(11*time.Second)), convey.ShouldContain, StopAccepting{})
		back := tracker.ObserveDeparture(6, Departure{}, start.Add(20*time.Second))
		convey.So(back, convey.ShouldContain, ResumeAccepting{})
	})
}

// Guards against new work on targets that are out of service or removed.
func TestTargets(t *testing.T) {
	tracker := newServing(1)
	for i, d := range dataCentres {
		tracker.ObserveTarget(Target{ID: namer.Target(fmt.Sprint("t", i)), DataCentre: d})
	}
	tracker.ObserveDeparture(5, Departure{DataCentres: dataCentres[:1], Targets: []namer.Target{"t1"}}, start)
	convey.Convey("one target is left", t, func() {
		convey.So(tracker.Targets(), convey.ShouldHaveLength, 1)
		convey.So(tracker.TargetOutOfService("t0"), convey.ShouldBeTrue)
		convey.So(tracker.TargetOutOfService("t1"), convey.ShouldBeTrue)
		convey.So(tracker.TargetOutOfService("t2"), convey.ShouldBeFalse)
		tracker.ForgetTarget("t2")
		convey.So(tracker.TargetOutOfService("t2"), convey.ShouldBeTrue)
	})
}

// Guards against an instance that places work while it is isolated, and against one that stops in a store outage although
// it hears its peers.
func TestIsolation(t *testing.T) {
	tracker := newServing(2)
	convey.Convey("3 s without store and peers", t, func() {
		convey.So(tracker.Isolated(start.Add(2900*time.Millisecond)), convey.ShouldBeFalse)
		convey.So(tracker.Isolated(start.Add(3*time.Second)), convey.ShouldBeTrue)
		tracker.ObserveHeartbeat(heartbeatOf(1, StateServing, 2), start.Add(3*time.Second))
		convey.So(tracker.Isolated(start.Add(5*time.Second)), convey.ShouldBeFalse)
		tracker.ObserveStoreResponse(start.Add(6 * time.Second))
		convey.So(tracker.Isolated(start.Add(8*time.Second)), convey.ShouldBeFalse)
	})
}

// Guards against a delayed heartbeat of a replaced process that replaces the entry of its successor.
func TestLateHeartbeatOfReplacedProcess(t *testing.T) {
	tracker := newServing(2)
	fresh := heartbeatOf(1, StateServing, 1)
	fresh.Sender.Incarnation = "b"
	convey.Convey("the newer process stays", t, func() {
		tracker.ObserveHeartbeat(fresh, start)
		tracker.ObserveHeartbeat(heartbeatOf(1, StateLeaving, 9), start.Add(time.Second))
		convey.So(tracker.Peers(start)[0].Holder.Incarnation, convey.ShouldEqual, namer.Incarnation("b"))
		convey.So(tracker.Peers(start)[0].State, convey.ShouldEqual, StateServing)
	})
}

// BenchmarkTick measures one tick with one heartbeat of each other member.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 30, 100, 330} {
		b.Run(fmt.Sprint(n, "_members"), func(b *testing.B) {
			tracker := newServing(n)
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Second)
				for i := 1; i < n; i++ {
					tracker.ObserveHeartbeat(heartbeatOf(i, StateServing, now.Unix()), now)
				}
				tracker.Tick(now)
			}
		})
	}
}

// BenchmarkAddresses measures one address answer.
func BenchmarkAddresses(b *testing.B) {
	tracker := newServing(8)
	b.ReportAllocs()
	for n := range b.N {
		tracker.Addresses("", uint64(n), start)
	}
}

// BenchmarkMemberBytes measures the size of a member record in a cell of 8.
func BenchmarkMemberBytes(b *testing.B) {
	tracker := newServing(8)
	size := 0
	for range b.N {
		tracker.writeDue = start
		for _, a := range tracker.Tick(start) {
			encoded, err := json.Marshal(a.(WriteMember).Member)
			if err != nil {
				b.Fatal(err)
			}
			size = len(encoded)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
