package storer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveTwice answers each request with its path, and once more with the same answer after the delay, on a connection that it keeps.
func serveTwice(listener net.Listener, delay time.Duration) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
				_, _ = io.WriteString(conn, answer)
				time.Sleep(delay)
				_, _ = io.WriteString(conn, answer)
			}
		}()
	}
}

// Guards against taking a second copy of an answer, on a connection that is in use again, for the answer to the next call: one kind of
// objects would be read as another.
func TestSecondAnswerIsNotTheNextOne(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(fmt.Sprint("after ", delay), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go serveTwice(listener, delay)
			transport, err := NewTransport(listener.Addr().String(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 6 {
				path := fmt.Sprint("/kind-", i)
				response, err := transport.Do(context.Background(), HTTPRequest{Method: "GET", Path: path})
				if err == nil && string(response.Body) != path {
					t.Fatalf("the call of %s got the answer of %s", path, response.Body)
				}
				time.Sleep(delay * 2)
			}
		})
	}
}
