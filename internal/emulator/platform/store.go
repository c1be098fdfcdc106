package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const (
	maxHistoryEvents = 10_000
	maxHistoryBytes  = 64 << 20
)

// Store keeps versioned objects and the history that watches read.
type Store struct {
	mu           sync.Mutex
	version      int64
	objects      map[storer.Kind]map[string]storer.Object
	history      []storer.Event
	historyBytes int
	// compacted is the highest version whose event has been dropped from the history.
	compacted int64
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[storer.Kind]map[string]storer.Object{},
		changed: make(chan struct{}),
	}
}

// Get reads one object.
func (s *Store) Get(kind storer.Kind, name string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind][name]
	if !ok {
		return storer.Object{}, &storer.NotFoundError{
			Kind: kind,
			Name: name,
		}
	}
	return object, nil
}

// Put writes the value if the object has the given version; version 0 requires that no object has the name.
func (s *Store) Put(kind storer.Kind, name string, version int64, value json.RawMessage) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(kind, name, version); err != nil {
		return 0, err
	}
	s.version++
	object := storer.Object{
		Kind:    kind,
		Name:    name,
		Version: versioner.Of(s.version),
		Value:   value,
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storer.Object{}
	}
	s.objects[kind][name] = object
	s.appendEvent(storer.EventPut, object)
	return s.version, nil
}

// Delete removes the object if it has the given version.
func (s *Store) Delete(kind storer.Kind, name string, version int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(kind, name, version); err != nil {
		return 0, err
	}
	object, ok := s.objects[kind][name]
	if !ok {
		return 0, &storer.NotFoundError{
			Kind: kind,
			Name: name,
		}
	}
	delete(s.objects[kind], name)
	s.version++
	object.Version = versioner.Of(s.version)
	s.appendEvent(storer.EventDelete, object)
	return s.version, nil
}

// List returns a page of objects sorted by name, with names greater than after; limit 0 means no limit.
func (s *Store) List(kind storer.Kind, prefix, after string, limit int) storer.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storer.Object{}
	for name, object := range s.objects[kind] {
		if strings.HasPrefix(name, prefix) && name > after {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b storer.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	if limit > 0 && len(items) > limit {
		items = items[:limit]
	}
	return storer.Listing{
		Items:   items,
		Version: versioner.Of(s.version),
	}
}

// Changes returns the events of a kind after a version, and a channel that is closed at the next change of any kind.
func (s *Store) Changes(kind storer.Kind, after int64) (storer.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A version above the current one was read before the emulator restarted with an empty store.
	if after < s.compacted || after > s.version {
		return storer.Changes{}, nil, &storer.CompactedError{
			After: versioner.Of(after),
		}
	}
	events := []storer.Event{}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(e storer.Event, version int64) int {
		return int(e.Object.Number - version)
	})
	for _, event := range s.history[first:] {
		if event.Object.Kind == kind {
			events = append(events, event)
		}
	}
	return storer.Changes{
		Events:  events,
		Version: versioner.Of(s.version),
	}, s.changed, nil
}

// Compact drops the watch history; watches from earlier versions then fail with a CompactedError.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.historyBytes = 0
	s.compacted = s.version
	s.wake()
}

// Wake makes every waiting watch check for changes again.
func (s *Store) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

func (s *Store) checkVersion(kind storer.Kind, name string, version int64) error {
	current := s.objects[kind][name] // the zero object has version 0
	if current.Version == versioner.Of(version) {
		return nil
	}
	return &storer.ConflictError{
		Kind:    kind,
		Name:    name,
		Current: current,
	}
}

func (s *Store) appendEvent(t storer.EventType, object storer.Object) {
	s.history = append(s.history, storer.Event{
		Type:   t,
		Object: object,
	})
	s.historyBytes += len(object.Value)
	for len(s.history) > maxHistoryEvents || s.historyBytes > maxHistoryBytes {
		s.compacted = s.history[0].Object.Number
		s.historyBytes -= len(s.history[0].Object.Value)
		s.history = s.history[1:]
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
