package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects of a page of a list.
const pageSize = 500

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// state is what a copy of the store holds.
type state struct {
	revision int64
	objects  map[string]map[string]object
	history  []change
}

func (s *state) clone() state {
	c := state{
		revision: s.revision,
		objects:  map[string]map[string]object{},
		history:  slices.Clone(s.history),
	}
	for kind, list := range s.objects {
		c.objects[kind] = maps.Clone(list)
	}
	return c
}

// store is the platform's store.
type store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex
	now     state
	era     int
	away    bool
	changed chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr:    listener.Addr().String(),
		now:     state{revision: 10, objects: map[string]map[string]object{}},
		era:     1,
		changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an object and returns its revision; a write that changes nothing raises no revision. It waits while the store is away.
func (s *store) put(kind, name string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	for {
		s.mu.Lock()
		if !s.away {
			break
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	defer s.mu.Unlock()
	if known, found := s.now.objects[kind][name]; found && bytes.Equal(known.Specification, encoded) {
		return known.Metadata.Revision
	}
	return s.write(kind, name, encoded).Metadata.Revision
}

func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.now.objects[kind][name]
	if !found {
		return s.now.revision
	}
	delete(s.now.objects[kind], name)
	s.now.revision++
	o.Metadata.Revision = s.now.revision
	s.record(kind, o, true)
	return s.now.revision
}

// write writes an object; s.mu must be held.
func (s *store) write(kind, name string, value json.RawMessage) object {
	s.now.revision++
	created := time.Now().UnixMilli()
	if known, found := s.now.objects[kind][name]; found {
		created = known.Metadata.Created
	}
	o := object{
		Metadata:      metadata{Name: name, Revision: s.now.revision, Created: created},
		Specification: value,
	}
	if s.now.objects[kind] == nil {
		s.now.objects[kind] = map[string]object{}
	}
	s.now.objects[kind][name] = o
	s.record(kind, o, false)
	return o
}

func (s *store) record(kind string, o object, removed bool) {
	s.now.history = append(s.now.history, change{
		kind:     kind,
		revision: s.now.revision,
		Object:   o,
		Removed:  removed,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the store.
func (s *store) copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.clone()
}

// leave makes the store go away: calls get 503, and watches that wait are cut off.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore makes the store come back from a copy, in the next era; nil means with all that it had.
func (s *store) restore(c *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if c != nil {
		s.now = c.clone()
		s.era++
	}
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.revision
}

// ServeHTTP serves the store's API.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	w.Header().Set(api.Era, strconv.Itoa(era))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, api.Objects), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	default:
		s.change(w, r.Method, kind, name, body)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.now.objects[kind][name]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.now.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.now.objects[kind][name])
	}
	at := s.now.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, api.More: len(names) > pageSize, "at": at})
}

// watch answers 410 to a watch from a revision that the store doesn't have.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		away, at, changed := s.away, s.now.revision, s.changed
		events := []change{}
		for _, e := range s.now.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			// A watch that waits may be cut off.
			panic(http.ErrAbortHandler)
		case after > at:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-limit:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, method, kind, name string, body []byte) {
	var o object
	if method != http.MethodDelete {
		if err := json.Unmarshal(body, &o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.now.objects[kind][name]
	switch {
	case method == http.MethodPost && found:
		respond(w, http.StatusConflict, known)
	case method == http.MethodPut && !found:
		w.WriteHeader(http.StatusNotFound)
	case method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != known.Metadata.Revision:
		respond(w, http.StatusConflict, known)
	case method == http.MethodPost || method == http.MethodPut:
		respond(w, http.StatusOK, s.write(kind, name, o.Specification))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func respond(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(value)
}
