package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// skipClock advances by each wait at once, so that a client can run on one goroutine.
type skipClock struct {
	now time.Time
}

func (c *skipClock) Now() time.Time {
	return c.now
}

func (c *skipClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// faultyStore is a store in memory that can lose responses and compact its history.
type faultyStore struct {
	clock      *skipClock
	outcome    func() outcome
	beforeCall func()
	version    versioner.Version
	objects    map[string]Object
	history    []Event
	// compactedAt is the version up to which events have been dropped.
	compactedAt versioner.Version
	// hideCompaction suppresses the error for a watch of compacted events, and hideEra the era of answers.
	hideCompaction bool
	hideEra        bool
	// kept is a copy from which the store may be restored.
	kept *faultyStore
}

// outcome is what happens to one call.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeNotSent
	outcomeThrottled
	outcomeLostBefore
	outcomeLostAfter
	outcomeCount
)

func newFaultyStore(clock *skipClock) *faultyStore {
	return &faultyStore{
		clock:      clock,
		outcome:    func() outcome { return outcomeOK },
		beforeCall: func() {},
		objects:    map[string]Object{},
	}
}

var errLost = errors.New("connection closed")

// attempt runs the effect of one call, or fails, as its outcome says.
func (s *faultyStore) attempt(effect func() error) error {
	s.beforeCall()
	s.clock.now = s.clock.now.Add(time.Millisecond)
	switch s.outcome() {
	case outcomeNotSent:
		return &UnavailableError{Cause: errLost}
	case outcomeThrottled:
		return &ThrottledError{}
	case outcomeLostBefore:
		return &UnavailableError{Sent: true, Cause: errLost}
	case outcomeLostAfter:
		_ = effect()
		return &UnavailableError{Sent: true, Cause: errLost}
	default:
		return effect()
	}
}

func (s *faultyStore) put(kind Kind, name string, value json.RawMessage) versioner.Version {
	s.version.Number++
	o := Object{
		Kind:    kind,
		Name:    name,
		Version: s.version,
		Value:   value,
	}
	s.objects[name] = o
	s.history = append(s.history, Event{
		Type:   EventPut,
		Object: o,
	})
	return s.version
}

func (s *faultyStore) remove(name string) {
	o, exists := s.objects[name]
	if !exists {
		return
	}
	s.version.Number++
	o.Version = s.version
	delete(s.objects, name)
	s.history = append(s.history, Event{
		Type:   EventDelete,
		Object: o,
	})
}

func (s *faultyStore) Get(_ context.Context, kind Kind, name string) (o Object, err error) {
	err = s.attempt(func() error {
		found := false
		if o, found = s.objects[name]; !found {
			return &NotFoundError{Kind: kind, Name: name}
		}
		return nil
	})
	return o, err
}

func (s *faultyStore) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (versioner.Version, error) {
	return s.Update(ctx, kind, name, versioner.Version{}, value)
}

func (s *faultyStore) Update(_ context.Context, kind Kind, name string, version versioner.Version, value json.RawMessage) (v versioner.Version, err error) {
	err = s.attempt(func() error {
		if s.objects[name].Version != version {
			return &ConflictError{Kind: kind, Name: name, Current: s.objects[name]}
		}
		v = s.put(kind, name, value)
		return nil
	})
	return v, err
}

func (s *faultyStore) Delete(_ context.Context, kind Kind, name string, version versioner.Version) error {
	return s.attempt(func() error {
		if s.objects[name].Version != version {
			return &ConflictError{Kind: kind, Name: name, Current: s.objects[name]}
		}
		s.remove(name)
		return nil
	})
}

func (s *faultyStore) List(_ context.Context, _ Kind, prefix, after string, limit int) (l Listing, err error) {
	err = s.attempt(func() error {
		l.Version = s.stated(s.version)
		for _, name := range slices.Sorted(maps.Keys(s.objects)) {
			if strings.HasPrefix(name, prefix) && name > after && len(l.Items) < limit {
				o := s.objects[name]
				o.Version = s.stated(versioner.Version{Era: s.version.Era, Number: o.Number})
				l.Items = append(l.Items, o)
			}
		}
		return nil
	})
	return l, err
}

func (s *faultyStore) Watch(_ context.Context, _ Kind, after versioner.Version, wait time.Duration) (c Changes, err error) {
	err = s.attempt(func() error {
		// The store knows only the number of the version.
		if s.compactedAt.Number > after.Number && !s.hideCompaction || after.Number > s.version.Number {
			return &CompactedError{After: after}
		}
		for _, e := range s.history {
			if e.Object.Number > after.Number && e.Object.Number > s.compactedAt.Number {
				e.Object.Version = s.stated(versioner.Version{Era: s.version.Era, Number: e.Object.Number})
				c.Events = append(c.Events, e)
			}
		}
		if len(c.Events) == 0 {
			s.clock.now = s.clock.now.Add(wait)
		}
		c.Version = s.stated(s.version)
		return nil
	})
	return c, err
}

func (s *faultyStore) Instances(context.Context) ([]ListedInstance, error) {
	return nil, s.attempt(func() error { return nil })
}

// stated returns a version as the store's answers state it.
func (s *faultyStore) stated(v versioner.Version) versioner.Version {
	if s.hideEra {
		v.Era = 0
	}
	return v
}

// keep makes a copy of the store.
func (s *faultyStore) keep() {
	s.kept = &faultyStore{
		version:     s.version,
		objects:     maps.Clone(s.objects),
		history:     slices.Clone(s.history),
		compactedAt: s.compactedAt,
	}
}

// restore replaces the content by that of the last copy, in a new era.
func (s *faultyStore) restore() {
	if s.kept == nil {
		return
	}
	s.version.Era++
	s.version.Number = s.kept.version.Number
	s.objects = maps.Clone(s.kept.objects)
	s.history = slices.Clone(s.kept.history)
	s.compactedAt = s.kept.compactedAt
}

// watcherVariant is a store without one of the means by which a watcher notices that it has missed changes, or one that is restored.
type watcherVariant struct {
	hideCompaction bool
	restored       bool
	hideEra        bool
}

// checkWatcher runs a watcher on a faulty store that others change, and compares its cache and events with the store.
func checkWatcher(draw schedule.Draw, variant watcherVariant) error {
	clock := &skipClock{now: time.Unix(1000, 0)}
	store := newFaultyStore(clock)
	store.hideCompaction = variant.hideCompaction
	store.hideEra = variant.hideEra
	if variant.restored {
		store.version.Era = 1
	}
	steps := 40
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store.outcome = func() outcome {
		if steps <= 0 {
			return outcomeOK
		}
		return outcome(draw("fate", int(outcomeCount)))
	}
	store.beforeCall = func() {
		steps--
		if steps > 0 {
			changeStore(store, draw)
		}
		if steps > 0 && variant.restored {
			restoreStore(store, draw)
		}
		// The last calls have no faults. After at most a list and two watches the cache must agree with the store.
		if steps < -4 {
			cancel()
		}
	}
	replayed := map[string]Object{}
	w := NewWatcher(newTestClient(store, clock), WatcherSettings{
		Kind:   KindMember,
		Prefix: "a",
		Wait:   time.Second,
		OnEvent: func(e Event) {
			if e.Type == EventDelete {
				delete(replayed, e.Object.Name)
				return
			}
			replayed[e.Object.Name] = e.Object
		},
	})
	w.Run(ctx)
	want := map[string]Object{}
	for name, o := range store.objects {
		if strings.HasPrefix(name, "a") {
			o.Version = store.stated(versioner.Version{Era: store.version.Era, Number: o.Number})
			want[name] = o
		}
	}
	return errors.Join(compare("cache", w.Read().Objects, want), compare("delivered events", replayed, want))
}

func changeStore(s *faultyStore, draw schedule.Draw) {
	name := []string{"a1", "a2", "a3", "b1"}[draw("name", 4)]
	switch draw("change", 6) {
	case 1, 2:
		s.put(KindMember, name, nil)
	case 3:
		s.remove(name)
	case 4:
		s.compactedAt = s.version
	}
}

func restoreStore(s *faultyStore, draw schedule.Draw) {
	switch draw("restore", 8) {
	case 1:
		s.keep()
	case 2:
		s.restore()
	}
}

func compare(what string, got, want map[string]Object) error {
	same := maps.EqualFunc(got, want, func(a, b Object) bool {
		return a.Version == b.Version
	})
	if same {
		return nil
	}
	return fmt.Errorf("%s has %v, the store %v", what, got, want)
}
