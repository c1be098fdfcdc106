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

func newBench(s site, length time.Duration) *bench {
	return &bench{
		options: Options{Seed: 1, Length: length},
		out:     &bytes.Buffer{},
		site:    s,
		slots:   make(chan struct{}, 1),
	}
}

// Guards against figures that differ between two runs with the same seed, engines that outgrow
// their memory, and accounts that are left when all requests have ended.
func TestRepeatable(t *testing.T) {
	for _, s := range sites {
		Convey(s.name, t, func() {
			b := newBench(s, 10*time.Second)
			run := func() string {
				o := b.measure(b.requests(1.6, 1), "", nil)
				So(o.world.crashes(), ShouldEqual, 0)
				So(o.world.system.left(), ShouldEqual, 0)
				return fmt.Sprint(tally(o.requests), o.slowdowns(nil))
			}
			So(run(), ShouldEqual, run())
		})
	}
}

// Guards against a fake engine that is faster than its step time or survives outgrown memory.
func TestEngine(t *testing.T) {
	submit := func(prompt, produce int) (*loop, *engine, *[]bool) {
		l := newLoop()
		e := newEngine(l, "e", "a", &histogram{})
		ends := &[]bool{}
		j := &job{
			request: &request{produce: produce},
			prompt:  prompt,
			onEnd:   func(failed bool) { *ends = append(*ends, failed) },
		}
		e.submit(j)
		return l, e, ends
	}
	Convey("alone it takes the idle time", t, func() {
		l, e, ends := submit(5_000, 10)
		_, total := idleTime(5_000, 10)
		l.runUntil(epoch.Add(total - time.Millisecond))
		So(*ends, ShouldBeEmpty)
		l.runUntil(epoch.Add(total + time.Millisecond))
		So(*ends, ShouldResemble, []bool{false})
		So(e.held, ShouldEqual, 0)
	})
	Convey("it fails all requests when outgrown", t, func() {
		l, e, ends := submit(engineTokens-3, 10)
		l.runUntil(epoch.Add(time.Minute))
		So(*ends, ShouldResemble, []bool{true})
		So(e.crashes, ShouldEqual, 1)
	})
}

// Guards against a fake owner that promises more than its authority.
func TestOwner(t *testing.T) {
	Convey("quotas and reservations stay within the authority", t, func() {
		o := &owner{
			engine:   newEngine(newLoop(), "e", "a", &histogram{}),
			quotas:   make([]int, instanceCount),
			used:     make([]int, instanceCount),
			reserved: map[namer.Request]grant{},
		}
		for i := range 200 {
			number := i % instanceCount
			o.renew(number)
			o.used[number] = o.quotas[number] * (i % 3) / 2
			o.reserve(placerID("r", i), grant{tokens: 10_000 * (i%5 + 1), nonShort: i%2 == 0}, 0, func(bool) {})
			if i%4 == 0 {
				o.release(placerID("r", i/2))
			}
			So(o.quotaSum()+o.total, ShouldBeLessThanOrEqualTo, authorityTokens)
			So(o.nonShort, ShouldBeLessThanOrEqualTo, nonShortTokens)
		}
	})
}

// Guards against a workload that leaves the mix of the design.
func TestWorkload(t *testing.T) {
	Convey("one in fifty is long, and a mean answer has 300 tokens", t, func() {
		all := newBench(sites[0], 10*time.Minute).requests(1, 1)
		long, produced := 0, 0
		for _, r := range all {
			if isLong(r) {
				long++
				So(r.class, ShouldEqual, placer.Long)
			}
			produced += r.produce
		}
		So(float64(long)/float64(len(all)), ShouldBeBetween, 0.017, 0.023)
		So(float64(produced)/float64(len(all)), ShouldBeBetween, 295, 305)
	})
}
