package dropper

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// queueLines bounds the lines that wait for the output: about 4 MB at the usual length.
	queueLines = 8192
	// maxLinesPerSecond bounds the volume under load; an instance writes some 200 lines a second at its usual peak.
	maxLinesPerSecond = 2000
)

// Dropper is a writer that never waits for its output.
type Dropper struct {
	output  io.Writer
	clock   timer.Clock
	lines   chan []byte
	dropped atomic.Int64
	closed  chan struct{}
	// second and written bound the lines of one second.
	second  atomic.Int64
	written atomic.Int64
}

// New returns a writer to output; Run starts it.
func New(output io.Writer, clock timer.Clock) *Dropper {
	return &Dropper{
		output: output,
		clock:  clock,
		lines:  make(chan []byte, queueLines),
		closed: make(chan struct{}),
	}
}

// Write queues one line, or drops it if the output does not keep up or the second has had its lines; it never fails.
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

// Run writes lines until Close, and tells of dropped ones.
func (d *Dropper) Run() {
	defer close(d.closed)
	told := int64(0)
	for line := range d.lines {
		if dropped := d.dropped.Load(); dropped != told {
			d.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log: lines dropped\"}\n", dropped-told))
			told = dropped
		}
		d.write(line)
	}
}

// write gives up on a line that the output refuses: there is nowhere left to report it but the counter.
func (d *Dropper) write(line []byte) {
	if _, err := d.output.Write(line); err != nil {
		d.dropped.Add(1)
	}
}

// Close writes what is queued, for as long as the time allows; nothing may be written after it.
func (d *Dropper) Close(within time.Duration) {
	close(d.lines)
	select {
	case <-d.closed:
	case <-d.clock.After(within):
	}
}
