package deduplicator

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// scheduleSteps is long enough for several kills and outages within the life of one key.
	scheduleSteps = 80
	// searchLimit bounds the schedules in which a variant must be caught.
	searchLimit = 20000
)

// TestMain raises the default number of schedules; -rapid.checks on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "4000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a payout that runs twice, and against "not run" said of a call that ran or will run, when instances
// are killed or paused, the store is down, answers are lost, writes land late and messages arrive in any order.
func TestCallRunsAtMostOnce(t *testing.T) {
	schedules := 0
	reached := map[string]int{}
	start := time.Now()
	rapid.Check(t, func(r *rapid.T) {
		schedules++
		w := newWorld(func(label string, n int) int {
			return rapid.IntRange(0, n-1).Draw(r, label)
		}, complete)
		if err := w.run(scheduleSteps); err != nil {
			r.Fatal(err)
		}
		for kind, n := range w.reached {
			reached[kind] += n
		}
	})
	t.Logf("%d schedules, %.0f per second; answers %v", schedules, float64(schedules)/time.Since(start).Seconds(), reached)
	for _, kind := range []string{
		"answered", "replayed", "key_reused no", "outcome_unknown unknown",
		"store_unavailable no", "target_failed no", "deadline_exceeded no",
	} {
		if reached[kind] == 0 {
			t.Errorf("no schedule reached the answer %q", kind)
		}
	}
}

// Guards against properties that hold for any implementation: each mechanism that is left out must be caught.
func TestVariantsAreCaught(t *testing.T) {
	for name, v := range map[string]variant{
		"writes without conditions":                  blindWrites,
		"lost write counts as success":               trustLostWrite,
		"call sent again after a lost answer":        sendTwice,
		"started record of a killed process revived": reviveStarted,
		"lost answer reported as not sent":           lostMeansNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(searchLimit) {
				random := rand.New(rand.NewPCG(seed, 1))
				w := newWorld(func(_ string, n int) int {
					return random.IntN(n)
				}, v)
				if err := w.run(scheduleSteps); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not caught in %d schedules", searchLimit)
		})
	}
}
