// Command standin2 plays the cases of the second review: it starts gateways beside stand-ins of the platform, and says whether a rule was
// broken.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	began    = time.Now()
	noteMu   sync.Mutex
	noteFile *os.File
)

// note writes a line to the record.
func note(format string, values ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
	fmt.Print(line)
	if noteFile != nil {
		_, _ = noteFile.WriteString(line)
	}
}

// world is what a case plays in.
type world struct {
	folder   string
	store    *store
	gateways []*gateway
}

func (w *world) close() {
	for _, g := range w.gateways {
		g.stop()
	}
	_ = os.RemoveAll(w.folder)
}

// newWorld writes the rules and starts gateways in front of the engines.
func newWorld(gateways int, engines ...*engine) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder,
	}
	if w.store, err = newStore(); err != nil {
		return w, err
	}
	w.store.put("config", "main", rules(3))
	for _, e := range engines {
		w.store.put("servers", e.id, e.entry("ready"))
	}
	if w.gateways, err = newGateways(gateways, folder, w.store.address, 0.4); err != nil {
		return w, err
	}
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return w, err
		}
	}
	for _, g := range w.gateways {
		if err := g.waitReady(); err != nil {
			return w, err
		}
	}
	time.Sleep(2 * time.Second)
	return w, nil
}

const (
	host = "pier.example"
	key  = "secret-of-crew"
)

// rules returns a desired state like those of the users' small installations.
func rules(version int) map[string]any {
	route := func(name, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout, "priority": 1,
			"targetLatencyMs": 300, "targetGapMs": 250, "maxAttempts": 2, "streamResumption": kind == "streaming",
			"service": service, "sessionAffinity": kind == "streaming", "anonymousAccess": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "streaming", "scribe", 10000), route("pay", "non_idempotent", "ledger", 3000),
			route("look", "idempotent", "ledger", 3000),
		},
		"services": []any{
			map[string]any{"name": "scribe", names["cold_rate_field"]: 36, "engine": map[string]any{
				"slots": 16, "cacheTokens": 232000, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000,
				"pairs_per_m": 0.138, "chunk": 2048, "stride": 43, "usual": map[string]any{"prompt": 12327, "answer": 1303},
			}},
			map[string]any{"name": "ledger", names["cold_rate_field"]: 0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "crew", names["keys_field"]: []string{key}}},
	}
}

// The results of a case, which are the exit codes.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

var cases = map[string]func(trouble bool) int{
	"bodies": bodies,
	"tokens": tokens,
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE [RECORD]")
		os.Exit(couldNotRun)
	}
	if len(os.Args) > 2 {
		file, err := os.Create(os.Args[2])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(couldNotRun)
		}
		noteFile = file
	}
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0"))
}
