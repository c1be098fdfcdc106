package coordinator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const (
	// feedInterval is the interval at which a leader forwards changes in batches: rules may change every 60 ms, and users
	// allow a delay of 2 s.
	feedInterval = 200 * time.Millisecond
	// maxFeedBytes is the maximum size of a decompressed message; the largest rules are below the store's limit of 1 MB.
	maxFeedBytes = 64 << 20
)

// watchedKinds returns the kinds of objects that every instance needs.
func (c *Coordinator) watchedKinds() []storer.Kind {
	return []storer.Kind{c.options.Format.RulesKind, c.options.Format.TargetKind, c.options.Format.EvacuationKind}
}

// recordObject records the latest version of an object and reports whether the event was new. Versions are compared with their eras: a
// restored store returns to older numbers.
func (c *Coordinator) recordObject(e storer.Event) bool {
	objects := c.objects[e.Object.Kind]
	if objects == nil {
		objects = map[string]storer.Object{}
		c.objects[e.Object.Kind] = objects
	}
	known, exists := objects[e.Object.Name]
	if exists && known.After(e.Object.Version) || exists && known.Version == e.Object.Version && e.Type == storer.EventPut {
		return false
	}
	removed, wasRemoved := c.removed[objectKey{e.Object.Kind, e.Object.Name}]
	if e.Type == storer.EventPut && (wasRemoved && !e.Object.After(removed) || c.outdated(e)) {
		return false
	}
	c.snapshot = nil
	if e.Type == storer.EventDelete {
		delete(objects, e.Object.Name)
		c.recordRemoval(e.Object, known)
		return exists
	}
	objects[e.Object.Name] = e.Object
	return true
}

// objectKey identifies an object of the store.
type objectKey struct {
	kind storer.Kind
	name string
}

// maxRemoved is the maximum number of recorded removals; all are discarded when it is reached. After that, an outdated report of
// a slow reader restores a removed object until that reader reports the removal, too.
const maxRemoved = 4096

// recordRemoval records the version at which an object was removed: readers receive changes at different times, and an older
// version reported by a slow reader must not restore the object.
func (c *Coordinator) recordRemoval(gone, known storer.Object) {
	if len(c.removed) >= maxRemoved {
		clear(c.removed)
	}
	c.removed[objectKey{gone.Kind, gone.Name}] = versioner.Latest(gone.Version, known.Version)
}

// feedFollowers sends batched changes to the followers that don't watch the store, and a full snapshot to those that haven't
// had one.
func (c *Coordinator) feedFollowers(now time.Time) {
	if c.convener.Role() != convener.Leading {
		c.unsentChanges = nil
		return
	}
	c.sendSnapshots(now)
	if now.Sub(c.changesSentAt) < feedInterval {
		return
	}
	c.changesSentAt = now
	events := c.unsentChanges
	c.unsentChanges = nil
	var changes json.RawMessage
	for l := range c.followers {
		switch {
		case l.rank < storeReaders && l.readsStore:
			// The follower watches the store itself; it needs a snapshot if it loses its rank or the store.
			l.hasSnapshot = false
		case len(events) > 0 && l.hasSnapshot:
			if changes == nil {
				changes = c.encodeObjects(events, false)
			}
			l.notify(methodObjects, changes)
		}
	}
}

// sendSnapshots sends all objects to the followers that haven't had them. They are encoded at most once per feedInterval, since many
// followers join at once while objects change.
func (c *Coordinator) sendSnapshots(now time.Time) {
	if !c.isInformed(now) || c.snapshot == nil && now.Sub(c.snapshotAt) < feedInterval {
		return
	}
	for l := range c.followers {
		if !l.hasSnapshot && (l.rank >= storeReaders || !l.readsStore) {
			c.sendSnapshot(now, l)
		}
	}
}

// recordComplete records the version up to which this instance knows all objects of a kind. Followers get a snapshot again once their
// leader has listed one more kind, or a kind in a new era, since only then it shows which of their objects are gone.
func (c *Coordinator) recordComplete(kind storer.Kind, version versioner.Version) {
	c.completeEras[kind] = max(c.completeEras[kind], version.Era)
	if before, listed := c.completeUpTo[kind]; !listed || before.Era < version.Era {
		c.snapshot = nil
		for l := range c.followers {
			l.hasSnapshot = false
		}
	}
	c.completeUpTo[kind] = version
	c.hear(kind)
}

// sendSnapshot sends all objects to a follower. The encoded message is cached until the objects change, since many followers
// join at once.
func (c *Coordinator) sendSnapshot(now time.Time, l *link) {
	if c.snapshot == nil {
		c.snapshot = c.encodeSnapshot()
		c.snapshotAt = now
	}
	if c.snapshot != nil {
		l.hasSnapshot = true
		l.notify(methodObjects, c.snapshot)
	}
}

// encodeSnapshot encodes all known objects and removals; it returns nil if nothing is known. An empty one shows that the store is empty.
func (c *Coordinator) encodeSnapshot() json.RawMessage {
	var events []storer.Event
	for key, version := range c.removed {
		if _, restored := c.objects[key.kind][key.name]; restored {
			continue
		}
		events = append(events, storer.Event{
			Type: storer.EventDelete,
			Object: storer.Object{
				Kind:    key.kind,
				Name:    key.name,
				Version: version,
			},
		})
	}
	for _, kind := range c.watchedKinds() {
		for _, o := range c.objects[kind] {
			events = append(events, storer.Event{
				Type:   storer.EventPut,
				Object: o,
			})
		}
	}
	if len(events) == 0 && len(c.completeUpTo) == 0 {
		return nil
	}
	return c.encodeObjects(events, true)
}

// encodeObjects encodes events as an objectsMessage, once for all receivers; it returns nil if that fails.
func (c *Coordinator) encodeObjects(events []storer.Event, whole bool) json.RawMessage {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	err := json.NewEncoder(w).Encode(events)
	if err == nil {
		err = w.Close()
	}
	var message json.RawMessage
	if err == nil {
		m := objectsMessage{
			Whole:  whole,
			Events: packed.Bytes(),
		}
		if whole {
			m.setComplete(c.completeUpTo)
		}
		message, err = json.Marshal(m)
	}
	if err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: failed to encode objects")
	}
	return message
}

// decode returns the events of a message.
func (m *objectsMessage) decode() ([]storer.Event, error) {
	r, err := gzip.NewReader(bytes.NewReader(m.Events))
	if err != nil {
		return nil, err
	}
	var events []storer.Event
	err = json.NewDecoder(io.LimitReader(r, maxFeedBytes)).Decode(&events)
	return events, err
}

// applyObjects applies objects of the store that a peer has sent.
func (c *Coordinator) applyObjects(now time.Time, m objectsMessage) error {
	events, err := m.decode()
	if err != nil {
		return err
	}
	complete := m.completeVersions()
	c.assumeEra(events, complete)
	if m.Whole {
		events = append(c.missingObjects(events, complete), events...)
	}
	c.applyingSnapshot = m.Whole
	changed := 0
	for _, e := range events {
		if c.applyChange(now, e) {
			changed++
		}
	}
	c.applyingSnapshot = false
	if m.Whole {
		c.options.Log.Info().Int("objects", len(events)).Int("changed", changed).Msg("coordinator: snapshot applied")
	}
	if c.leader != nil {
		c.hasSnapshot = true
	}
	if m.Whole {
		for kind, version := range complete {
			c.completeEras[kind] = max(c.completeEras[kind], version.Era)
		}
		c.hearWhole()
	}
	return nil
}

// missingObjects returns deletions of the known objects that a snapshot lacks though it is complete up to their versions. It returns
// none if this instance reads the store itself and so has newer data.
func (c *Coordinator) missingObjects(events []storer.Event, complete map[storer.Kind]versioner.Version) []storer.Event {
	if c.readsStore() {
		return nil
	}
	listed := make(map[objectKey]bool, len(events))
	for _, e := range events {
		if e.Type == storer.EventPut {
			listed[objectKey{e.Object.Kind, e.Object.Name}] = true
		}
	}
	var gone []storer.Event
	for _, kind := range c.watchedKinds() {
		for name, o := range c.objects[kind] {
			upTo, known := complete[kind]
			if !listed[objectKey{kind, name}] && known && !o.After(upTo) {
				o.Version = upTo
				gone = append(gone, storer.Event{
					Type:   storer.EventDelete,
					Object: o,
				})
			}
		}
	}
	return gone
}
