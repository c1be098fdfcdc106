package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// target starts a server that writes the text to each connection and closes it, with a TCP reset if reset is set.
func target(t *testing.T, text string, reset bool) string {
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
			if !reset {
				_, _ = conn.Read(make([]byte, 64<<10))
			}
			_, _ = io.WriteString(conn, text)
			if reset {
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func send(t *testing.T, address string, body string) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	answer, err := Send(ctx, Outgoing{
		Address: address,
		Method:  "POST",
		URI:     "/a",
		Host:    "host",
		Body:    []byte(body),
		HasBody: true,
	})
	if answer != nil {
		t.Cleanup(answer.Close)
	}
	return answer, err
}

// Guards against treating a truncated answer as complete, also one without a length (fault garble).
func TestCompleteAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		text  string
		reset bool
		want  string
		whole bool
	}{
		{name: "length", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: "ok", whole: true},
		{name: "short of its length", text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: "ok", whole: true},
		{name: "no last chunk", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		{name: "ends with its connection", text: "HTTP/1.1 200 OK\r\n\r\nok", want: "ok", whole: true},
		{name: "reset without a length", text: "HTTP/1.1 200 OK\r\n\r\nok", reset: true},
		{name: "bytes after the answer", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", want: "ok", whole: true},
		{name: "continue first", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: "ok", whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, err := send(t, target(t, c.text, c.reset), "body")
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			if c.whole != (err == nil) || c.whole && string(body) != c.want {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// Guards against reporting a request that may have run as not sent, and the other way round.
func TestSendError(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	for _, c := range []struct {
		name    string
		address string
		sent    bool
	}{
		{name: "no listener", address: closed.Addr().String()},
		{name: "closed without an answer", address: target(t, "", false), sent: true},
		{name: "not HTTP", address: target(t, "garbage\r\n\r\n", false), sent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := send(t, c.address, "body")
			var failure *SendError
			if !errors.As(err, &failure) || failure.Sent != c.sent {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against blocking on the write of a long body to a target that has already answered (faults garble, early).
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
		_ = conn.Close()
	}()
	answer, err := send(t, listener.Addr().String(), strings.Repeat("x", 32<<20))
	if err != nil || answer.Status != 413 {
		t.Errorf("got %v, %v", answer, err)
	}
}

// Guards against joined, truncated or lost events.
func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		ids  []string
		want error
	}{
		{name: "whole", text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ids: []string{"1", "2"}, want: io.EOF},
		{name: "carriage returns", text: "id: 1\r\ndata: a\r\n\r\n", ids: []string{"1"}, want: io.EOF},
		{name: "cut in an event", text: "id: 1\ndata: a\n\nid: 2\nda", ids: []string{"1"}, want: io.ErrUnexpectedEOF},
		{name: "cut before the blank line", text: "id: 1\ndata: a\n", want: io.ErrUnexpectedEOF},
		{name: "nothing", text: "", want: io.EOF},
		{name: "long line", text: "id: 1\ndata: " + strings.Repeat("x", 10_000) + "\n\n", ids: []string{"1"}, want: io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			events := NewEvents(strings.NewReader(c.text), nil)
			var raw strings.Builder
			for i := 0; ; i++ {
				event, err := events.Next()
				if err != nil {
					if !errors.Is(err, c.want) || i != len(c.ids) {
						t.Errorf("event %d: %v", i, err)
					}
					break
				}
				if i >= len(c.ids) || event.ID != c.ids[i] {
					t.Fatalf("event %d has id %q", i, event.ID)
				}
				raw.Write(event.Raw)
			}
			if !strings.HasPrefix(c.text, raw.String()) {
				t.Errorf("bytes changed: %q", raw.String())
			}
		})
	}
}

// Guards against forwarding hop-by-hop headers.
func TestEndToEnd(t *testing.T) {
	for name, want := range map[string]bool{
		"Connection": false, "keep-alive": false, "Transfer-Encoding": false, "Content-Length": false,
		"X-Named": false, "X-Other": true, "Content-Type": true,
	} {
		if got := EndToEnd(name, "close, x-named"); got != want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
