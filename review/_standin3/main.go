package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	heldCode   = 0
	brokenCode = 1
	failedCode = 2
)

// brokenError means that a rule was broken.
type brokenError struct {
	what string
}

// Error returns what was seen.
func (e *brokenError) Error() string {
	return e.what
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	if _, err := r.file.WriteString(line); err != nil {
		panic(err)
	}
}

func (r *recorder) logAnswer(a *answer) {
	r.log("client: %s %s with %s at %s, kept channel %t: status %d, whole %t, %d ms", a.id, a.request.path, a.request.key, a.at, a.kept,
		a.status, a.whole, a.took.Milliseconds())
}

func (r *recorder) logRuns(runs []run) {
	for _, run := range runs {
		r.log("server: %s at %.3f, %s %s for %s, turned away %t", run.server, run.at.Sub(r.began).Seconds(), run.request, run.path,
			run.customer, run.refused)
	}
}

// scenario plays a case; trouble is false for the same without the disruption.
type scenario func(r *recorder, d *deployment, trouble bool) error

var scenarios = map[string]scenario{
	"drill": drill,
	"parts": parts,
}

func main() {
	os.Exit(play(os.Args))
}

func play(arguments []string) int {
	if len(arguments) != 3 || scenarios[arguments[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 SCENARIO RECORD")
		return failedCode
	}
	file, err := os.Create(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failedCode
	}
	r := &recorder{
		file:  file,
		began: time.Now(),
	}
	err = playIn(r, scenarios[arguments[1]])
	var broken *brokenError
	switch {
	case err == nil:
		r.log("the rule held")
		fmt.Println("held")
		return heldCode
	case errors.As(err, &broken):
		r.log("the rule was broken: %v", err)
		fmt.Println("broken:", err)
		return brokenCode
	default:
		r.log("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return failedCode
	}
}

// playIn plays a scenario in a temporary folder, which is kept with KEEP set.
func playIn(r *recorder, s scenario) error {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	d, err := newDeployment(r, folder)
	if err != nil {
		return err
	}
	defer d.end()
	return s(r, d, os.Getenv("TROUBLE") != "0")
}
