package receiver

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/internal/forwarder"
)

// releaseBound is the time within which users expect memory to be free after the end of the last request that used it.
const releaseBound = 4 * time.Second

// testOrders builds orders of which the path names the operation and the reservation.
func testOrders() Orders {
	order := func(operation string, r Reservation) forwarder.Outgoing {
		return forwarder.Outgoing{
			Address: r.Address,
			Method:  http.MethodPost,
			URI:     "/orders/" + operation + "/" + r.ID,
			Host:    "engine",
		}
	}
	return Orders{
		Reserve: func(r Reservation, _ time.Duration) forwarder.Outgoing {
			return order("reserve", r)
		},
		Release: func(r Reservation) forwarder.Outgoing {
			return order("release", r)
		},
		Check: func(r Reservation) forwarder.Outgoing {
			return order("check", r)
		},
		Reference: func(r Reservation) string {
			return r.Address + "/" + r.ID
		},
	}
}

// engineLoss emulates engines of which one is lost while they work on a prompt: a helper, for which the prompt's first engine goes on
// waiting, or the first engine itself, of which the connection stays silent.
type engineLoss struct {
	// orders answers an order at the lost engine.
	orders http.HandlerFunc
	// losesFirst is set if the first engine is lost, and not a helper.
	losesFirst bool
	// firstEvent is set if the first engine sends one event before it waits.
	firstEvent bool
	// released receives the time at which another engine was told to release memory of the first attempt.
	released chan time.Time

	mu sync.Mutex
	// lost is the address of the lost engine, and lostAt the time of its loss.
	lost   string
	lostAt time.Time
	// helpers are the helper headers of the attempts.
	helpers []string
}

func (h *engineLoss) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/orders/") {
		h.order(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h.mu.Lock()
	h.helpers = append(h.helpers, r.Header.Get(names.Helpers))
	first := len(h.helpers) == 1
	if first {
		h.lost, _, _ = strings.Cut(strings.Split(h.helpers[0], ",")[0], "/")
		if h.losesFirst {
			h.lost = localAddress(r)
		}
		h.lostAt = time.Now()
	}
	h.mu.Unlock()
	if !first {
		engine(0)(w, r)
		return
	}
	if h.firstEvent {
		w.Header().Set("Content-Type", "text/event-stream")
		answer(w, r, "id: 1\ndata: 1\n\n")
		w.(http.Flusher).Flush()
	}
	<-r.Context().Done()
}

func (h *engineLoss) order(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	lost := localAddress(r) == h.lost
	// The id of a reservation has the request's id and the number of the placement.
	if !lost && strings.HasPrefix(r.URL.Path, "/orders/release/request-1-1-") {
		select {
		case h.released <- time.Now():
		default:
		}
	}
	h.mu.Unlock()
	if lost {
		h.orders(w, r)
	}
}

func localAddress(r *http.Request) string {
	return r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
}

// Guards against memory and a caller's time that are held for a prompt that can't be finished: a helper with reserved memory or the
// first engine is lost, and the connection to the first engine is silent (faults srv_crash and zone_loss during a burst).
func TestLostEngineEndsAttempt(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	otherRun := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	lapsed := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }
	closed := func(w http.ResponseWriter, _ *http.Request) { cut(w) }
	for _, c := range []struct {
		name       string
		orders     http.HandlerFunc
		losesFirst bool
		firstEvent bool
	}{
		{name: "another run answers", orders: otherRun},
		{name: "the reservation has lapsed", orders: lapsed},
		{name: "connections are closed", orders: closed},
		{name: "the helper is silent", orders: silent},
		{name: "another run answers after the first event", orders: otherRun, firstEvent: true},
		{name: "the helper is silent after the first event", orders: silent, firstEvent: true},
		{name: "the first engine is silent", orders: silent, losesFirst: true},
		{name: "the first engine has been restarted", orders: otherRun, losesFirst: true},
		{name: "the first engine is silent after the first event", orders: silent, losesFirst: true, firstEvent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := &engineLoss{
				orders:     c.orders,
				losesFirst: c.losesFirst,
				firstEvent: c.firstEvent,
				released:   make(chan time.Time, 1),
			}
			engines := slices.Repeat([]http.HandlerFunc{h.serve}, 6)
			f := newFixture(t, "engine", io.Discard, engines...)
			f.server.options.Orders = testOrders()
			got := f.ask(context.Background(), "POST", "/review/x", func(r *http.Request) {
				r.Header.Set(names.Tokens, "250000,100")
				r.Header.Set(names.RemainingMilliseconds, "12000")
			})
			assertStatus(t, got, http.StatusOK)
			if got.body != events() {
				t.Errorf("got %q", got.body)
			}
			h.assertReplaced(t)
		})
	}
}

// assertReplaced checks that the memory was released in time and that the prompt was sent once more, without the lost helper.
func (h *engineLoss) assertReplaced(t *testing.T) {
	t.Helper()
	var released time.Time
	select {
	case released = <-h.released:
	case <-time.After(releaseBound):
		t.Fatal("no memory was released")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.helpers) != 2 {
		t.Fatalf("the prompt was sent %d times, want 2: %q", len(h.helpers), h.helpers)
	}
	if strings.Contains(h.helpers[1], h.lost) {
		t.Errorf("the lost engine %s was used again: %q", h.lost, h.helpers[1])
	}
	if took := released.Sub(h.lostAt); took > releaseBound {
		t.Errorf("the memory at the other engines was released after %s, want at most %s", took, releaseBound)
	}
}
