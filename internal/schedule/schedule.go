package schedule

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Draw returns a random number below n; low numbers should stand for normal events, since rapid shrinks towards them.
type Draw func(label string, n int) int

// Check runs the model under a number of generated schedules; -rapid.checks on the command line overrides the number.
// A failure prints the seed and the smallest schedule found.
func Check(t *testing.T, schedules int, run func(Draw) error) {
	t.Helper()
	setChecks(t, schedules)
	runs := 0
	start := time.Now()
	rapid.Check(t, func(r *rapid.T) {
		runs++
		err := run(func(label string, n int) int {
			return rapid.IntRange(0, n-1).Draw(r, label)
		})
		if err != nil {
			r.Fatal(err)
		}
	})
	t.Logf("%d schedules, %.0f per second", runs, float64(runs)/time.Since(start).Seconds())
}

func setChecks(t *testing.T, schedules int) {
	t.Helper()
	overridden := false
	flag.Visit(func(f *flag.Flag) {
		overridden = overridden || f.Name == "rapid.checks"
	})
	if overridden {
		return
	}
	if err := flag.Lookup("rapid.checks").Value.Set(strconv.Itoa(schedules)); err != nil {
		t.Fatal(err)
	}
}

// Caught checks the model's properties: each variant, a model that lacks one mechanism, must fail under at least one of
// the schedules.
func Caught(t *testing.T, schedules uint64, variants map[string]func(Draw) error) {
	t.Helper()
	for name, run := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range schedules {
				random := rand.New(rand.NewPCG(seed, 1))
				err := run(func(_ string, n int) int {
					return random.IntN(n)
				})
				if err != nil {
					t.Logf("the variant fails with seed %d, as required: %v", seed, err)
					return
				}
			}
			t.Fatalf("the variant does not fail in %d schedules", schedules)
		})
	}
}

// Wire is a simulated network that delivers messages in any order, or after a delay.
type Wire struct {
	messages []message
}

type message struct {
	due     time.Time
	deliver func()
}

// Post adds a message that may be delivered at any time.
func (w *Wire) Post(deliver func()) {
	w.PostAt(time.Time{}, deliver)
}

// PostAt adds a message that DeliverDue delivers from a time on.
func (w *Wire) PostAt(due time.Time, deliver func()) {
	w.messages = append(w.messages, message{
		due:     due,
		deliver: deliver,
	})
}

// Deliver delivers the message at index n modulo the number of messages; it reports whether there was one.
func (w *Wire) Deliver(n int) bool {
	if len(w.messages) == 0 {
		return false
	}
	n %= len(w.messages)
	m := w.messages[n]
	w.messages = slices.Delete(w.messages, n, n+1)
	m.deliver()
	return true
}

// DeliverDue delivers the messages that are due at the time; those posted during the call wait for the next one.
func (w *Wire) DeliverDue(now time.Time) {
	pending := w.messages
	w.messages = nil
	for _, m := range pending {
		if m.due.After(now) {
			w.messages = append(w.messages, m)
			continue
		}
		m.deliver()
	}
}
