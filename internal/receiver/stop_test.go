package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that is taken and passed on when a stopping process has just found all requests ended: it was cut without an
// answer when the process exited some 50 ms later, also a payout that may not be repeated (operators' report).
func TestNothingIsPassedOnAfterTheEnd(t *testing.T) {
	var sends atomic.Int64
	f := newFixture(t, servicePlain, io.Discard, func(w http.ResponseWriter, r *http.Request) {
		sends.Add(1)
		answer(w, r, "paid")
	})
	assertStatus(t, f.ask(context.Background(), "POST", "/pay/x"), http.StatusOK)
	// The answer arrives before its handler has ended; Hertz closes the connection if the listener closes in between.
	time.Sleep(300 * time.Millisecond)
	now := time.Now()
	f.server.Leave(now, now.Add(5*time.Second))
	f.server.Close(now.Add(6 * time.Second))
	if took := time.Since(now); took > 2*time.Second {
		t.Errorf("the end of an idle server took %s", took)
	}
	// The connection of the first request is still open.
	got := f.ask(context.Background(), "POST", "/pay/x")
	assertStatus(t, got, http.StatusServiceUnavailable)
	if !strings.Contains(got.body, string(reasonLeaving)) {
		t.Errorf("got %q", got.body)
	}
	if sends.Load() != 1 {
		t.Errorf("%d requests reached the target, want 1", sends.Load())
	}
}

// Guards against requests that end with a closed connection instead of an answer when the grace period of a planned stop is over: those
// that still wait for an engine, and those whose engine hasn't answered yet.
func TestRequestsAreAnsweredAtTheEnd(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// The server only notices a closed connection once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	begin := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		answer(w, r, "id: 1\ndata: 1\n\n")
		w.(http.Flusher).Flush()
		hang(w, r)
	}
	for _, c := range []struct {
		name   string
		engine http.HandlerFunc
		// occupied is set if another request holds the engine's memory.
		occupied bool
		// want is the status, 0 if the answer is broken off.
		want int
	}{
		{name: "waits for an engine", engine: hang, occupied: true, want: http.StatusServiceUnavailable},
		{name: "the engine has not answered", engine: hang, want: http.StatusBadGateway},
		{name: "the engine has begun", engine: begin},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, serviceEngine, io.Discard, c.engine)
			long := func(r *http.Request) {
				r.Header.Set(names.RemainingMilliseconds, "9000")
				r.Header.Set(names.Tokens, "90000,100")
			}
			if c.occupied {
				go f.ask(context.Background(), "POST", "/review/x", long)
				time.Sleep(100 * time.Millisecond)
			}
			answers := make(chan response, 1)
			go func() { answers <- f.ask(context.Background(), "POST", "/review/x", long) }()
			time.Sleep(300 * time.Millisecond)
			now := time.Now()
			f.server.Leave(now, now.Add(100*time.Millisecond))
			f.server.Close(now.Add(300 * time.Millisecond))
			if active := f.server.Active(); active != 0 {
				t.Errorf("%d requests have no answer when the process exits", active)
			}
			select {
			case got := <-answers:
				if c.want == 0 && got.err == nil {
					t.Errorf("a broken stream looks complete: %q", got.body)
				}
				if c.want != 0 {
					assertStatus(t, got, c.want)
				}
			case <-time.After(200 * time.Millisecond):
				t.Error("no answer when the process exits")
			}
		})
	}
}

// Guards against streams that are taken although they can't end within a grace period shorter than those in use so far.
func TestShortGracePeriod(t *testing.T) {
	for _, c := range []struct {
		grace time.Duration
		since time.Duration
		want  bool
	}{
		{grace: 6900 * time.Millisecond, since: 2400 * time.Millisecond},
		{grace: 6900 * time.Millisecond, since: 2600 * time.Millisecond, want: true},
		{grace: 2 * time.Second, since: 900 * time.Millisecond},
		{grace: 2 * time.Second, since: 1100 * time.Millisecond, want: true},
	} {
		t.Run(fmt.Sprint(c.since, " of ", c.grace), func(t *testing.T) {
			f := newFixture(t, serviceEngine, io.Discard, engine(0))
			now := time.Now()
			f.server.Leave(now.Add(-c.since), now.Add(c.grace-c.since))
			got := f.ask(context.Background(), "POST", "/stream/x")
			want := http.StatusOK
			if c.want {
				want = http.StatusServiceUnavailable
			}
			assertStatus(t, got, want)
		})
	}
}

// Guards against a process that exits while it still sends an answer to a caller that reads slowly: such a request must count as in
// progress until the connection has taken the whole answer (review/3). Its target isn't busy with it any more.
func TestSlowReaderIsInProgress(t *testing.T) {
	// More than the buffers of both sockets hold.
	body := strings.Repeat("x", 7<<20)
	var first, second atomic.Int64
	target := func(count *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(soundRequest) == "" {
				answer(w, r, body)
				return
			}
			count.Add(1)
			answer(w, r, "paid")
		}
	}
	f := newFixture(t, servicePlain, io.Discard, target(&first), target(&second))
	got, err := f.open(context.Background(), "POST", "/pay/x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	time.Sleep(2 * flushTime)
	if f.server.Drained() {
		t.Error("the server has drained while a part of the answer isn't sent")
	}
	for i := range 20 {
		assertStatus(t, f.ask(context.Background(), "POST", "/look/x", func(r *http.Request) { r.Header.Set(soundRequest, strconv.Itoa(i)) }), http.StatusOK)
	}
	if answeredBoth := first.Load() > 0 && second.Load() > 0; !answeredBoth {
		t.Errorf("the targets answered %d and %d calls: one counts as busy with an answer that it has sent", first.Load(), second.Load())
	}
	read, err := io.ReadAll(got.Body)
	if err != nil || len(read) != len(body) {
		t.Errorf("got %d of %d bytes, %v", len(read), len(body), err)
	}
}
