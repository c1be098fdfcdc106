package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendEvents returns a handler that sends a part of the events with neither a length nor chunks; a request that resumes a stream gets the rest.
func sendEvents(contentType, part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(names.LastEventID) != "" {
			engine(0)(w, r)
			return
		}
		unframed(contentType, part, false)(w, r)
	}
}

// Guards against a broken stream that its caller takes for complete: a service that is no model engine sends events with neither a length
// nor chunks, and its connection ends inside an event (fault garble, unframed).
func TestBrokenStreamOfAnyService(t *testing.T) {
	cut := strings.Index(events(), "id: 4") + len("id: 4\nda")
	for _, c := range []struct {
		name        string
		path        string
		contentType string
		wantWhole   bool
	}{
		{name: "resumable, plain service", path: "/notes/x", contentType: "text/event-stream", wantWhole: true},
		{name: "not resumable, plain service", path: "/once/x", contentType: "text/event-stream"},
		{name: "repeatable call, plain service", path: "/look/x", contentType: "text/event-stream"},
		{name: "call that may not be repeated, plain service", path: "/pay/x", contentType: "text/event-stream"},
		{name: "media type in capitals, plain service", path: "/once/x", contentType: "Text/Event-Stream"},
		{name: "media type with a parameter, plain service", path: "/once/x", contentType: "text/event-stream;charset=utf-8"},
		{name: "media type in capitals, engine", path: "/stream/x", contentType: "Text/Event-Stream", wantWhole: true},
		{name: "repeatable call, engine", path: "/lookup/x", contentType: "text/event-stream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := servicePlain
			if strings.HasSuffix(c.name, "engine") {
				service = serviceEngine
			}
			target := sendEvents(c.contentType, events()[:cut])
			f := newFixture(t, service, io.Discard, target, target)
			got := f.ask(context.Background(), "POST", c.path)
			if c.wantWhole {
				assertStatus(t, got, http.StatusOK)
				if got.body != events() {
					t.Errorf("got %q, want all events once", got.body)
				}
				return
			}
			if got.err == nil {
				t.Errorf("the broken stream looks complete: status %d, body %q", got.status, got.body)
			}
			if whole, _, _ := strings.Cut(events(), "id: 4"); got.body != whole {
				t.Errorf("got %q, want the events that arrived whole, %q", got.body, whole)
			}
		})
	}
}

// Guards against events of a plain service that reach the caller only after the last one.
func TestEventsOfPlainServicesAreNotHeldBack(t *testing.T) {
	proceed := make(chan struct{})
	f := newFixture(t, servicePlain, io.Discard, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		answer(w, r, "id: 1\ndata: 1\n\n")
		w.(http.Flusher).Flush()
		<-proceed
		_, _ = fmt.Fprint(w, "id: 2\ndata: 2\n\n")
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	got, err := f.open(ctx, "POST", "/once/x")
	if err != nil {
		close(proceed)
		t.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	reader := bufio.NewReader(got.Body)
	first, err := reader.ReadString('\n')
	close(proceed)
	if err != nil || first != "id: 1\n" {
		t.Fatalf("got %q, %v before the second event is sent", first, err)
	}
	rest, err := io.ReadAll(reader)
	if err != nil || !strings.HasSuffix(string(rest), "data: 2\n\n") {
		t.Errorf("got %q, %v", rest, err)
	}
}
