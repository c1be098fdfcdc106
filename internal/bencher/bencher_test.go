package bencher

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

func newBench(d deployment, length time.Duration) *bench {
	return &bench{
		options:    Options{Seed: 1, Length: length},
		output:     &bytes.Buffer{},
		deployment: d,
		runSlots:   make(chan struct{}, 1),
	}
}

// Guards against results that differ between two runs with the same seed, engines that run out of
// memory, and calls, reservations or quota that are not released when all requests have ended.
func TestRepeatable(t *testing.T) {
	for _, d := range deployments {
		Convey(d.name, t, func() {
			b := newBench(d, 10*time.Second)
			run := func() string {
				o := b.measure(b.requests(1.6, 1), "", nil)
				So(o.sim.crashes(), ShouldEqual, 0)
				So(o.sim.system.leakCount(), ShouldEqual, 0)
				return fmt.Sprint(summariseFailures(o.requests), o.slowdowns(nil))
			}
			So(run(), ShouldEqual, run())
		})
	}
}

// Guards against a fake engine that is faster than its step time or doesn't crash when out of memory.
func TestEngine(t *testing.T) {
	submit := func(promptTokens, outputTokens int) (*loop, *engine, *[]bool) {
		l := newLoop()
		e := newEngine(l, "e", "a", &histogram{})
		ends := &[]bool{}
		j := &job{
			request:      &request{outputTokens: outputTokens},
			promptTokens: promptTokens,
			onEnd:        func(failed bool) { *ends = append(*ends, failed) },
		}
		e.submit(j)
		return l, e, ends
	}
	Convey("a request that runs alone takes the idle time", t, func() {
		l, e, ends := submit(5_000, 10)
		_, total := idleTime(5_000, 10)
		l.runUntil(epoch.Add(total - time.Millisecond))
		So(*ends, ShouldBeEmpty)
		l.runUntil(epoch.Add(total + time.Millisecond))
		So(*ends, ShouldResemble, []bool{false})
		So(e.usedTokens, ShouldEqual, 0)
	})
	Convey("an engine out of memory fails all its requests", t, func() {
		l, e, ends := submit(engineMemoryTokens-3, 10)
		l.runUntil(epoch.Add(time.Minute))
		So(*ends, ShouldResemble, []bool{true})
		So(e.crashes, ShouldEqual, 1)
	})
}

// Guards against a fake owner that grants more memory than it may.
func TestOwner(t *testing.T) {
	Convey("quotas and reservations stay within the memory that the owner may grant", t, func() {
		o := &owner{
			engine:       newEngine(newLoop(), "e", "a", &histogram{}),
			quotas:       make([]int, instanceCount),
			used:         make([]int, instanceCount),
			reservations: map[namer.Request]reservation{},
		}
		for i := range 200 {
			number := i % instanceCount
			o.renewQuota(number)
			o.used[number] = o.quotas[number] * (i % 3) / 2
			o.reserve(requestID("r", i), reservation{tokens: 10_000 * (i%5 + 1), nonShort: i%2 == 0}, 0, func(bool) {})
			if i%4 == 0 {
				o.release(requestID("r", i/2))
			}
			So(o.quotaSum()+o.reservedTokens, ShouldBeLessThanOrEqualTo, ownerTokens)
			So(o.nonShortReserved, ShouldBeLessThanOrEqualTo, nonShortLimitTokens)
		}
	})
}

// Guards against a workload whose share of long prompts or mean answer differs from the design.
func TestWorkload(t *testing.T) {
	Convey("one in fifty is long, and a mean answer has 300 tokens", t, func() {
		all := newBench(deployments[0], 10*time.Minute).requests(1, 1)
		long, produced := 0, 0
		for _, r := range all {
			if isLong(r) {
				long++
				So(r.class, ShouldEqual, placer.Long)
			}
			produced += r.outputTokens
		}
		So(float64(long)/float64(len(all)), ShouldBeBetween, 0.017, 0.023)
		So(float64(produced)/float64(len(all)), ShouldBeBetween, 295, 305)
	})
}
