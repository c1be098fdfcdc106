package streamer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

const streamTimeout = 150 * time.Millisecond

// startServer returns the address of a server that sends the text on each connection, and then closes it or keeps it open.
func startServer(t *testing.T, text string, keepOpen bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn, text, keepOpen)
		}
	}()
	return listener.Addr().String()
}

func respond(conn net.Conn, text string, keepOpen bool) {
	defer func() { _ = conn.Close() }()
	// The request is small enough to arrive in one piece.
	_, _ = conn.Read(make([]byte, 64<<10))
	_, _ = conn.Write([]byte(text))
	if keepOpen {
		_, _ = io.Copy(io.Discard, conn)
	}
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	client, err := New(4)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

const (
	streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk    = "0\r\n\r\n"
	refusal      = "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\nContent-Length: 23\r\n\r\n{\"error\":\"stale_epoch\"}"
)

func chunk(event string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// Guards against reporting a broken stream as complete or an unsent request as sent, and against blocking past the context's
// deadline if the engine goes silent before or after the header.
func TestStream(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	oneToken := chunk("data: {\"request_id\":\"r\",\"token_index\":0,\"text\":\"a\"}\n\n")
	done := chunk("data: [DONE]\n\n") + lastChunk
	tests := []struct {
		name       string
		address    string
		wantTokens int
		wantErr    bool
		wantSent   bool
		wantCode   string
	}{
		{"whole", startServer(t, streamHeader+oneToken+done, false), 1, false, false, ""},
		{"ended early", startServer(t, streamHeader+oneToken+lastChunk, false), 1, true, true, ""},
		{"silent before the header", startServer(t, "", true), 0, true, true, ""},
		{"silent after a token", startServer(t, streamHeader+oneToken, true), 1, true, true, ""},
		{"refused", startServer(t, refusal, false), 0, true, true, CodeStaleEpoch},
		{"no engine", closed.Addr().String(), 0, true, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
			defer cancel()
			tokens := 0
			started := time.Now()
			err := newTestClient(t).Stream(ctx, tt.address, Completion{}, func(Token) error {
				tokens++
				return nil
			})
			if took := time.Since(started); took > 10*streamTimeout {
				t.Errorf("took %v, want Stream to return when its context ends", took)
			}
			if tokens != tt.wantTokens {
				t.Errorf("got %d tokens, want %d", tokens, tt.wantTokens)
			}
			var engine *EngineError
			if errors.As(err, &engine) != tt.wantErr {
				t.Fatalf("got %v, want an error: %v", err, tt.wantErr)
			}
			if tt.wantErr && (engine.Sent != tt.wantSent || engine.Code != tt.wantCode) {
				t.Errorf("got sent %v, code %q, want %v, %q", engine.Sent, engine.Code, tt.wantSent, tt.wantCode)
			}
		})
	}
}
