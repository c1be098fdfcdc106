package receiver

import (
	"fmt"
	"net"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

// requestTime bounds the time from the first byte of a request until its answer begins. It exceeds the timeouts of routes; the HTTP
// server's own timeout starts anew with each byte.
const requestTime = time.Minute

// boundedListener accepts connections that end if a caller takes too long to send a request.
type boundedListener struct {
	net.Listener
	clock timer.Clock
}

// Accept waits for the next connection.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{
		Conn:  conn,
		clock: l.clock,
	}, nil
}

type boundedConn struct {
	net.Conn
	clock timer.Clock

	mu sync.Mutex
	// begun is when the first byte since the last answer was read; it is zero before that.
	begun time.Time
}

// Read reads bytes of a request; it fails with a SlowRequestError if the request began too long ago.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun.IsZero() {
		c.begun = now
	}
	if since := now.Sub(c.begun); since > requestTime {
		return 0, &SlowRequestError{
			Since: since,
		}
	}
	return n, err
}

// Write writes a part of an answer; the next byte that is read begins another request.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.begun = time.Time{}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SlowRequestError means that a caller has not sent a whole request in time.
type SlowRequestError struct {
	Since time.Duration
}

// Error returns the message with the time since the request began.
func (e *SlowRequestError) Error() string {
	return fmt.Sprintf("the request began %s ago and is not complete", e.Since.Round(time.Second))
}
