package crowder

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process uses.
type Usage struct {
	ResidentBytes int
	Descriptors   int
}

// ReadUsage returns what a process uses now.
func ReadUsage(pid int) (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return Usage{}, err
	}
	_, rest, found := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return Usage{}, errors.New("the process has no resident memory: it has ended")
	}
	kibibytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return Usage{}, fmt.Errorf("read the resident memory of process %d: %w", pid, err)
	}
	open, err := os.ReadDir(filepath.Join(directory, "fd"))
	return Usage{
		ResidentBytes: kibibytes << 10,
		Descriptors:   len(open),
	}, err
}

// Observer remembers the most that a process uses.
type Observer struct {
	stop   chan struct{}
	result chan observation
}

type observation struct {
	most Usage
	err  error
}

// Observe begins to observe a process.
func Observe(pid int) *Observer {
	o := &Observer{
		stop:   make(chan struct{}),
		result: make(chan observation, 1),
	}
	go func() {
		var most Usage
		for {
			now, err := ReadUsage(pid)
			most = Usage{
				ResidentBytes: max(most.ResidentBytes, now.ResidentBytes),
				Descriptors:   max(most.Descriptors, now.Descriptors),
			}
			ended := false
			select {
			case <-o.stop:
				ended = true
			case <-time.After(pollTime):
			}
			if ended || err != nil {
				o.result <- observation{
					most: most,
					err:  err,
				}
				return
			}
		}
	}()
	return o
}

// Most ends the observation and returns the most that the process has used, and an error if it couldn't be read to the end.
func (o *Observer) Most() (Usage, error) {
	close(o.stop)
	r := <-o.result
	return r.most, r.err
}
