package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// brokenHead returns a handler that answers with the status line and the field lines, beside those of a valid answer.
func brokenHead(statusLine, fieldLines, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(buffer, "%s\r\n%s: %s\r\n%s: receipt\r\n%s\r\n%s",
			statusLine, names.RequestID, r.Header.Get(names.RequestID), names.Receipt, fieldLines, body)
		_ = buffer.Flush()
		_ = conn.Close()
	}
}

// assertNoAnswer checks that answers of the targets of a service reach no caller, on each of its routes.
func assertNoAnswer(t *testing.T, target func(contentType, body string) http.HandlerFunc) {
	t.Helper()
	for _, c := range []struct {
		service     namer.Service
		path        string
		contentType string
		body        string
	}{
		{service: servicePlain, path: "/pay/x", contentType: "text/plain", body: "paid"},
		{service: servicePlain, path: "/look/x", contentType: "text/plain", body: "found"},
		{service: servicePlain, path: "/notes/x", contentType: "text/event-stream", body: events()},
		{service: serviceEngine, path: "/stream/x", contentType: "text/event-stream", body: events()},
		{service: serviceEngine, path: "/lookup/x", contentType: "text/plain", body: "found"},
	} {
		t.Run(fmt.Sprint(c.service, c.path), func(t *testing.T) {
			h := target(c.contentType, c.body)
			f := newFixture(t, c.service, io.Discard, h, h)
			got := f.ask(context.Background(), "POST", c.path)
			assertStatus(t, got, http.StatusBadGateway)
			if strings.Contains(got.body, c.body) {
				t.Errorf("got %q", got.body)
			}
		})
	}
}

// Guards against an answer with an invalid status that is passed on, and against its body that is read as the answer (operators' report).
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000 Trouble", "099 Trouble", "101 Switching Protocols", "600 Trouble"} {
		t.Run(status, func(t *testing.T) {
			assertNoAnswer(t, func(contentType, body string) http.HandlerFunc {
				return brokenHead("HTTP/1.1 "+status, fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n", contentType, len(body)), body)
			})
		})
		t.Run(status+" before an answer", func(t *testing.T) {
			assertNoAnswer(t, func(contentType, body string) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					second := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: receipt\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
						names.Receipt, contentType, len(body), body)
					brokenHead("HTTP/1.1 "+status, "", second)(w, r)
				}
			})
		})
	}
}

// Guards against an answer with a blank or a control byte in a field name: the line was passed on, or the body was framed otherwise than by
// the target (operators' report).
func TestInvalidFieldName(t *testing.T) {
	for what, line := range breaker.FieldLines() {
		t.Run(what, func(t *testing.T) {
			assertNoAnswer(t, func(contentType, body string) http.HandlerFunc {
				return brokenHead("HTTP/1.1 200 OK", fmt.Sprintf("%s\r\nContent-Type: %s\r\n", line, contentType), body)
			})
		})
		t.Run(what+" of an informational answer", func(t *testing.T) {
			assertNoAnswer(t, func(contentType, body string) http.HandlerFunc {
				return brokenHead("HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK",
					fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n", contentType, len(body)), body)
			})
		})
	}
}

// Guards against memory that counts as reserved, and an engine that counts as running, by an answer that is none.
func TestBrokenAnswersToOrders(t *testing.T) {
	f := newFixture(t, serviceEngine, io.Discard)
	for name, answer := range breaker.Answers() {
		if answer.End != breaker.Closed {
			// The status says all; no body is read.
			continue
		}
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			breaker.Serve(listener, answer)
			reservation := Reservation{
				ID:      "reservation",
				Engine:  "engine",
				Address: listener.Addr().String(),
				Tokens:  1,
			}
			err := f.server.order(context.Background(), reservation, testOrders().Reserve(reservation, leaseTime))
			if answered(err) || reservationGone(err, true) {
				t.Errorf("got %v, want an order without an answer", err)
			}
		})
	}
}
