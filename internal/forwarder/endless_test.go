package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessTarget starts a server that answers with the beginning, and then repeats the bytes until the caller closes the connection; it
// returns its address and the number of bytes that it could send.
func endlessTarget(t *testing.T, beginning, repeated string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := &atomic.Int64{}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 64<<10))
		_, err = io.WriteString(conn, beginning)
		for part := strings.Repeat(repeated, 1024); err == nil; {
			n := 0
			n, err = io.WriteString(conn, part)
			sent.Add(int64(n))
		}
	}()
	return listener.Addr().String(), sent
}

// socketBuffers is more than the buffers of both sockets hold, so that bytes beyond it have been read.
const socketBuffers = 16 << 20

// Guards against memory that grows without bound, and against waiting until the deadline, when a target sends bytes that are no answer
// without end.
func TestEndlessHead(t *testing.T) {
	for name, test := range map[string]struct{ beginning, repeated string }{
		"one line":             {"HTTP/1.1 200 OK\r\nLong: ", "x"},
		"many header lines":    {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"no protocol":          {"", "no answer "},
		"informational answer": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessTarget(t, test.beginning, test.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := Send(ctx, Outgoing{Address: address, Method: "POST", URI: "/a", Host: "host"})
			var failed *SendError
			if !errors.As(err, &failed) || !failed.Sent {
				t.Fatalf("got %v, want a SendError that doesn't deny the run", err)
			}
			if ctx.Err() != nil {
				t.Error("the connection was read until the deadline")
			}
			if got := sent.Load(); got > socketBuffers {
				t.Errorf("%d bytes were read, want the connection closed after %d", got, maxHeadBytes)
			}
		})
	}
}

// Guards against an event without end that is buffered until memory is exhausted.
func TestEndlessEvent(t *testing.T) {
	for name, repeated := range map[string]string{
		"one line":   "x",
		"many lines": "data: x\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessTarget(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", repeated)
			answer, err := send(t, address, "body")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := NewEvents(answer.Body, nil).Next(); !errors.Is(err, ErrEventTooLong) {
				t.Errorf("got %v, want ErrEventTooLong", err)
			}
			if got := sent.Load(); got > socketBuffers {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}
