package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
)

// FuzzEvents guards against a target's bytes that end the process, and against events that are changed, joined or lost on the way.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("id: 1\r\ndata: a\r\n\r\n")
	f.Add("\n\n\nid:\n\nda")
	f.Add(strings.Repeat("x", 5000))
	f.Fuzz(func(t *testing.T, stream string) {
		events := NewEvents(strings.NewReader(stream), nil)
		var passed strings.Builder
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			passed.Write(event.Raw)
		}
		if !strings.HasPrefix(stream, passed.String()) {
			t.Errorf("the events %q are not the beginning of %q", passed.String(), stream)
		}
	})
}

// FuzzReadResponse guards against a target's header that ends the process.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("no answer"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		response, _, err := readResponse(bufio.NewReader(bytes.NewReader(data)), "POST")
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	})
}
