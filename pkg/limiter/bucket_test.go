package limiter

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a rate that is exceeded after idle time or after the clock went backwards, and against a wait that is too short.
func TestBucket(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(2, 4, start)
	drain := func(reserve float64, now time.Time) int {
		n := 0
		for b.Take(reserve, now) {
			n++
		}
		return n
	}
	convey.Convey("burst, reserve, rate", t, func() {
		convey.So(drain(1, start), convey.ShouldEqual, 3)
		convey.So(drain(0, start), convey.ShouldEqual, 1)
		convey.So(b.Wait(0, start), convey.ShouldBeBetween, 500*time.Millisecond, 501*time.Millisecond)
		convey.So(b.Take(0, start.Add(-time.Hour)), convey.ShouldBeFalse)
		convey.So(b.Take(0, start.Add(b.Wait(0, start))), convey.ShouldBeTrue)
		convey.So(drain(0, start.Add(time.Hour)), convey.ShouldEqual, 4)
		convey.So(b.Wait(9, start.Add(time.Hour)), convey.ShouldBeGreaterThan, time.Hour)
	})
}
