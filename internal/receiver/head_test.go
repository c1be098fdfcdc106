package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// stopInHead returns a handler that sends the beginning of a head and closes the connection; format contains the request's id.
func stopInHead(format string, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		head := fmt.Sprintf(format, r.Header.Get(names.RequestID))
		_, _ = buffer.WriteString(head[:cut])
		_ = buffer.Flush()
		_ = conn.Close()
	}
}

// Guards against a success with an empty or short body, framed as whole, after a target has stopped in the middle of its answer's head
// and closed the connection (operators' report). The forwarder's test of this name has all places of the cut.
func TestHeadCutOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTest-Receipt: receipt\r\nTest-Request: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n\r\n"
	for _, c := range []struct {
		service namer.Service
		path    string
	}{
		{service: servicePlain, path: "/pay/x"},
		{service: servicePlain, path: "/look/x"},
		{service: servicePlain, path: "/notes/x"},
		{service: serviceEngine, path: "/stream/x"},
		{service: serviceEngine, path: "/lookup/x"},
	} {
		for _, cut := range []int{len("HTTP/1.1 200"), strings.Index(head, "receipt"), len(head) - len("\r\n"), len(head) - 1} {
			t.Run(fmt.Sprint(c.service, c.path, " after ", cut), func(t *testing.T) {
				target := stopInHead(head, cut)
				f := newFixture(t, c.service, io.Discard, target, target)
				got := f.ask(context.Background(), "POST", c.path)
				assertStatus(t, got, http.StatusBadGateway)
			})
		}
	}
}
