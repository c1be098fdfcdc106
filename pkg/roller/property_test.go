package roller

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	faults      = 25
	searchLimit = 3000
)

// TestMain raises the default number of schedules; -rapid.checks on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "400"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a bundle in force that goes back after replays, partitions, restarts or messages out of order, and
// against a bundle that does not reach every connected instance in time.
func TestBundleNeverGoesBackAndArrives(t *testing.T) {
	schedules := 0
	start := time.Now()
	rapid.Check(t, func(r *rapid.T) {
		schedules++
		c := newCell(func(label string, n int) int {
			return rapid.IntRange(0, n-1).Draw(r, label)
		}, complete)
		if err := c.run(faults); err != nil {
			r.Fatal(err)
		}
	})
	t.Logf("%d schedules, %.0f per second", schedules, float64(schedules)/time.Since(start).Seconds())
}

// Guards against properties that hold for any implementation: each mechanism that is left out must be caught.
func TestVariantsAreCaught(t *testing.T) {
	for name, v := range map[string]variant{
		"lower sequences accepted":    acceptLower,
		"sequences of peers not used": ignorePeers,
		"watches not taken over":      fixedWatchers,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(searchLimit) {
				random := rand.New(rand.NewPCG(seed, 1))
				c := newCell(func(_ string, n int) int {
					return random.IntN(n)
				}, v)
				if err := c.run(faults); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not caught in %d schedules", searchLimit)
		})
	}
}
