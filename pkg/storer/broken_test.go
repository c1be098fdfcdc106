package storer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
)

// Guards against a call of the store that counts as done, or as read, although its answer is broken (operators' report).
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range breaker.Answers() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			breaker.Serve(listener, answer)
			transport, err := NewTransport(listener.Addr().String(), 300*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			for _, method := range []string{"GET", "PUT", "DELETE"} {
				response, err := transport.Do(context.Background(), HTTPRequest{Method: method, Path: "/a"})
				var unavailable *UnavailableError
				if !errors.As(err, &unavailable) || !unavailable.Sent {
					t.Errorf("%s: got status %d, body %q, error %v; want an UnavailableError that doesn't deny the call",
						method, response.Status, response.Body, err)
				}
			}
		})
	}
}
