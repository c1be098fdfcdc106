package retrier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/retrier"
)

var start = time.Unix(1_000, 0)

func stream() *retrier.Stream {
	s := retrier.NewStream(retrier.DefaultSettings(), start.Add(time.Minute), 0, 1_000)
	s.Begin(start, "r.0", time.Second)
	return s
}

// Guards against retries that multiply the load: more than 10% of the requests in any 10 s.
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
				budget.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if !budget.TryRetry(now) {
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

// Guards against unlimited retries, and against a small site that can't resume the streams of a lost engine.
func TestBudgetMinimum(t *testing.T) {
	budget := retrier.NewBudget(retrier.DefaultSettings())
	for i := range retrier.DefaultSettings().BudgetMinimum {
		if !budget.TryRetry(start) {
			t.Fatalf("retry %d was not allowed", i)
		}
	}
	if budget.TryRetry(start) {
		t.Error("a retry beyond the budget was allowed")
	}
}

// Guards against streams that resume after their deadline, and against refusals that report wrongly whether the request ran.
func TestFail(t *testing.T) {
	cases := []struct {
		name    string
		tokens  int
		after   time.Duration
		reason  refuser.RetryReason
		resumes bool
		want    refuser.Ran
	}{
		{"resumes", 1, time.Second, refuser.StreamBroken, true, refuser.RanYes},
		{"not sent", 0, time.Second, refuser.ConnectFailed, true, refuser.RanNo},
		{"refused by the target", 0, time.Second, refuser.TargetRefused, true, refuser.RanNo},
		{"silent without a token", 0, time.Second, refuser.StreamSilent, true, refuser.RanUnknown},
		{"at the deadline", 1, time.Minute, refuser.StreamBroken, false, refuser.RanYes},
		{"past the deadline, not sent", 0, 61 * time.Second, refuser.ConnectFailed, false, refuser.RanNo},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			s := stream()
			for i := range c.tokens {
				s.Token(start, "r.0", i, time.Millisecond)
			}
			got := s.Fail(start.Add(c.after), "r.0", c.reason)
			So(s.Ran(), ShouldEqual, c.want)
			if c.resumes {
				resume := got.(retrier.Resume)
				So(resume.NextIndex, ShouldEqual, c.tokens)
				So(resume.Remaining, ShouldEqual, time.Minute-c.after)
				return
			}
			refusal := got.(retrier.End).Refusal
			So(refusal.Reason, ShouldEqual, refuser.DeadlineExceeded)
			So(refusal.Ran, ShouldEqual, c.want)
			So(s.Token(start, "r.0", c.tokens, 0), ShouldResemble, retrier.Ignore{Reason: retrier.DropEnded})
		})
	}
	Convey("the silence timeout follows the predicted time, but is at least 2 s", t, func() {
		s := stream()
		So(s.SilenceDeadline(), ShouldEqual, start.Add(3*time.Second))
		s.Token(start, "r.0", 0, 10*time.Millisecond)
		So(s.SilenceDeadline(), ShouldEqual, start.Add(2*time.Second))
		s.Token(start.Add(time.Second), "r.0", 5, 10*time.Millisecond)
		So(s.SilenceDeadline(), ShouldEqual, start.Add(2*time.Second))
	})
}

// Guards against an answer that is reported as complete although its stream ended early.
func TestDone(t *testing.T) {
	s := retrier.NewStream(retrier.DefaultSettings(), start.Add(time.Minute), 3, 5)
	s.Begin(start, "r.0", time.Second)
	s.Token(start, "r.0", 3, time.Millisecond)
	if got, ok := s.Done(start, "r.0").(retrier.Resume); !ok || got.NextIndex != 4 {
		t.Fatalf("got %v, want to resume at 4", got)
	}
	s.Begin(start, "r.1", time.Second)
	s.Token(start, "r.1", 4, time.Millisecond)
	if got := s.Done(start, "r.0"); got != (retrier.Ignore{Reason: retrier.DropLateAttempt}) {
		t.Errorf("got %v, want the end of the older attempt ignored", got)
	}
	if got := s.Done(start, "r.1"); got != (retrier.End{}) {
		t.Errorf("got %v, want the end", got)
	}
}

// Guards against answers with missing or repeated tokens, or tokens of another request, when events
// of several attempts and requests arrive late and out of order.
func TestReorderedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stream()
		current := "r.0"
		now, next := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			attempt := rapid.SampledFrom([]string{"r.0", "r.1", "r.2", "q.0", current}).Draw(t, "attempt")
			index := next + rapid.IntRange(-2, 2).Draw(t, "offset")
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				if _, resumes := s.Fail(now, attempt, refuser.StreamBroken).(retrier.Resume); resumes != (attempt == current) {
					t.Fatalf("failure of %s of %s: resumes %v", attempt, current, resumes)
				} else if resumes {
					current = fmt.Sprintf("r.%d", rapid.IntRange(10, 1_000_000).Draw(t, "id"))
					s.Begin(now, current, time.Second)
				}
				continue
			}
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
