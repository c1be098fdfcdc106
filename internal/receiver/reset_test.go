package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	// longBody is the length of an upload in bytes that the buffers of both sockets can't hold.
	longBody = 6 << 20
	// raceTries is how often a case is tried that hangs on which of two goroutines runs first.
	raceTries = 8
)

// newLongFixture is newFixture with rules that admit long bodies.
func newLongFixture(t *testing.T, service namer.Service, targets ...http.HandlerFunc) fixture {
	t.Helper()
	f := newFixture(t, service, io.Discard, targets...)
	long := rules()
	long.Version = 2
	long.Limits.BodyBytes = 2 * longBody
	f.store.Put("rules", "main", long)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.server.options.Control.View().Rules.Rules.Version == long.Version {
			return f
		}
	}
	t.Fatal("the server did not load the changed rules within 3 s")
	return f
}

// upload makes a request upload a long body.
func upload(r *http.Request) {
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", longBody)))
	r.ContentLength = longBody
}

// firstEvents returns whole events from the beginning of the stream of events.
func firstEvents() string {
	first, _, _ := strings.Cut(events(), "id: 3")
	return first
}

// Guards against the part of an answer or a stream that reaches a caller as whole, after a target has answered a long upload at once
// without a length and reset the connection while the upload was written (operators' report).
func TestResetDuringAnUpload(t *testing.T) {
	half := firstEvents()
	for _, c := range []struct {
		service     namer.Service
		path        string
		contentType string
		body        string
	}{
		{service: servicePlain, path: "/pay/x", contentType: "text/plain", body: strings.Repeat("x", 1080)},
		{service: servicePlain, path: "/look/x", contentType: "text/plain", body: strings.Repeat("x", 1080)},
		{service: servicePlain, path: "/once/x", contentType: "text/event-stream", body: half},
		{service: servicePlain, path: "/notes/x", contentType: "text/event-stream", body: half},
		{service: serviceEngine, path: "/stream/x", contentType: "text/event-stream", body: half},
		{service: serviceEngine, path: "/lookup/x", contentType: "text/plain", body: strings.Repeat("x", 1080)},
	} {
		t.Run(fmt.Sprint(c.service, c.path), func(t *testing.T) {
			target := unframed(c.contentType, c.body, true)
			for try := range raceTries {
				f := newLongFixture(t, c.service, target, target)
				got := f.ask(context.Background(), "POST", c.path, upload)
				if got.err == nil && got.status == http.StatusOK {
					t.Errorf("try %d: %d bytes of an answer that was cut off ended as whole", try, len(got.body))
				}
			}
		})
	}
}

// Guards against a stream that isn't resumed after its engine has reset the connection while the upload was written.
func TestStreamResumesAfterAResetDuringAnUpload(t *testing.T) {
	half := firstEvents()
	target := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(names.LastEventID) != "" {
			engine(0)(w, r)
			return
		}
		unframed("text/event-stream", half, true)(w, r)
	}
	for range raceTries {
		f := newLongFixture(t, serviceEngine, target, target)
		got := f.ask(context.Background(), "POST", "/stream/x", upload)
		assertStatus(t, got, http.StatusOK)
		if got.body != events() {
			t.Errorf("got %q", got.body)
		}
	}
}
