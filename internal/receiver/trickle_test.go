package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

// steady is an engine that sends an event after each nine tenths of the allowed pause.
func steady(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		answer(w, r, "")
		for id := 1; id <= lastEvent; id++ {
			time.Sleep(pause * 9 / 10)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			w.(http.Flusher).Flush()
		}
	}
}

// Guards against cutting or replacing a stream that is slow but sound (an event after nine tenths of each allowed pause).
func TestSlowStreamIsKept(t *testing.T) {
	var sends atomic.Int64
	slow := func(w http.ResponseWriter, r *http.Request) {
		sends.Add(1)
		steady(time.Second)(w, r)
	}
	f := newFixture(t, "engine", io.Discard, slow, slow)
	got := f.ask(context.Background(), "POST", "/review/x", func(r *http.Request) { r.Header.Set(names.RemainingMilliseconds, "12000") })
	assertStatus(t, got, http.StatusOK)
	if got.body != events() || sends.Load() != 1 {
		t.Errorf("got %q after %d sends", got.body, sends.Load())
	}
}

// trickle sends the rest of an answer by one byte at a time until the connection is closed, and reports when that was.
func trickle(w http.ResponseWriter, beginning string, closed chan<- time.Time) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, beginning)
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = conn.Write([]byte("x"))
	}
	closed <- time.Now()
}

// Guards against stalled streams that never end because a byte arrives now and then, within the header or within an event.
func TestTricklingAnswerEndsAtItsBound(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + names.Receipt + ": receipt\r\n"
	for name, test := range map[string]struct {
		beginning string
		most      time.Duration
	}{
		"in the header": {beginning: head + "Slow: ", most: firstEventTimeout + time.Second},
		"in an event":   {beginning: head + "\r\nid: 1\ndata: 1\n\nid: 2\ndata: ", most: minPauseTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan time.Time, 2)
			var first atomic.Bool
			target := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if first.CompareAndSwap(false, true) {
					trickle(w, test.beginning, closed)
					return
				}
				engine(0)(w, r)
			}
			f := newFixture(t, "engine", io.Discard, target, target)
			began := time.Now()
			got := f.ask(context.Background(), "POST", "/slow/x", func(r *http.Request) { r.Header.Set(names.RemainingMilliseconds, "12000") })
			assertStatus(t, got, http.StatusOK)
			if got.body != events() {
				t.Errorf("got %q", got.body)
			}
			if took := (<-closed).Sub(began); took > test.most {
				t.Errorf("the stalled connection was closed after %s, want at most %s", took, test.most)
			}
		})
	}
}

// Guards against callers that hold a connection for good by sending a byte now and then.
func TestTricklingCallerIsClosed(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000, 0))
	listener := boundedListener{Listener: listen(t), clock: clock}
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	receive := func() error {
		if _, err := caller.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	for range 2 {
		for waited := time.Duration(0); waited < requestTime; waited += requestTime / 4 {
			if err := receive(); err != nil {
				t.Fatalf("after %s: %v", waited, err)
			}
			clock.Advance(requestTime / 4)
		}
		// An answer ends the request; the time of the next one starts with its first byte.
		if _, err := conn.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		clock.Advance(requestTime)
	}
	if err := receive(); err != nil {
		t.Fatal(err)
	}
	clock.Advance(requestTime + time.Second)
	var slow *SlowRequestError
	if err := receive(); !errors.As(err, &slow) {
		t.Errorf("got %v, want a SlowRequestError", err)
	}
}
