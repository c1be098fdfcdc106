package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// secret stands for bytes of a target that belong to no caller.
const secret = "bytes-of-a-target"

// garbage returns a handler that sends bytes that are no answer.
func garbage(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString(text)
		_ = buffer.Flush()
		_ = conn.Close()
	}
}

// Guards against messages to callers that quote bytes of a target or name its address (operators' report), and against causes that operators
// no longer find in the log.
func TestMessagesNameNoTarget(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	for _, c := range []struct {
		name   string
		target http.HandlerFunc
		want   int
		logged string
	}{
		{name: "no status line", target: garbage(secret + "\r\n\r\n"), want: http.StatusBadGateway, logged: secret},
		{name: "no status", target: garbage("HTTP/1.1 " + secret + "\r\n\r\n"), want: http.StatusBadGateway, logged: secret},
		{name: "no version", target: garbage(secret + " 200 OK\r\n\r\n"), want: http.StatusBadGateway, logged: secret},
		{name: "no field", target: garbage("HTTP/1.1 200 OK\r\n" + secret + "\r\n\r\n"), want: http.StatusBadGateway, logged: secret},
		{name: "no length", target: garbage("HTTP/1.1 200 OK\r\nContent-Length: " + secret + "\r\n\r\n"), want: http.StatusBadGateway, logged: secret},
		{name: "reset", target: cutOff, want: http.StatusBadGateway, logged: "no answer from target"},
		{name: "not run", target: notRun, want: http.StatusServiceUnavailable},
		{name: "silent", target: silent, want: http.StatusGatewayTimeout, logged: "no answer from target"},
	} {
		for _, route := range []struct {
			service namer.Service
			path    string
		}{
			{service: servicePlain, path: "/pay/x"},
			{service: servicePlain, path: "/look/x"},
			{service: serviceEngine, path: "/stream/x"},
		} {
			t.Run(fmt.Sprint(c.name, " ", route.service, route.path), func(t *testing.T) {
				var logged lines
				f := newFixture(t, route.service, &logged, c.target, c.target)
				got := f.ask(context.Background(), "POST", route.path, func(r *http.Request) {
					r.Header.Set(names.RemainingMilliseconds, "700")
				})
				assertStatus(t, got, c.want)
				for _, private := range []string{secret, "127.0.0.1"} {
					if strings.Contains(got.body, private) {
						t.Errorf("the caller got %s", got.body)
					}
				}
				logged.await(t, "receiver: not served", c.logged)
			})
		}
	}
}

// cutOff closes the connection without an answer.
func cutOff(w http.ResponseWriter, _ *http.Request) {
	cut(w)
}

// lines collects a log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write adds to the log.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// await fails the test unless a line with all of the texts is logged within a second.
func (l *lines) await(t *testing.T, texts ...string) {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if l.has(texts) {
			return
		}
	}
	t.Errorf("no line of the log has all of %q", texts)
}

func (l *lines) has(texts []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			return true
		}
	}
	return false
}
