package dialer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// TooLongError means that an answer, or its header, is longer than the limit, in bytes.
type TooLongError struct {
	Limit int
}

// Error returns the message with the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.Limit)
}

// maxHeaderBytes bounds the header of an answer. The library parses a header from its beginning each time that more of it has arrived, so
// that a long one takes seconds of processor time.
const maxHeaderBytes = 64 << 10

// Bounded returns the options of a client that reads at most limit bytes of the body of an answer, and 64 KiB of its header.
func Bounded(limit int) []config.ClientOption {
	return append(BoundedStream(maxHeaderBytes+2*limit), config.ClientOption{
		F: func(o *config.ClientOptions) {
			o.MaxResponseBodySize = limit
		},
	})
}

// BoundedStream returns the options of a client that reads at most limit bytes of an answer, and 64 KiB of its header. The library has no
// limit for headers, and reads bodies without a length whole, also those that are read as a stream.
func BoundedStream(limit int) []config.ClientOption {
	return []config.ClientOption{
		// Closing a connection of the standard dialer unblocks a read in progress. The default dialer sometimes loses a response if
		// the server closes the connection right after it.
		client.WithDialer(boundedDialer{
			Dialer: standard.NewDialer(),
			limit:  limit,
		}),
	}
}

// boundedDialer opens connections on which answers are bounded.
type boundedDialer struct {
	network.Dialer
	limit int
}

// DialConnection opens a connection.
func (d boundedDialer) DialConnection(kind, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(kind, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return &boundedConn{
		Conn:  conn,
		limit: d.limit,
	}, nil
}

// boundedConn reads the answer to one request at a time.
type boundedConn struct {
	network.Conn
	limit int
	// read counts the bytes that were read since the latest request was sent.
	read int
	// head is the state of the answer's head.
	head head
	// broken is the error with which a body without a length was cut off.
	broken error
}

// Flush sends what was written: a request, whose answer is counted anew.
func (c *boundedConn) Flush() error {
	c.read, c.head, c.broken = 0, head{}, nil
	return c.Conn.Flush()
}

// Peek returns the next n bytes without consuming them. It fails with a TooLongError beyond the limit, since the library ignores the error
// of Skip, and rather than read more ahead than a header may have: nothing is consumed before a header is complete.
func (c *boundedConn) Peek(n int) ([]byte, error) {
	p, err := c.peek(n)
	if headErr := c.checkHead(); headErr != nil {
		return nil, headErr
	}
	if n == 1 && c.Len() == 0 && c.head.consumed && c.head.delimited && err != nil && !errors.Is(err, io.EOF) {
		// The library takes any error here for the end of the body. It then asks for the bytes that have arrived, none, and returns the
		// error of that.
		c.broken = err
		return nil, nil
	}
	return p, err
}

func (c *boundedConn) peek(n int) ([]byte, error) {
	if c.broken != nil {
		return nil, c.broken
	}
	if err := c.count(0); err != nil {
		return nil, err
	}
	ahead := c.limit
	if c.read == 0 {
		ahead = maxHeaderBytes
	}
	if n > ahead && n > c.Len() {
		return nil, &TooLongError{
			Limit: ahead,
		}
	}
	return c.Conn.Peek(n)
}

// checkHead parses the head of the answer once all of it has arrived, before the library does.
func (c *boundedConn) checkHead() error {
	if c.head.status != 0 || c.Len() == 0 {
		return nil
	}
	arrived, err := c.Conn.Peek(c.Len())
	if err != nil {
		return err
	}
	return c.head.parse(arrived)
}

// Read reads into p; it fails with a TooLongError beyond the limit.
func (c *boundedConn) Read(p []byte) (int, error) {
	if err := c.count(0); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// ReadBinary returns the next n bytes; it fails with a TooLongError beyond the limit.
func (c *boundedConn) ReadBinary(n int) ([]byte, error) {
	if err := c.count(n); err != nil {
		return nil, err
	}
	return c.Conn.ReadBinary(n)
}

// ReadByte returns the next byte; it fails with a TooLongError beyond the limit.
func (c *boundedConn) ReadByte() (byte, error) {
	if err := c.count(1); err != nil {
		return 0, err
	}
	return c.Conn.ReadByte()
}

// Skip consumes n bytes; it fails with a TooLongError beyond the limit. The library consumes a head as a whole.
func (c *boundedConn) Skip(n int) error {
	c.head.consume()
	if err := c.count(n); err != nil {
		return err
	}
	return c.Conn.Skip(n)
}

func (c *boundedConn) count(n int) error {
	c.read += n
	if c.read > c.limit {
		return &TooLongError{
			Limit: c.limit,
		}
	}
	return nil
}
