package acceptance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the soak test's schedule of faults")
	soakLength = flag.Duration("soak.length", 20*time.Second, "time over which the soak test injects faults")
)

// TestSoak runs the real programs under a random schedule of faults; the same seed gives the same schedule.
// It guards against guarantees that hold under each single fault but not under faults that overlap.
func TestSoak(t *testing.T) {
	script := soakScript(*soakSeed, *soakLength)
	t.Logf("seed %d, length %v, schedule:\n%s", *soakSeed, *soakLength, script)
	directory := t.TempDir()
	name := fmt.Sprintf("soak_%d.txtar", *soakSeed)
	if err := os.WriteFile(filepath.Join(directory, name), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, scenarios(directory))
}

// Guards against a seed that does not give the same schedule again.
func TestSoakIsRepeatable(t *testing.T) {
	first, again := soakScript(7, time.Minute), soakScript(7, time.Minute)
	if first != again {
		t.Error("the schedules of one seed differ")
	}
	if first == soakScript(8, time.Minute) {
		t.Error("two seeds have the same schedule")
	}
}

const (
	soakInstances = 4
	soakEngines   = 4
	// The pause between two steps is soakMinPause and a random part below soakPauseRange.
	soakMinPause   = 300 * time.Millisecond
	soakPauseRange = 2 * time.Second
)

// soak generates a schedule of faults as a scenario. At most one instance, one engine and the store have a fault at a
// time, so that the load can be served.
type soak struct {
	random *rand.Rand
	lines  []string
	// undo holds the lines that end the faults in force, by component: instance, engine or store.
	undo map[string][]string
}

// soakScript returns the scenario for a seed.
func soakScript(seed uint64, length time.Duration) string {
	s := &soak{
		random: rand.New(rand.NewPCG(seed, seed)),
		undo:   map[string][]string{},
	}
	s.add(
		fmt.Sprintf("cell -instances %d -engines %d", soakInstances, soakEngines),
		fmt.Sprintf("exec load --duration 10m --call-rate 5 --seed %d &load&", seed),
		"until '\"accepted\":[1-9]' GET http://$ENGINE_0/admin/counts",
	)
	for passed := time.Duration(0); passed < length; {
		pause := soakMinPause + time.Duration(s.random.Int64N(int64(soakPauseRange)))
		s.add(fmt.Sprintf("exec sleep %.1f", pause.Seconds()))
		passed += pause
		s.toggleFault()
	}
	for _, component := range []string{"instance", "engine", "store"} {
		s.endFault(component)
	}
	s.add(
		"kill -INT load",
		"wait load",
		"stdout 'completions: sent [0-9]+, finished [1-9][0-9]*, wrong 0, lost 0'",
		"stdout 'calls: sent [0-9]+, finished [1-9][0-9]*, wrong 0'",
		"http GET http://$SERVICE_0/admin/runs",
		"! stdout 'key-[0-9-]+\":([2-9]|[1-9][0-9])'",
	)
	for i := range soakEngines {
		s.add(fmt.Sprintf("until '\"requests\":\\[\\]' GET http://$ENGINE_%d/v1/requests", i))
	}
	for i := range soakInstances {
		s.add(fmt.Sprintf("alive entry-%d", i))
	}
	return strings.Join(s.lines, "\n") + "\n"
}

func (s *soak) add(lines ...string) {
	s.lines = append(s.lines, lines...)
}

// endFault ends the component's fault, if it has one.
func (s *soak) endFault(component string) {
	s.add(s.undo[component]...)
	delete(s.undo, component)
}

// toggleFault picks a component and ends its fault, or injects one if it has none.
func (s *soak) toggleFault() {
	component := []string{"instance", "engine", "store"}[s.random.IntN(3)]
	if len(s.undo[component]) > 0 {
		s.endFault(component)
		return
	}
	switch component {
	case "instance":
		s.injectProcessFault(component, fmt.Sprintf("entry-%d", s.random.IntN(soakInstances)), true)
	case "engine":
		s.injectProcessFault(component, fmt.Sprintf("engine-%d", s.random.IntN(soakEngines)), false)
	case "store":
		s.injectStoreFault()
	}
}

// injectProcessFault pauses a process, kills it or, if planned is set, stops it with SIGTERM.
func (s *soak) injectProcessFault(component, name string, planned bool) {
	kinds := 2
	if planned {
		kinds = 3
	}
	switch s.random.IntN(kinds) {
	case 0:
		s.add("signal STOP " + name)
		s.undo[component] = []string{"signal CONT " + name}
	case 1:
		s.add("signal KILL "+name, "ended "+name+" -1")
		s.undo[component] = []string{"start " + name}
	case 2:
		s.add("signal TERM "+name, "ended "+name+" 0")
		s.undo[component] = []string{"start " + name}
	}
}

// injectStoreFault takes the store down, slows it down, drops responses to writes or drops its watch history.
func (s *soak) injectStoreFault() {
	faults := func(body string) string {
		return "http POST http://$PLATFORM/admin/faults '" + body + "'"
	}
	switch s.random.IntN(4) {
	case 0:
		s.add(faults(`{"down":true}`))
		s.undo["store"] = []string{faults(`{"down":false}`)}
	case 1:
		s.add(faults(`{"delay_ms":200}`))
		s.undo["store"] = []string{faults(`{"delay_ms":0}`)}
	case 2:
		s.add(faults(`{"lose_answers":5}`))
	case 3:
		s.add(faults(`{"compact":true}`))
	}
}
