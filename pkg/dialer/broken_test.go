package dialer

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"

	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
)

const (
	// limit bounds the answers in these tests, in bytes.
	limit = 4 << 10
	// timeout bounds a call.
	timeout = 300 * time.Millisecond
	okHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
)

// serve starts a server that sends the answer to each request, and returns its URL.
func serve(t *testing.T, a breaker.Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	breaker.Serve(listener, a)
	return "http://" + listener.Addr().String() + "/"
}

// get returns the body of the answer to a request by a client with the options; with stream it is read as a stream.
func get(t *testing.T, url string, stream bool) (string, error) {
	t.Helper()
	options := Bounded(limit)
	if stream {
		options = append(BoundedStream(limit), client.WithResponseBodyStream(true))
	}
	c, err := client.NewClient(append(options, client.WithDialTimeout(time.Second))...)
	if err != nil {
		t.Fatal(err)
	}
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetRequestURI(url)
	req.SetOptions(config.WithReadTimeout(timeout))
	if err := c.Do(context.Background(), req, resp); err != nil {
		return "", err
	}
	if !stream {
		return string(resp.Body()), nil
	}
	body, err := io.ReadAll(resp.BodyStream())
	return string(body), err
}

// Guards against taking the part of an answer that arrived before its connection broke for the whole: the library takes any error for
// the end of a body that ends with its connection.
func TestBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		text  string
		end   breaker.End
		whole bool
	}{
		{name: "length", text: okHead + "Content-Length: 4\r\n\r\nbody", whole: true},
		{name: "short of its length", text: okHead + "Content-Length: 5\r\n\r\nbody"},
		{name: "chunks", text: okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", whole: true},
		{name: "chunks, reset", text: okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", end: breaker.Reset},
		{name: "no length", text: okHead + "\r\nbody", whole: true},
		{name: "no length after an informational answer", text: "HTTP/1.1 100 Continue\r\n\r\n" + okHead + "\r\nbody", whole: true},
		{name: "no length, reset", text: okHead + "\r\nbody", end: breaker.Reset},
		{name: "no length, empty, reset", text: okHead + "\r\n", end: breaker.Reset},
		{name: "no length, long, reset", text: okHead + "\r\n" + strings.Repeat("x", limit/2), end: breaker.Reset},
		{name: "no length, reset, after an informational answer", text: "HTTP/1.1 100 Continue\r\n\r\n" + okHead + "\r\nbody", end: breaker.Reset},
		{name: "no length, silent", text: okHead + "\r\nbody", end: breaker.Silent},
		{name: "no length, too long", text: okHead + "\r\n" + strings.Repeat("x", 64*limit)},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", c.name, stream), func(t *testing.T) {
				body, err := get(t, serve(t, breaker.Answer{Text: c.text, End: c.end}), stream)
				if c.whole != (err == nil) || c.whole && body != "body" {
					t.Errorf("got %d bytes, %v; want whole: %t", len(body), err, c.whole)
				}
			})
		}
	}
}
