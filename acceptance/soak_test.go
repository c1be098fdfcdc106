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
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the soak's schedule")
	soakLength = flag.Duration("soak.length", 20*time.Second, "time over which the soak injects faults")
)

// TestSoak runs the real programs under a random schedule of faults. Guards against guarantees that hold under each fault alone
// but not under faults that overlap; the same seed gives the same schedule.
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
	// soakGap and soakSpan are the shortest pause between two steps and the span of its random part.
	soakGap  = 300 * time.Millisecond
	soakSpan = 2 * time.Second
)

// soak writes a schedule in the language of the scenarios. At most one instance, one engine and the store are disturbed at a time,
// so that the load can be served.
type soak struct {
	random *rand.Rand
	lines  []string
	// ends holds the lines that end each active disturbance, by what it disturbs: instance, engine or store.
	ends map[string][]string
}

// soakScript returns the schedule of a seed.
func soakScript(seed uint64, length time.Duration) string {
	s := &soak{
		random: rand.New(rand.NewPCG(seed, seed)),
		ends:   map[string][]string{},
	}
	s.add(
		fmt.Sprintf("cell -instances %d -engines %d", soakInstances, soakEngines),
		fmt.Sprintf("exec load --duration 10m --call-rate 5 --seed %d &load&", seed),
		"until '\"accepted\":[1-9]' GET http://$ENGINE_0/admin/counts",
	)
	for passed := time.Duration(0); passed < length; {
		pause := soakGap + time.Duration(s.random.Int64N(int64(soakSpan)))
		s.add(fmt.Sprintf("exec sleep %.1f", pause.Seconds()))
		passed += pause
		s.step()
	}
	for _, what := range []string{"instance", "engine", "store"} {
		s.end(what)
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

// end ends the disturbance of an instance, an engine or the store, if there is one.
func (s *soak) end(what string) {
	s.add(s.ends[what]...)
	delete(s.ends, what)
}

// step ends a disturbance or begins one.
func (s *soak) step() {
	what := []string{"instance", "engine", "store"}[s.random.IntN(3)]
	if len(s.ends[what]) > 0 {
		s.end(what)
		return
	}
	switch what {
	case "instance":
		s.disturbProcess(what, fmt.Sprintf("entry-%d", s.random.IntN(soakInstances)), true)
	case "engine":
		s.disturbProcess(what, fmt.Sprintf("engine-%d", s.random.IntN(soakEngines)), false)
	case "store":
		s.disturbStore()
	}
}

// disturbProcess pauses or kills a process or, if planned is set, may also stop it with SIGTERM.
func (s *soak) disturbProcess(what, name string, planned bool) {
	kinds := 2
	if planned {
		kinds = 3
	}
	switch s.random.IntN(kinds) {
	case 0:
		s.add("signal STOP " + name)
		s.ends[what] = []string{"signal CONT " + name}
	case 1:
		s.add("signal KILL "+name, "ended "+name+" -1")
		s.ends[what] = []string{"start " + name}
	case 2:
		s.add("signal TERM "+name, "ended "+name+" 0")
		s.ends[what] = []string{"start " + name}
	}
}

// disturbStore takes the store down, slows it, loses answers of writes or drops its history.
func (s *soak) disturbStore() {
	faults := func(body string) string {
		return "http POST http://$PLATFORM/admin/faults '" + body + "'"
	}
	switch s.random.IntN(4) {
	case 0:
		s.add(faults(`{"down":true}`))
		s.ends["store"] = []string{faults(`{"down":false}`)}
	case 1:
		s.add(faults(`{"delay_ms":200}`))
		s.ends["store"] = []string{faults(`{"delay_ms":0}`)}
	case 2:
		s.add(faults(`{"lose_answers":5}`))
	case 3:
		s.add(faults(`{"compact":true}`))
	}
}
