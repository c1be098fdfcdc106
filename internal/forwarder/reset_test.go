package forwarder

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// longRequest is the length of a body in bytes that the buffers of both sockets can't hold.
const longRequest = 8 << 20

// raceTries is how often a case is tried that hangs on which of two goroutines runs first.
const raceTries = 20

// earlyTarget starts a server that answers once it has read the head of a request, and then passes the connection to end.
func earlyTarget(t *testing.T, text string, end func(*net.TCPConn, io.Reader)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				end(conn.(*net.TCPConn), request.Body)
			}()
		}
	}()
	return listener.Addr().String()
}

// reset resets the connection.
func reset(conn *net.TCPConn, _ io.Reader) {
	_ = conn.SetLinger(0)
}

// closeUnread ends the answer in order, and resets the connection later since it doesn't read the request.
func closeUnread(conn *net.TCPConn, _ io.Reader) {
	_ = conn.CloseWrite()
	time.Sleep(50 * time.Millisecond)
	_ = conn.SetLinger(0)
}

// readOn ends the answer in order and reads the rest of the request.
func readOn(conn *net.TCPConn, body io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}

// Guards against passing on as whole the part of an answer without a length that arrived before the connection broke. If the goroutine
// that writes the request meets the reset first, the one that reads the answer sees an ordinary end.
func TestBrokenWhileTheRequestIsWritten(t *testing.T) {
	for _, c := range []struct {
		name   string
		status string
		// length is that of the request's body in bytes, longRequest if it is 0.
		length int
		end    func(*net.TCPConn, io.Reader)
		whole  bool
	}{
		{name: "success, reset", status: "200 OK", end: reset},
		{name: "success, reset, a request of 300 bytes", status: "200 OK", length: 300, end: reset},
		{name: "success, reset, a request of 400 kB", status: "200 OK", length: 400_000, end: reset},
		{name: "success, reset, a request of 3 MB", status: "200 OK", length: 3_000_000, end: reset},
		{name: "error, reset", status: "413 Content Too Large", end: reset},
		{name: "success, closed without reading the request", status: "200 OK", end: closeUnread},
		{name: "error, closed without reading the request", status: "413 Content Too Large", end: closeUnread, whole: true},
		{name: "success, request read after the answer", status: "200 OK", end: readOn, whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := strings.Repeat("x", 1080)
			address := earlyTarget(t, fmt.Sprintf("HTTP/1.1 %s\r\nConnection: close\r\n\r\n%s", c.status, want), c.end)
			for try := range raceTries {
				assertEnd(t, try, address, cmp.Or(c.length, longRequest), want, c.whole)
			}
		})
	}
}

// assertEnd checks whether the body of an answer to a request of the length in bytes reads as whole.
func assertEnd(t *testing.T, try int, address string, length int, want string, whole bool) {
	t.Helper()
	answer, err := send(t, address, strings.Repeat("x", length))
	if err != nil {
		var failed *SendError
		if whole || !errors.As(err, &failed) || !failed.Sent {
			t.Errorf("try %d: got %v", try, err)
		}
		return
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	if whole != (err == nil) || whole && string(body) != want {
		t.Errorf("try %d: got %d bytes, %v; want %d bytes, whole: %t", try, len(body), err, len(want), whole)
	}
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !brokenByPeer(err) {
		t.Errorf("try %d: got %v, which doesn't show that the target broke off", try, err)
	}
}

// brokenByPeer reports whether an error is a reset by the target.
func brokenByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET)
}
