package estimator_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

func fixture() *estimator.Estimator {
	e := estimator.New(estimator.DefaultSettings())
	for _, id := range []namer.Target{"a", "b"} {
		e.SetTarget(estimator.Target{
			ID:            id,
			Model:         "m",
			PrefillRate:   50_000,
			TokenInterval: 20 * time.Millisecond,
		})
	}
	return e
}

func observe(e *estimator.Estimator, id namer.Target, rate float64, times int) {
	for range times {
		e.Observe(estimator.Observation{
			Target:        id,
			PrefillTokens: 10_000,
			Prefill:       time.Duration(10_000/rate*float64(time.Second)) + e.TokenInterval(id),
			TokenInterval: 40 * time.Millisecond,
		})
	}
}

// Guards against learned rates that are used too early, not at all, or for the wrong target.
func TestEstimate(t *testing.T) {
	cases := []struct {
		name  string
		learn func(*estimator.Estimator)
		id    namer.Target
		load  estimator.Load
		want  time.Duration // wait and prefill of 10,000 uncached tokens
	}{
		{"from the record", func(*estimator.Estimator) {}, "a", estimator.Load{}, 220 * time.Millisecond},
		{"queued tokens", func(*estimator.Estimator) {}, "a", estimator.Load{QueueTokens: 10_000}, 420 * time.Millisecond},
		{"too few samples", func(e *estimator.Estimator) { observe(e, "a", 25_000, 4) }, "a", estimator.Load{}, 220 * time.Millisecond},
		{"own rate", func(e *estimator.Estimator) { observe(e, "a", 25_000, 5) }, "a", estimator.Load{}, 440 * time.Millisecond},
		{"rate of the model", func(e *estimator.Estimator) { observe(e, "a", 25_000, 5) }, "b", estimator.Load{}, 440 * time.Millisecond},
		{"warming up", func(*estimator.Estimator) {}, "a", estimator.Load{WarmPercent: 50}, 420 * time.Millisecond},
		{"unknown target", func(*estimator.Estimator) {}, "c", estimator.Load{}, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			e := fixture()
			c.learn(e)
			got := e.Estimate(estimator.Request{PromptTokens: 12_000, CachedTokens: 2_000, OutputTokens: 100}, c.id, c.load)
			So(got.FirstToken().Round(time.Millisecond), ShouldEqual, c.want)
			So(got.Tokens, ShouldEqual, 12_100)
		})
	}
}

// Guards against a cold target that isn't detected, or that slows the estimates of warm targets.
func TestCold(t *testing.T) {
	Convey("a target under a third of the model's rate is cold", t, func() {
		e := fixture()
		observe(e, "b", 50_000, 20)
		observe(e, "a", 10_000, 20)
		So(e.IsCold("a"), ShouldBeTrue)
		So(e.IsCold("b"), ShouldBeFalse)
		other := e.Estimate(estimator.Request{PromptTokens: 10_000}, "b", estimator.Load{})
		So(other.Prefill, ShouldBeLessThan, 300*time.Millisecond)
		e.ResetTarget("a")
		So(e.IsCold("a"), ShouldBeFalse)
	})
}

// Guards against a few slow steps that weigh as much as a whole slow stream.
func TestIntervalWeight(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		want   time.Duration
	}{
		{"whole stream", 0, 21 * time.Millisecond},
		{"a fifth of the tokens", 16, 20200 * time.Microsecond},
		{"more tokens than the full weight needs", 800, 21 * time.Millisecond},
	} {
		Convey(c.name, t, func() {
			e := fixture()
			for range 200 {
				e.Observe(estimator.Observation{Target: "a", TokenInterval: 20 * time.Millisecond})
			}
			e.Observe(estimator.Observation{Target: "a", TokenInterval: 40 * time.Millisecond, IntervalTokens: c.tokens})
			So(e.TokenInterval("a").Round(time.Microsecond), ShouldEqual, c.want)
		})
	}
}

// Guards against estimates that decrease for a longer prompt or a longer queue.
func TestEstimateGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := fixture()
		for range rapid.IntRange(0, 10).Draw(t, "observations") {
			observe(e, "a", rapid.Float64Range(100, 100_000).Draw(t, "rate"), 1)
		}
		prompt := rapid.IntRange(1, 1_000_000).Draw(t, "prompt")
		queue := rapid.IntRange(0, 1_000_000).Draw(t, "queue")
		less := e.Estimate(estimator.Request{PromptTokens: prompt}, "a", estimator.Load{QueueTokens: queue})
		more := e.Estimate(estimator.Request{PromptTokens: prompt + 1_000}, "a", estimator.Load{QueueTokens: queue + 1_000})
		if more.Total <= less.Total || less.Total <= 0 {
			t.Fatalf("total %v for more work than %v", more.Total, less.Total)
		}
	})
}
