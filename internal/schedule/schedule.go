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

// RequireFailures checks that the properties of a model detect faults: each variant is the model without one mechanism and
// must fail under at least one of the schedules.
func RequireFailures(t *testing.T, schedules uint64, variants map[string]func(Draw) error) {
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

// Network is a simulated network that delivers messages in any order, or after a delay.
type Network struct {
	messages []message
}

type message struct {
	due     time.Time
	deliver func()
}

// Send adds a message that may be delivered at any time.
func (n *Network) Send(deliver func()) {
	n.SendAt(time.Time{}, deliver)
}

// SendAt adds a message that DeliverDue delivers from a time on.
func (n *Network) SendAt(due time.Time, deliver func()) {
	n.messages = append(n.messages, message{
		due:     due,
		deliver: deliver,
	})
}

// Deliver delivers the message at index i modulo the number of messages; it reports whether there was one.
func (n *Network) Deliver(i int) bool {
	if len(n.messages) == 0 {
		return false
	}
	i %= len(n.messages)
	m := n.messages[i]
	n.messages = slices.Delete(n.messages, i, i+1)
	m.deliver()
	return true
}

// DeliverDue delivers the messages that are due at the time; those sent during the call wait for the next one.
func (n *Network) DeliverDue(now time.Time) {
	pending := n.messages
	n.messages = nil
	for _, m := range pending {
		if m.due.After(now) {
			n.messages = append(n.messages, m)
			continue
		}
		m.deliver()
	}
}
