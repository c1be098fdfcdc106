package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// play is what a case gets.
type play struct {
	names   names
	record  *record
	folder  string
	trouble bool

	mu sync.Mutex
	// gateways are the processes that the case has started.
	gateways []*gateway
}

// endOnSignal ends all processes if the case is told to stop.
func (p *play) endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	p.mu.Lock()
	killAll(p.gateways)
	os.Exit(failed)
}

var cases = map[string]func(*play) (int, error){
	"crash":  playCrash,
	"entry":  playEntry,
	"stop":   playStop,
	"stream": playStream,
}

func main() {
	os.Exit(execute())
}

// execute plays a case and writes its record to a file: standin CASE FILE.
func execute() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FILE")
		return failed
	}
	p := &play{
		trouble: os.Getenv("TROUBLE") != "0",
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	p.record = &record{
		began: time.Now(),
		file:  file,
	}
	if p.names, err = readNames("review/names.json"); err == nil {
		p.folder, err = os.MkdirTemp("", "review-")
	}
	code := failed
	go p.endOnSignal()
	if err == nil {
		defer func() { _ = os.RemoveAll(p.folder) }()
		code, err = cases[os.Args[1]](p)
	}
	if err != nil {
		p.record.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	p.record.add("%s", verdict)
	fmt.Println(verdict)
	return code
}
