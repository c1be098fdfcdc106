package storer

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

const (
	// maxResponseBytes bounds the body of a response; the store's lists have about 1 MB.
	maxResponseBytes = 16 << 20
	// maxLookahead bounds the bytes that the HTTP client holds before it has parsed them, which are those of a header.
	maxLookahead = 64 << 10
)

var errHeaderTooLong = errors.New("the header of the response is longer than 64 KiB")

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

// Peek returns the next n bytes without consuming them; it fails with errHeaderTooLong rather than read more than maxLookahead bytes
// ahead.
func (c boundedConn) Peek(n int) ([]byte, error) {
	if n > maxLookahead && n > c.Len() {
		return nil, errHeaderTooLong
	}
	return c.Conn.Peek(n)
}
