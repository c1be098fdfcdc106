package storer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/flooder"
)

// maxEndlessBytes is what an endless answer may cost: the largest accepted body, doubled by its growing buffer, and the sockets' buffers.
const maxEndlessBytes = 3 * maxResponseBytes

// Guards against memory that grows without bound while the store, or something that answers in its place, sends bytes without end.
func TestEndlessAnswer(t *testing.T) {
	for name, answer := range flooder.Answers() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			sent := flooder.Serve(listener, answer)
			const timeout = 5 * time.Second
			transport, err := NewTransport(listener.Addr().String(), timeout)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			_, err = transport.Do(context.Background(), HTTPRequest{Method: "GET", Path: "/x"})
			var unavailable *UnavailableError
			if !errors.As(err, &unavailable) || !unavailable.Sent {
				t.Errorf("got %v, want an UnavailableError of a call that was sent", err)
			}
			if took := time.Since(began); took >= timeout {
				t.Errorf("the answer was read for %s", took)
			}
			if got := sent.Load(); got > maxEndlessBytes {
				t.Errorf("%d bytes were read, want at most %d", got, maxEndlessBytes)
			}
		})
	}
}

// Guards against refusing large objects: the rules may have up to 1 MB (pattern: big_config, 1,680 routes more).
func TestLargeAnswer(t *testing.T) {
	body := strings.Repeat("x", 2<<20)
	for name, beginning := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunk":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			flooder.Serve(listener, flooder.Answer{Beginning: beginning})
			transport, err := NewTransport(listener.Addr().String(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.Do(context.Background(), HTTPRequest{Method: "GET", Path: "/x"})
			if err != nil || len(response.Body) != len(body) {
				t.Errorf("got %d bytes, %v, want %d", len(response.Body), err, len(body))
			}
		})
	}
}
