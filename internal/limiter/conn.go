package limiter

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bergamothollow.example/bergamothollow/pkg/rationer"
)

// The phases of a connection.
const (
	// idle is the time before the first byte of a request.
	idle int32 = iota
	// head is the time until the header has been read.
	head
	// body is the time until the body has been read.
	body
	// answering is the time until the handler returns.
	answering
	// discarding is the time after an answer to a request that hasn't been read.
	discarding
)

const (
	// nodeBytes is the size of the HTTP server's read buffers. Beyond the first one it copies the whole header for each part that it
	// gets.
	nodeBytes = 4 << 10
	// headCopies is how many copies that makes: two, in buffers of up to twice their size.
	headCopies = 4
	// freeReads is the number of parts of a header that are handed on as they arrive, and freePartReads that for one part of a body;
	// more are gathered.
	freeReads     = 8
	freePartReads = 2
	// gatherTime bounds the time in which parts are gathered if their end may have been read before.
	gatherTime = time.Second
	// framingBytes bounds what is read for the next part of a body beside the part: the framing of chunks, the trailer and what follows.
	framingBytes = 16 << 10
	// discardTime and discardBytes bound what is read after the answer to a request that hasn't been read: closing the connection at
	// once could destroy the answer.
	discardTime  = 500 * time.Millisecond
	discardBytes = 256 << 10
	tailBytes    = 3
)

// Conn is a connection of a caller. Its methods but giveUp are called by one goroutine at a time.
type Conn struct {
	net.Conn
	limiter *Limiter
	once    sync.Once

	phase atomic.Int32
	// since is when the phase began, in Unix nanoseconds.
	since atomic.Int64
	// lost is set once the connection has been given up; readAhead once bytes have been read while a request is answered.
	lost      atomic.Bool
	readAhead atomic.Bool

	// reads and handed count the reads and bytes in the phase, in the body since its last part.
	reads  int
	handed int
	// allowed bounds the bytes for the next part of a body; chunked is set if the body is.
	allowed int
	chunked bool
	// tail has the last bytes of the header so far; ended is set once the empty line after it has been read, and careful if that may
	// have been read before.
	tail    []byte
	ended   bool
	careful bool
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
	// charged is set once memory has been taken for copies.
	charged bool
	// ration is the memory of a long header; nil for others.
	ration      *rationer.Body
	rationBytes int64
}

// FramingTooLongError means that the framing of a body has no end.
type FramingTooLongError struct {
	Bytes int
}

// Error returns the message with the bytes that were read for one part of the body.
func (e *FramingTooLongError) Error() string {
	return fmt.Sprintf("%d bytes were read for one part of a body: send less framing", e.Bytes)
}

// errLost is the error of reading from a connection that was given up; the HTTP server answers it with status 408.
func errLost() error {
	return &net.OpError{
		Op:  "read",
		Err: os.ErrDeadlineExceeded,
	}
}

// Read reads bytes of a request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.lost.Load() {
		return 0, errLost()
	}
	if c.phase.Load() == body && c.chunked {
		p = p[:min(len(p), nodeBytes)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.phase.Load() {
	case idle:
		c.enter(head)
		return c.readHead(p, n, err)
	case head:
		return c.readHead(p, n, err)
	case body:
		return c.readBody(p, n, err)
	case discarding:
		if c.handed += n; c.handed > discardBytes {
			return 0, errLost()
		}
	default:
		c.readAhead.Store(true)
	}
	return n, err
}

// enter begins a phase.
func (c *Conn) enter(phase int32) {
	c.reads, c.handed = 0, 0
	if phase == head {
		c.tail, c.ended = c.tail[:0], false
		c.careful = c.readAhead.Swap(false) || c.careful
	}
	c.since.Store(c.limiter.clock.Now().UnixNano())
	c.phase.Store(phase)
}

// readHead hands on bytes of a header. What arrives in small parts is gathered: the server looks at all of it for each part, and keeps a
// copy of it beyond the first buffer.
func (c *Conn) readHead(p []byte, n int, err error) (int, error) {
	if c.ended {
		return n, err
	}
	if c.reads++; c.reads > freeReads && err == nil {
		n, err = c.gather(p, n, c.careful, func(b []byte) bool { return emptyLine(c.tail, b) >= 0 })
	}
	if end := emptyLine(c.tail, p[:n]); end >= 0 {
		c.ended, c.careful = true, end < n
	} else {
		c.tail = append(c.tail, p[max(0, n-tailBytes):n]...)
		c.tail = c.tail[max(0, len(c.tail)-tailBytes):]
	}
	if c.handed += n; c.handed > nodeBytes && !c.takeHead() {
		return 0, errLost()
	}
	return n, err
}

// takeHead takes the memory of a copy of a header or trailer.
func (c *Conn) takeHead() bool {
	c.charged = true
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if c.ration == nil {
		c.ration = l.rationer.Open(now, c.lose)
	}
	c.rationBytes += headCopies * int64(c.handed)
	l.rationer.Advance(now, c.ration)
	if !l.rationer.Resize(now, c.ration, c.rationBytes) {
		l.Count(MemoryFull)
		return false
	}
	return true
}

// readBody hands on bytes of a body.
func (c *Conn) readBody(p []byte, n int, err error) (int, error) {
	if c.reads++; c.reads > freePartReads && err == nil {
		n, err = c.gather(p, n, true, func(b []byte) bool { return bytes.HasSuffix(b, []byte("\r\n\r\n")) })
	}
	if c.handed += n; c.handed > c.allowed {
		c.limiter.Count(FramingTooLong)
		return 0, &FramingTooLongError{
			Bytes: c.handed,
		}
	}
	if c.reads > freePartReads && c.handed > 2*nodeBytes && !c.takeHead() {
		return 0, errLost()
	}
	return n, err
}

// beginPart begins to read a part of a body, for which the given bytes may be read.
func (c *Conn) beginPart(allowed int) {
	c.reads, c.handed, c.allowed = 0, 0, allowed
	if c.charged {
		c.charged = false
		c.limiter.mu.Lock()
		c.releaseHead()
		c.limiter.mu.Unlock()
	}
}

// gather reads more after the first n bytes of p until they have an end, p is full or the time is over.
func (c *Conn) gather(p []byte, n int, careful bool, ended func([]byte) bool) (int, error) {
	until := c.deadline
	if limit := time.Now().Add(gatherTime); careful && (until.IsZero() || limit.Before(until)) {
		until = limit
	}
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return n, err
	}
	var err error
	for n < len(p) && err == nil && !ended(p[:n]) {
		var more int
		more, err = c.Conn.Read(p[n:])
		n += more
	}
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		err = nil
	}
	if c.lost.Load() {
		return 0, errLost()
	}
	if err == nil {
		err = c.Conn.SetReadDeadline(c.deadline)
	}
	return n, err
}

// emptyLine returns the index in b after the empty line that ends a header; -1 if there is none. Tail has the bytes before b.
func emptyLine(tail, b []byte) int {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(end)); i >= 0 {
			return i + len(end)
		}
	}
	if len(tail) > 0 {
		edge := append(append(make([]byte, 0, 2*tailBytes), tail...), b[:min(len(b), tailBytes)]...)
		for _, end := range []string{"\n\r\n", "\n\n"} {
			if i := bytes.Index(edge, []byte(end)); i >= 0 {
				return i + len(end) - len(tail)
			}
		}
	}
	return -1
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

// discard bounds what is still read of a request that was answered without it.
func (c *Conn) discard() {
	c.enter(discarding)
	// The error of a closed connection shows with the next read.
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTime))
}

// lose ends reading; the request that is read can still be answered.
func (c *Conn) lose() {
	c.lost.Store(true)
	// The error of a closed connection shows with the next read.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// giveUp ends the connection for another one; its descriptor is free at once. limiter.mu must be held.
func (c *Conn) giveUp() {
	c.lost.Store(true)
	c.once.Do(func() { c.remove() })
	_ = c.Conn.Close() // the connection may already be closed
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.once.Do(func() {
		if c.phase.Load() == head {
			c.limiter.Count(c.unfinished())
		}
		c.remove()
	})
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// unfinished returns the reason why a connection ended within a header.
func (c *Conn) unfinished() Reason {
	if c.ration != nil {
		return HeadTooLong
	}
	return HeadUnfinished
}

// remove takes the connection out of the books. limiter.mu must be held.
func (c *Conn) remove() {
	delete(c.limiter.conns, c)
	c.releaseHead()
}

// releaseHead gives back the memory of a long header. limiter.mu must be held.
func (c *Conn) releaseHead() {
	if c.ration != nil {
		c.limiter.rationer.Close(c.ration)
		c.ration, c.rationBytes = nil, 0
	}
}
