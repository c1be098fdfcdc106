package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
}

type change struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is a stand-in of the platform's store: lists, watches, conditional writes.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  l.Addr().String(),
		revision: 10,
		objects:  map[string]map[string]object{},
		changed:  make(chan struct{}),
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// listen opens a free port below those of outgoing connections.
func listen() (net.Listener, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

var (
	portMu   sync.Mutex
	nextPort = 12000 + int(time.Now().UnixNano()/1000%9000)
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range 2000 {
		nextPort++
		if nextPort > 31000 {
			nextPort = 12000
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

// put writes an object as operators and engines do, and returns when the store has acknowledged it.
func (s *store) put(kind, name string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(kind, o, true)
}

func (s *store) write(kind, name string, value json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	var o object
	o.Metadata.Name = name
	o.Metadata.Revision = s.revision
	o.Specification = value
	s.objects[kind][name] = o
	s.record(kind, o, false)
	return o
}

func (s *store) record(kind string, o object, removed bool) {
	s.history = append(s.history, change{
		kind:     kind,
		revision: s.revision,
		Object:   o,
		Removed:  removed,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, names["objects_path"])
	kind, name, _ := strings.Cut(path, "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.replace(w, r, kind)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) replace(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.objects[kind][o.Metadata.Name]
	if r.Method == http.MethodPost && found || r.Method == http.MethodPut && o.Metadata.Revision != 0 && known.Metadata.Revision != o.Metadata.Revision {
		answer(w, http.StatusConflict, known)
		return
	}
	answer(w, http.StatusOK, s.write(kind, o.Metadata.Name, o.Specification))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, names["more_field"]: false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		at, changed := s.revision, s.changed
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
