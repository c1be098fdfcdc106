package streamer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
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

// refusingAddress returns an address at which connections are refused. Its port stays bound until the end of the test, so that no
// other process can listen on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// streamContext returns the context of a stream and the function that receives its tokens. Only the context of a silent stream
// ends: streamTimeout after the last expected token, since the machine that runs the test may delay the tokens themselves.
func streamContext(t *testing.T, silent bool, wantTokens int) (context.Context, func(Token) error, *int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	if silent && wantTokens == 0 {
		ctx, cancel = context.WithTimeout(context.Background(), streamTimeout)
	}
	t.Cleanup(cancel)
	tokens := 0
	receive := func(Token) error {
		tokens++
		if silent && tokens == wantTokens {
			time.AfterFunc(streamTimeout, cancel)
		}
		return nil
	}
	return ctx, receive, &tokens
}

// Guards against reporting a broken stream as complete or an unsent request as sent, and against blocking past the end of the
// context if the engine goes silent before or after the header.
func TestStream(t *testing.T) {
	oneToken := chunk("data: {\"request_id\":\"r\",\"token_index\":0,\"text\":\"a\"}\n\n")
	done := chunk("data: [DONE]\n\n") + lastChunk
	tests := []struct {
		name       string
		address    string
		silent     bool
		wantTokens int
		wantErr    bool
		wantSent   bool
		wantCode   string
	}{
		{"whole", startServer(t, streamHeader+oneToken+done, false), false, 1, false, false, ""},
		{"ended early", startServer(t, streamHeader+oneToken+lastChunk, false), false, 1, true, true, ""},
		{"silent before the header", startServer(t, "", true), true, 0, true, true, ""},
		{"silent after a token", startServer(t, streamHeader+oneToken, true), true, 1, true, true, ""},
		{"refused", startServer(t, refusal, false), false, 0, true, true, CodeStaleEpoch},
		{"no engine", refusingAddress(t), false, 0, true, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, receive, tokens := streamContext(t, tt.silent, tt.wantTokens)
			started := time.Now()
			err := newTestClient(t).Stream(ctx, tt.address, Completion{}, receive)
			if took := time.Since(started); took > 10*streamTimeout {
				t.Errorf("took %v, want Stream to return when its context ends", took)
			}
			if *tokens != tt.wantTokens {
				t.Errorf("got %d tokens, want %d", *tokens, tt.wantTokens)
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

// Guards against taking a second copy of an answer, late and on a connection that is in use again, for the answer to the next call.
func TestSecondAnswerIsNotTheNextOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int64
	const body = `{}`
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go answerTwice(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		}
	}()
	client := newTestClient(t)
	address := listener.Addr().String()
	for range 3 {
		if _, err := client.Requests(context.Background(), address); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * secondAnswerDelay)
		// The server answers no second request on a connection, so an answer can only be the second copy of the first.
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := client.Load(ctx, address)
		cancel()
		if err != nil {
			t.Fatalf("the call failed: %v", err)
		}
	}
	if got := connections.Load(); got != 6 {
		t.Errorf("6 calls used %d connections, want one for each", got)
	}
}

// secondAnswerDelay is the delay of the second copy of an answer.
const secondAnswerDelay = 20 * time.Millisecond

func answerTwice(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 64<<10))
	_, _ = conn.Write([]byte(answer))
	time.Sleep(secondAnswerDelay)
	_, _ = conn.Write([]byte(answer))
	_, _ = io.Copy(io.Discard, conn)
}
