package dropper

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// queueLines bounds the queue of lines; it takes about 4 MB at the usual line length.
	queueLines = 8192
	// maxLinesPerSecond limits the log rate under load; an instance's usual peak is some 200 lines a second.
	maxLinesPerSecond = 2000
)

// Dropper is a writer that never blocks on its output.
type Dropper struct {
	output  io.Writer
	clock   timer.Clock
	lines   chan []byte
	dropped atomic.Int64
	// closed is closed when Run has written the last line.
	closed chan struct{}
	// written counts the lines since the start of second, a Unix time in seconds.
	second  atomic.Int64
	written atomic.Int64
}

// New returns a Dropper; its lines are written to output by Run.
func New(output io.Writer, clock timer.Clock) *Dropper {
	return &Dropper{
		output: output,
		clock:  clock,
		lines:  make(chan []byte, queueLines),
		closed: make(chan struct{}),
	}
}

// Write queues one line, or drops it if the queue is full or the rate limit is reached; it never fails.
func (d *Dropper) Write(line []byte) (int, error) {
	if second := d.clock.Now().Unix(); d.second.Swap(second) != second {
		d.written.Store(0)
	}
	if d.written.Add(1) > maxLinesPerSecond {
		d.dropped.Add(1)
		return len(line), nil
	}
	select {
	case d.lines <- append([]byte(nil), line...):
	default:
		d.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (d *Dropper) Dropped() int64 {
	return d.dropped.Load()
}

// Run writes queued lines until Close. If lines were dropped, it first writes a warning with their number since the last warning.
func (d *Dropper) Run() {
	defer close(d.closed)
	reported := int64(0)
	for line := range d.lines {
		if dropped := d.dropped.Load(); dropped != reported {
			d.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log: lines dropped\"}\n", dropped-reported))
			reported = dropped
		}
		d.write(line)
	}
}

// write counts a line as dropped if the output fails, since the error cannot be logged.
func (d *Dropper) write(line []byte) {
	if _, err := d.output.Write(line); err != nil {
		d.dropped.Add(1)
	}
}

// Close waits up to the timeout for the queued lines to be written; Write must not be called after it.
func (d *Dropper) Close(timeout time.Duration) {
	close(d.lines)
	select {
	case <-d.closed:
	case <-d.clock.After(timeout):
	}
}
