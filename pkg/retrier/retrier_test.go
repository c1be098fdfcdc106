package retrier_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/retrier"
)

var start = time.Unix(1_000, 0)

func stream(requests int) *retrier.Stream {
	budget := retrier.NewBudget(retrier.DefaultSettings())
	for range requests {
		budget.Request(start)
	}
	s := retrier.NewStream(retrier.DefaultSettings(), budget, "r", start.Add(time.Minute))
	s.Sent(start, time.Second)
	return s
}

// Guards against retries that multiply load: more than 10% of the requests of any 10 s.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := retrier.DefaultSettings()
		settings.BudgetMinimum = rapid.SampledFrom([]int{0, 1, settings.BudgetMinimum}).Draw(t, "minimum")
		budget := retrier.NewBudget(settings)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				budget.Request(now)
				requests = append(requests, now)
				continue
			}
			if !budget.Spend(now) {
				continue
			}
			retries = append(retries, now)
			limit := max(int(0.1*float64(within(requests, now, settings.BudgetWindow))), settings.BudgetMinimum)
			// The oldest slot may have left the window by up to one slot.
			if got := within(retries, now, settings.BudgetWindow*9/10); got > limit {
				t.Fatalf("%d retries in the window, limit %d", got, limit)
			}
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, one := range times {
		if now.Sub(one) < window {
			count++
		}
	}
	return count
}

// Guards against streams that resume without time or budget, or that wait for a dead connection.
func TestFail(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		after    time.Duration
		needed   time.Duration
		want     refuser.Reason
		resumes  bool
	}{
		{"resumes", 10, time.Second, time.Second, "", true},
		{"too little time", 10, 50 * time.Second, 11 * time.Second, refuser.DeadlineExceeded, false},
		{"past the deadline", 10, 61 * time.Second, 0, refuser.DeadlineExceeded, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			s := stream(c.requests)
			s.Token(start, "r.0", 0, time.Millisecond)
			got := s.Fail(start.Add(c.after), "r.0", "a", refuser.StreamBroken, c.needed)
			resume, resumes := got.(retrier.Resume)
			So(resumes, ShouldEqual, c.resumes)
			if resumes {
				So(resume.Attempt, ShouldEqual, "r.1")
				So(resume.NextIndex, ShouldEqual, 1)
				So(resume.Remaining, ShouldEqual, time.Minute-c.after)
				return
			}
			So(got.(retrier.End).Refusal.Reason, ShouldEqual, c.want)
		})
	}
	Convey("the budget ends repeated failures", t, func() {
		s := stream(0)
		for range retrier.DefaultSettings().BudgetMinimum {
			So(s.Fail(start, s.Attempt(), "a", refuser.StreamBroken, 0), ShouldHaveSameTypeAs, retrier.Resume{})
		}
		So(s.Fail(start, s.Attempt(), "b", refuser.StreamBroken, 0).(retrier.End).Refusal.Reason,
			ShouldEqual, refuser.RetryBudgetSpent)
	})
	Convey("silence is judged by the predicted time, but not under 2 s", t, func() {
		s := stream(0)
		So(s.Tick(start.Add(3*time.Second-1), "a", 0), ShouldBeNil)
		s.Token(start, "r.0", 0, 10*time.Millisecond)
		So(s.Tick(start.Add(2*time.Second-1), "a", 0), ShouldBeNil)
		got := s.Tick(start.Add(2*time.Second), "a", 0)
		So(got.(retrier.Resume).Reason, ShouldEqual, refuser.StreamSilent)
		So(got.(retrier.Resume).Cancel, ShouldEqual, "r.0")
	})
}

// Guards against answers with tokens that are missing, repeated or of another request, when events
// of several attempts and requests arrive late and crossed.
func TestCrossedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stream(1_000)
		now, next := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			attempt := rapid.SampledFrom([]string{"r.0", "r.1", "r.2", "q.0", s.Attempt()}).Draw(t, "attempt")
			index := next + rapid.IntRange(-2, 2).Draw(t, "offset")
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				s.Fail(now, attempt, "a", refuser.StreamBroken, 0)
				continue
			}
			current := s.Attempt()
			got, delivered := s.Token(now, attempt, index, time.Millisecond).(retrier.Deliver)
			if want := attempt == current && index == next; delivered != want {
				t.Fatalf("delivered %v, want %v: attempt %s of %s, index %d of %d", delivered, want, attempt, current, index, next)
			}
			if delivered {
				if got.Index != next {
					t.Fatalf("index %d, want %d", got.Index, next)
				}
				next++
			}
		}
	})
}
