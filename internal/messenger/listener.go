package messenger

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"bergamothollow.example/bergamothollow/pkg/roller"
)

// Handler handles messages from peers; a returned error is sent to the peer.
type Handler interface {
	Heartbeat(ctx context.Context, message Heartbeat) (Heartbeat, error)
	Reserve(ctx context.Context, message ReserveRequest) (ReserveAnswer, error)
	Release(ctx context.Context, message ReleaseRequest) error
	FetchBundle(ctx context.Context, message FetchBundleRequest) (roller.Signed, error)
	FetchDeparture(ctx context.Context, message FetchDepartureRequest) (FetchDepartureAnswer, error)
	Confirm(ctx context.Context, message ConfirmRequest) (ConfirmAnswer, error)
}

// ByteCounters counts the bytes of messages between instances, including their framing.
type ByteCounters struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Serve handles connections from peers until the listener is closed. It returns nil if the context was cancelled before.
func Serve(ctx context.Context, listener net.Listener, handler Handler, counters *ByteCounters) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peers on %s: %w", listener.Addr(), err)
		}
		accept(ctx, conn, handler, counters)
	}
}

// maxHandlers bounds the messages of a peer that are handled at a time; no more are read until one has been answered.
const maxHandlers = 16

// handlers handles the messages of a connection concurrently.
type handlers struct {
	inner jsonrpc2.Handler
	slots chan struct{}
}

// Handle begins to handle a message.
func (h *handlers) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		h.inner.Handle(ctx, conn, request)
	}()
}

func accept(ctx context.Context, conn net.Conn, handler Handler, counters *ByteCounters) {
	accepted, _ := conn.(*Accepted)
	answer := func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		return dispatch(ctx, handler, request)
	}
	jsonrpc2.NewConn(
		ctx,
		NewStream(conn, counters, accepted),
		&handlers{
			inner: jsonrpc2.HandlerWithError(answer).SuppressErrClosed(),
			slots: make(chan struct{}, maxHandlers),
		},
		jsonrpc2.SetLogger(DiscardLogger{}),
	)
}

// NewStream returns a JSON-RPC object stream over a connection between instances; it counts its bytes in counters. If a peer has opened
// the connection, accepted bounds what it sends; otherwise it is nil.
func NewStream(conn net.Conn, counters *ByteCounters, accepted *Accepted) jsonrpc2.ObjectStream {
	counted := countedConn{
		Conn:     conn,
		counters: counters,
	}
	return jsonrpc2.NewBufferedStream(counted, boundedCodec{
		accepted: accepted,
	})
}

func dispatch(ctx context.Context, handler Handler, request *jsonrpc2.Request) (any, error) {
	switch request.Method {
	case MethodHeartbeat:
		return answerWith(ctx, request, handler.Heartbeat)
	case MethodReserve:
		return answerWith(ctx, request, handler.Reserve)
	case MethodRelease:
		return answerWith(ctx, request, func(ctx context.Context, message ReleaseRequest) (bool, error) {
			return true, handler.Release(ctx, message)
		})
	case MethodFetchBundle:
		return answerWith(ctx, request, handler.FetchBundle)
	case MethodFetchDeparture:
		return answerWith(ctx, request, handler.FetchDeparture)
	case MethodConfirm:
		return answerWith(ctx, request, handler.Confirm)
	default:
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "unknown method " + request.Method,
		}
	}
}

func answerWith[M, A any](ctx context.Context, request *jsonrpc2.Request, handle func(context.Context, M) (A, error)) (any, error) {
	var message M
	if request.Params == nil {
		return nil, invalidParams(request.Method, "no parameters")
	}
	if err := json.Unmarshal(*request.Params, &message); err != nil {
		return nil, invalidParams(request.Method, err.Error())
	}
	return handle(ctx, message)
}

func invalidParams(method, problem string) *jsonrpc2.Error {
	return &jsonrpc2.Error{
		Code:    jsonrpc2.CodeInvalidParams,
		Message: method + ": " + problem,
	}
}

type countedConn struct {
	net.Conn
	counters *ByteCounters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Add(int64(n))
	return n, err
}

// DiscardLogger drops the log lines of the JSON-RPC library, since callers report broken peer connections.
type DiscardLogger struct{}

// Printf drops the line.
func (DiscardLogger) Printf(string, ...any) {}
