package storer

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// maxResponseBytes bounds the header and the body of a response, each; the store's lists have about 1 MB.
const maxResponseBytes = 16 << 20

var errResponseTooLong = errors.New("the response is longer than 16 MiB")

// boundedDialer opens connections on which the header of a response is bounded: the HTTP client has no limit for it.
type boundedDialer struct {
	network.Dialer
}

// DialConnection opens a connection.
func (d boundedDialer) DialConnection(kind, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(kind, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return boundedConn{
		Conn: conn,
	}, nil
}

type boundedConn struct {
	network.Conn
}

// Peek returns the next n bytes without consuming them; it fails with errResponseTooLong rather than read more than maxResponseBytes
// ahead.
func (c boundedConn) Peek(n int) ([]byte, error) {
	if n > maxResponseBytes && n > c.Len() {
		return nil, errResponseTooLong
	}
	return c.Conn.Peek(n)
}
