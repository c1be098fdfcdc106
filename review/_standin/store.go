package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay = 4 * time.Millisecond
	pageSize   = 500
)

// storeMode is how the store answers.
type storeMode int

const (
	storeUp storeMode = iota
	// storeResets resets each channel.
	storeResets
	// storeBusy answers each call with 503.
	storeBusy
)

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	at      int64
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is the platform's store, in memory.
type store struct {
	names   names
	address string

	mu       sync.Mutex
	mode     storeMode
	revision int64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	open     map[net.Conn]bool
}

func newStore(n names) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		names:    n,
		address:  listener.Addr().String(),
		revision: 100,
		objects:  map[string]map[string]object{},
		changed:  make(chan struct{}),
		open:     map[net.Conn]bool{},
	}
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if state == http.StateClosed || state == http.StateHijacked {
				delete(s.open, c)
				return
			}
			s.open[c] = true
		},
	}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// setMode changes how the store answers; calls that wait are reset if it is down now.
func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	if m == storeUp {
		return
	}
	for c := range s.open {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// put writes an object as the operator or a target does.
func (s *store) put(kind, name string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, encoded).Metadata.Revision
}

func (s *store) write(kind, name string, value json.RawMessage) object {
	s.revision++
	o, exists := s.objects[kind][name]
	o.Metadata.Name = name
	o.Metadata.Revision = s.revision
	if !exists {
		o.Metadata.Created = s.revision
		o.Metadata.Finalizers = []string{}
	}
	o.Specification = value
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.publish(change{kind: kind, at: s.revision, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.publish(change{kind: kind, at: s.revision, Object: o, Removed: true})
}

func (s *store) publish(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeResets:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(c)
		}
		return
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, s.names.Objects), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPut, r.Method == http.MethodPost:
		s.change(w, r.Method, kind, name, body)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	list := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			list = append(list, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(list) > pageSize
	answer(w, http.StatusOK, map[string]any{"items": list[:min(len(list), pageSize)], s.names.More: more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.changes {
			if c.kind == kind && c.at > from {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, method, kind, name string, body []byte) {
	var o object
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists,
		method == http.MethodPut && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != known.Metadata.Revision:
		answer(w, http.StatusConflict, known)
	case method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Specification))
	}
}
