package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// request is one attempt of a client.
type request struct {
	id     string
	method string
	path   string
	body   string
	// remaining is how many milliseconds the client waits.
	remaining int
	// chunk is the size of the chunks in which the body is sent; 0 means that it is sent with a length.
	chunk int
	// tokens are the numbers that a prompt states; it is empty for calls.
	tokens string
	// piece is the largest part of the request that is written at once, with a pause after it; 0 means the whole request.
	piece int
	pause time.Duration
}

func newRequest(method, path string, remaining int) request {
	return request{
		id:        fmt.Sprintf("%016x", attempts.Add(1)),
		method:    method,
		path:      path,
		remaining: remaining,
	}
}

func (r *request) text() string {
	var t strings.Builder
	fmt.Fprintf(&t, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, host, names["key"], key,
		names["request_id"], r.id, names["remaining"], r.remaining)
	if r.tokens != "" {
		fmt.Fprintf(&t, "%s: %s\r\n%s: aa:40,%s:4920\r\n", names["tokens"], r.tokens, names["parts"], r.id)
	}
	if r.chunk > 0 {
		t.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.body; rest != ""; {
			n := min(r.chunk, len(rest))
			fmt.Fprintf(&t, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		t.WriteString("0\r\n\r\n")
		return t.String()
	}
	fmt.Fprintf(&t, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	return t.String()
}

// result is what a client has got.
type result struct {
	status  int
	body    string
	receipt string
	// closes is set if the answer says that the channel ends with it.
	closes bool
	err    error
	took   time.Duration
}

// sendOn sends a request on a channel and reads the answer.
func (r *request) sendOn(c net.Conn, reader *bufio.Reader) result {
	_ = c.SetDeadline(time.Now().Add(time.Duration(r.remaining) * time.Millisecond))
	text := r.text()
	for text != "" {
		n := len(text)
		if r.piece > 0 {
			n = min(n, 1+rand.IntN(r.piece))
		}
		if _, err := io.WriteString(c, text[:n]); err != nil {
			// The answer may have come before the whole request was read.
			break
		}
		if text = text[n:]; text != "" {
			time.Sleep(r.pause)
		}
	}
	return r.read(reader)
}

func (r *request) read(reader *bufio.Reader) result {
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return result{
			err: err,
		}
	}
	body, err := io.ReadAll(response.Body)
	return result{
		status:  response.StatusCode,
		body:    string(body),
		receipt: response.Header.Get(names["receipt"]),
		closes:  response.Close,
		err:     err,
	}
}
