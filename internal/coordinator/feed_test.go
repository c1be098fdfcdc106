package coordinator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// modelKinds are the kinds of objects that instances follow.
var modelKinds = []storer.Kind{kindRules, kindTargets, kindEvacuations}

// modelStore is a store of which instances read one kind at a time.
type modelStore struct {
	version versioner.Version
	objects map[objectKey]storer.Object
}

func newModelStore() *modelStore {
	return &modelStore{
		objects: map[objectKey]storer.Object{},
	}
}

func (s *modelStore) put(kind storer.Kind, name string) {
	s.version.Number++
	s.objects[objectKey{kind, name}] = storer.Object{
		Kind:    kind,
		Name:    name,
		Version: s.version,
		Value:   json.RawMessage(`{}`),
	}
}

func (s *modelStore) remove(kind storer.Kind, name string) {
	s.version.Number++
	delete(s.objects, objectKey{kind, name})
}

// copy returns a copy of the store.
func (s *modelStore) copy() *modelStore {
	return &modelStore{
		version: s.version,
		objects: maps.Clone(s.objects),
	}
}

// restore replaces the content by that of a copy, in a new era.
func (s *modelStore) restore(from *modelStore) {
	s.version.Era++
	s.version.Number = from.version.Number
	s.objects = map[objectKey]storer.Object{}
	for key, o := range from.objects {
		o.Era = s.version.Era
		s.objects[key] = o
	}
}

// list lets an instance list one kind, as its watcher does.
func (s *modelStore) list(c *Coordinator, kind storer.Kind) {
	now := time.Unix(1_000, 0)
	for key, o := range s.objects {
		if key.kind == kind {
			c.applyChange(now, storer.Event{Type: storer.EventPut, Object: o})
		}
	}
	for name, o := range c.objects[kind] {
		if _, found := s.objects[objectKey{kind, name}]; !found {
			o.Version = versioner.Latest(o.Version, s.version)
			c.applyChange(now, storer.Event{Type: storer.EventDelete, Object: o})
		}
	}
	c.handleWatchResult(now, watchResult{kind: kind, version: s.version})
}

// sendSnapshotTo passes a leader's snapshot on to a follower that doesn't read the store.
func sendSnapshotTo(t *testing.T, leader, follower *Coordinator) {
	t.Helper()
	encoded := leader.encodeSnapshot()
	if encoded == nil {
		return
	}
	var m objectsMessage
	if err := json.Unmarshal(encoded, &m); err != nil {
		t.Fatal(err)
	}
	if err := follower.applyObjects(time.Unix(1_000, 0), m); err != nil {
		t.Fatal(err)
	}
}

func assertKnowsStore(t *testing.T, c *Coordinator, s *modelStore) {
	t.Helper()
	known := 0
	for _, kind := range modelKinds {
		known += len(c.objects[kind])
	}
	if known != len(s.objects) {
		t.Errorf("%d objects are known, the store has %d", known, len(s.objects))
	}
	for key, o := range s.objects {
		if got := c.objects[key.kind][key.name]; got.Version != o.Version {
			t.Errorf("%s %s is known with version %+v, the store has %+v", key.kind, key.name, got.Version, o.Version)
		}
	}
}

// Guards against evacuations that an instance loses for good (review/1, EVAC): its leader had read only the rules when it sent its
// snapshot, the evacuation that the snapshot lacked was taken for removed, and was refused when the leader had read it.
func TestUnreadKindsAreNotRemoved(t *testing.T) {
	options := startInstance(t, newStore(), 0).options
	store := newModelStore()
	store.put(kindRules, "main")
	store.put(kindEvacuations, "zone")
	leader, follower := New(options), New(options)
	for _, kind := range modelKinds {
		store.list(follower, kind)
	}
	store.list(leader, kindRules)
	sendSnapshotTo(t, leader, follower)
	assertKnowsStore(t, follower, store)
	t.Run("until the leader has read them", func(t *testing.T) {
		store.remove(kindEvacuations, "zone")
		store.list(leader, kindEvacuations)
		sendSnapshotTo(t, leader, follower)
		assertKnowsStore(t, follower, store)
	})
}

// Guards against objects that an instance loses or keeps for good after partial reads, snapshots of leaders that know less or more than
// itself, and changes in between.
func TestInstancesEndWithWhatTheStoreHolds(t *testing.T) {
	checkInstancesEndWithStore(t, 5)
}

// Guards against the same where the store is restored from copies (review/11): instances kept what they knew, since its version was above
// that of what the restored store held.
func TestInstancesEndWithWhatTheRestoredStoreHolds(t *testing.T) {
	checkInstancesEndWithStore(t, 7)
}

// checkInstancesEndWithStore draws from the given number of actions, of which the last two keep and restore a copy of the store.
func checkInstancesEndWithStore(t *testing.T, actions int) {
	t.Helper()
	options := startInstance(t, newStore(), 0).options
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := newModelStore()
		fleet := []*Coordinator{New(options), New(options), New(options), New(options)}
		kind := func() storer.Kind { return modelKinds[random.IntN(len(modelKinds))] }
		one := func() *Coordinator { return fleet[random.IntN(len(fleet))] }
		kept := store.copy()
		for range 60 {
			name := fmt.Sprint("object-", random.IntN(3))
			action := random.IntN(actions)
			switch action {
			case 0:
				store.put(kind(), name)
			case 1:
				store.remove(kind(), name)
			case 2:
				store.list(one(), kind())
			case 5:
				kept = store.copy()
			case 6:
				store.restore(kept)
			default:
				if leader, follower := one(), one(); leader != follower {
					sendSnapshotTo(t, leader, follower)
				}
			}
		}
		for _, k := range modelKinds {
			store.list(fleet[0], k)
		}
		for _, follower := range fleet[1:] {
			sendSnapshotTo(t, fleet[0], follower)
		}
		for _, c := range fleet {
			assertKnowsStore(t, c, store)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
