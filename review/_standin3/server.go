package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The services and figures of the smallest installation.
const (
	plainService  = "share-ledger"
	engineService = "share-scribe"
	plainServers  = 3
	engines       = 14
	plainSlots    = 6
	engineSlots   = 16
	engineTokens  = 232_000
	host          = "pier.example"
	// workTime is how long a server of the plain service takes for a call.
	workTime = 30 * time.Millisecond
	// readTime is the time until an engine's first event, eventGap the time between two, and streamEvents their number.
	readTime     = 60 * time.Millisecond
	eventGap     = 10 * time.Millisecond
	streamEvents = 3
)

// run is a request that a server ran, or turned away.
type run struct {
	at       time.Time
	request  string
	server   string
	path     string
	customer string
	refused  bool
}

// book records the requests that reached servers.
type book struct {
	mu   sync.Mutex
	runs []run
}

func (b *book) add(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r)
}

func (b *book) all() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// server is a server of the plain service, or an engine.
type server struct {
	id      string
	zone    string
	service string
	addr    string
	born    time.Time
	http    *http.Server
	book    *book

	mu     sync.Mutex
	active int
}

func newServer(id, zone, service string, b *book) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id:      id,
		zone:    zone,
		service: service,
		addr:    listener.Addr().String(),
		born:    time.Now(),
		book:    b,
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) slots() int {
	if s.service == engineService {
		return engineSlots
	}
	return plainSlots
}

// entry is what the server writes to the store. What only its sequence would change isn't written.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots(), "state": "ready",
		api.ColdLeft: 0, "sequence": 1, "born": s.born.UnixMilli(),
	}
}

// begin takes a place; a server that is full turns the request away.
func (s *server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.slots() {
		return false
	}
	s.active++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// fits reports whether a request's tokens have room in the engine's memory; one that is larger is turned away as if the engine were full.
func (s *server) fits(r *http.Request) bool {
	if s.service != engineService {
		return true
	}
	total := 0.0
	for _, part := range strings.Split(r.Header.Get(headers.Tokens), ",") {
		tokens, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return false
		}
		total += tokens
	}
	return total <= engineTokens
}

// ServeHTTP serves requests and orders.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get(headers.ExpectedTarget); expected != "" && expected != s.id {
		w.Header().Set(api.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == api.Order {
		respond(w, http.StatusOK, map[string]int{"freeCapacity": engineTokens})
		return
	}
	id := r.Header.Get(headers.RequestID)
	seen := run{
		at:       time.Now(),
		request:  id,
		server:   s.id,
		path:     r.URL.Path,
		customer: r.Header.Get(headers.Customer),
	}
	w.Header().Set(headers.RequestID, id)
	if id == "" || !s.fits(r) || !s.begin() {
		seen.refused = true
		s.book.add(seen)
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.book.add(seen)
	w.Header().Set(headers.Receipt, "signed-"+id)
	if s.service == engineService {
		stream(w, r)
		return
	}
	time.Sleep(workTime)
	_, _ = io.WriteString(w, "done "+id)
}

// stream answers with the events after the last one that the client has.
func stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(headers.LastEventID))
	time.Sleep(readTime)
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
		w.(http.Flusher).Flush()
	}
}
