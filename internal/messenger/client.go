package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bergamothollow.example/bergamothollow/pkg/roller"
)

// PeerError means that a peer did not answer a message.
type PeerError struct {
	Address string
	Method  string
	// Sent reports whether the message may have reached the peer; it is false if no connection could be opened.
	Sent  bool
	Cause error
}

// Error describes the failed message.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s did not answer %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error {
	return e.Cause
}

// Client sends messages to peers over one connection per peer; it is safe for concurrent use.
type Client struct {
	counters *ByteCounters

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that counts its bytes in counters.
func NewClient(counters *ByteCounters) *Client {
	return &Client{
		counters: counters,
		conns:    map[string]*jsonrpc2.Conn{},
	}
}

// Heartbeat sends a heartbeat to a peer and returns the peer's heartbeat; it fails with a *PeerError, like all calls.
func (c *Client) Heartbeat(ctx context.Context, address string, message Heartbeat) (Heartbeat, error) {
	return send[Heartbeat](ctx, c, address, MethodHeartbeat, message)
}

// Reserve asks the owner of a target for a one-off reservation.
func (c *Client) Reserve(ctx context.Context, address string, message ReserveRequest) (ReserveAnswer, error) {
	return send[ReserveAnswer](ctx, c, address, MethodReserve, message)
}

// Release releases a one-off reservation at the owner of its target.
func (c *Client) Release(ctx context.Context, address string, message ReleaseRequest) error {
	_, err := send[bool](ctx, c, address, MethodRelease, message)
	return err
}

// FetchBundle asks a peer for its bundle.
func (c *Client) FetchBundle(ctx context.Context, address string, message FetchBundleRequest) (roller.Signed, error) {
	return send[roller.Signed](ctx, c, address, MethodFetchBundle, message)
}

// FetchDeparture asks a peer for its departures.
func (c *Client) FetchDeparture(ctx context.Context, address string, message FetchDepartureRequest) (FetchDepartureAnswer, error) {
	return send[FetchDepartureAnswer](ctx, c, address, MethodFetchDeparture, message)
}

// Confirm asks the holder of requests which of them it does not know.
func (c *Client) Confirm(ctx context.Context, address string, message ConfirmRequest) (ConfirmAnswer, error) {
	return send[ConfirmAnswer](ctx, c, address, MethodConfirm, message)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func send[A any](ctx context.Context, c *Client, address, method string, message any) (A, error) {
	var answer A
	conn, err := c.connect(ctx, address)
	if err != nil {
		return answer, &PeerError{
			Address: address,
			Method:  method,
			Cause:   err,
		}
	}
	if err := conn.Call(ctx, method, message, &answer); err != nil {
		c.dropUnlessAnswered(address, conn, err)
		return answer, &PeerError{
			Address: address,
			Method:  method,
			Sent:    true,
			Cause:   err,
		}
	}
	return answer, nil
}

// dropUnlessAnswered closes a connection unless the peer answered with an error: a connection without an answer may be open
// but dead, so the next message must use a new one.
func (c *Client) dropUnlessAnswered(address string, conn *jsonrpc2.Conn, err error) {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok && !closed(conn) {
		return conn, nil
	}
	dialer := net.Dialer{
		Timeout: 500 * time.Millisecond,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = jsonrpc2.NewConn(
		context.Background(),
		NewStream(raw, c.counters, nil),
		jsonrpc2.HandlerWithError(refuseRequests).SuppressErrClosed(),
		jsonrpc2.SetLogger(DiscardLogger{}),
	)
	return c.addConn(address, conn), nil
}

// addConn adds the connection, or closes it and returns the one that a concurrent call has added.
func (c *Client) addConn(address string, conn *jsonrpc2.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.conns[address]; ok && !closed(existing) {
		_ = conn.Close()
		return existing
	}
	c.conns[address] = conn
	return conn
}

func closed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func refuseRequests(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeMethodNotFound,
		Message: request.Method + " is not served on a client connection",
	}
}
