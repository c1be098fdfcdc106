package crowder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// quietTime is how long nobody of a crowd can send anything before the crowd counts as settled.
	quietTime = time.Second
	pollTime  = 20 * time.Millisecond
)

// Crowd is a number of callers of one kind; its connections stay open until Close.
type Crowd struct {
	busy atomic.Int64
	sent atomic.Int64
	open atomic.Int64

	mu     sync.Mutex
	closed bool
	conns  []net.Conn
}

// Gather starts callers of a kind; head is the beginning of a sound request, up to the end of a header line.
func Gather(address string, callers int, kind Kind, head string, limits Limits) *Crowd {
	c := &Crowd{}
	c.busy.Store(int64(callers))
	for range callers {
		go func() {
			defer c.busy.Add(-1)
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil || !c.add(conn, kind.deaf) {
				return
			}
			// Errors aren't reported: the server may close the connection at any time.
			_ = kind.send(&counter{
				Writer: conn,
				count:  &c.sent,
			}, head, limits)
		}()
	}
	return c
}

// add keeps a connection, and watches whether the server closes it unless its caller is deaf; it reports false once the crowd has left.
func (c *Crowd) add(conn net.Conn, deaf bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	c.open.Add(1)
	if deaf {
		return true
	}
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		c.open.Add(-1)
	}()
	return true
}

// Settle waits until all callers have sent what they send or can send no more, but not longer than the given time.
func (c *Crowd) Settle(most time.Duration) {
	end := time.Now().Add(most)
	sent, since := c.sent.Load(), time.Now()
	for c.busy.Load() > 0 && time.Now().Before(end) {
		time.Sleep(pollTime)
		if now := c.sent.Load(); now != sent {
			sent, since = now, time.Now()
		}
		if time.Since(since) > quietTime {
			return
		}
	}
}

// Sent returns the number of bytes that the callers have sent.
func (c *Crowd) Sent() int64 {
	return c.sent.Load()
}

// Open returns the number of connections that the server hasn't closed.
func (c *Crowd) Open() int64 {
	return c.open.Load()
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// counter counts the bytes that are written.
type counter struct {
	io.Writer
	count *atomic.Int64
}

// Write writes p and counts its bytes.
func (c *counter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.count.Add(int64(n))
	return n, err
}
