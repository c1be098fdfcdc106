package holder_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/holder"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

var (
	start  = time.Unix(1_000, 0)
	bounds = holder.Bounds{
		Request:     100,
		Customer:    250,
		Process:     400,
		ReadTimeout: 10 * time.Second,
	}
)

func ended(actions []holder.Action) []namer.Request {
	var names []namer.Request
	for _, action := range actions {
		if end, ok := action.(holder.End); ok {
			names = append(names, end.Request)
		}
	}
	return names
}

// Guards against ending a request other than the one with the most bytes, and against callers that never read and keep
// their buffer.
func TestEnds(t *testing.T) {
	Convey("the request with the most bytes ends at the process bound", t, func() {
		h := holder.New(bounds)
		for i, bytes := range []int{90, 100, 90, 90} {
			name := namer.Request(fmt.Sprint(i))
			h.Open(name, namer.Customer(name))
			So(ended(h.Add(start, name, bytes)), ShouldBeEmpty)
		}
		h.Open("small", "s")
		So(ended(h.Add(start, "small", 31)), ShouldResemble, []namer.Request{"1"})
		So(h.Total(), ShouldEqual, 301)
	})
	Convey("a request that is not read ends after the read timeout, a read one does not", t, func() {
		h := holder.New(bounds)
		h.Open("a", "c")
		h.Open("b", "c")
		h.Add(start, "a", 10)
		h.Add(start, "b", 10)
		h.RecordRead(start.Add(5*time.Second), "b", 1)
		So(ended(h.Tick(start.Add(10*time.Second-1))), ShouldBeEmpty)
		So(ended(h.Tick(start.Add(10*time.Second))), ShouldResemble, []namer.Request{"a"})
	})
	Convey("reading pauses at the bound and continues at half of it", t, func() {
		h := holder.New(bounds)
		h.Open("a", "c")
		So(h.Add(start, "a", 100), ShouldResemble, []holder.Action{holder.Pause{Request: "a"}})
		So(h.RecordRead(start, "a", 49), ShouldBeEmpty)
		So(h.RecordRead(start, "a", 1), ShouldResemble, []holder.Action{holder.Continue{Request: "a"}})
	})
}

// Guards against exceeded bounds, bytes that stay counted after their request has ended, and requests that stay paused
// although there is room.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := holder.New(bounds)
		held := map[namer.Request]int{}
		paused := map[namer.Request]bool{}
		customer := func(r namer.Request) namer.Customer { return namer.Customer("c" + r[:1]) }
		apply := func(actions []holder.Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case holder.End:
					delete(held, a.Request)
					delete(paused, a.Request)
				case holder.Pause:
					paused[a.Request] = true
				case holder.Continue:
					delete(paused, a.Request)
				}
			}
		}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := namer.Request(fmt.Sprint(rapid.IntRange(10, 39).Draw(t, "request")))
			switch rapid.SampledFrom([]string{"add", "add", "add", "read", "close", "tick"}).Draw(t, "kind") {
			case "add":
				h.Open(name, customer(name))
				bytes := min(rapid.IntRange(1, 60).Draw(t, "bytes"), h.Allowance(name))
				held[name] += bytes
				apply(h.Add(now, name, bytes))
			case "read":
				bytes := rapid.IntRange(1, 120).Draw(t, "bytes")
				apply(h.RecordRead(now, name, bytes))
				if held[name] = max(0, held[name]-bytes); held[name] == 0 {
					delete(held, name)
				}
			case "close":
				delete(held, name)
				delete(paused, name)
				apply(h.Close(name))
			case "tick":
				apply(h.Tick(now))
			}
			total := 0
			customers := map[namer.Customer]int{}
			for one, bytes := range held {
				total += bytes
				customers[customer(one)] += bytes
			}
			if total != h.Total() || total > bounds.Process {
				t.Fatalf("%d bytes held, %d counted, bound %d", total, h.Total(), bounds.Process)
			}
			for one := range paused {
				if held[one] <= bounds.Request/2 && customers[customer(one)] <= bounds.Customer/2 {
					t.Fatalf("request %s stays paused with %d bytes", one, held[one])
				}
			}
		}
	})
}
