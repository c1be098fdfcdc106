package coordinator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const (
	// feedInterval gathers changes before they are sent on: rules may change every 60 ms, and users allow 2 s.
	feedInterval = 200 * time.Millisecond
	// maxFeedBytes bounds what a leader may send; the largest rules are below the store's limit of 1 MB.
	maxFeedBytes = 64 << 20
)

// kinds are the kinds of objects that every instance must know.
func (c *Coordinator) kinds() []storer.Kind {
	return []storer.Kind{c.options.Format.Rules, c.options.Format.Targets, c.options.Format.Evacuations}
}

// remember keeps an object as the store has it, and reports whether it is new.
func (c *Coordinator) remember(e storer.Event) bool {
	objects := c.objects[e.Object.Kind]
	if objects == nil {
		objects = map[string]storer.Object{}
		c.objects[e.Object.Kind] = objects
	}
	known, exists := objects[e.Object.Name]
	if exists && known.Version > e.Object.Version || exists && known.Version == e.Object.Version && e.Type == storer.EventPut {
		return false
	}
	if e.Type == storer.EventPut && c.removed[objectKey{e.Object.Kind, e.Object.Name}] >= e.Object.Version {
		return false
	}
	c.whole = nil
	if e.Type == storer.EventDelete {
		delete(objects, e.Object.Name)
		c.bury(e.Object, known)
		return exists
	}
	objects[e.Object.Name] = e.Object
	return true
}

// objectKey names an object of the store.
type objectKey struct {
	kind storer.Kind
	name string
}

// maxRemoved bounds the removed objects that are remembered; an old one that another reader still reports is then believed
// until that reader reports its removal, too.
const maxRemoved = 4096

// bury remembers the version at which an object was removed: readers hear of changes at different times, and an older state
// that a slow one reports must not bring the object back.
func (c *Coordinator) bury(gone, known storer.Object) {
	if len(c.removed) >= maxRemoved {
		clear(c.removed)
	}
	c.removed[objectKey{gone.Kind, gone.Name}] = max(gone.Version, known.Version)
}

// feed sends gathered changes to the followers that do not watch the store, and everything to those that are new among
// them.
func (c *Coordinator) feed(now time.Time) {
	if c.convener.Role() != convener.Leading {
		c.unfed = nil
		return
	}
	if now.Sub(c.fedAt) < feedInterval {
		return
	}
	c.fedAt = now
	events := c.unfed
	c.unfed = nil
	var changes json.RawMessage
	for l := range c.followers {
		switch {
		case l.place < readers && l.reads:
			// It watches the store itself; should it lose its place or the store, it needs everything.
			l.fed = false
		case !l.fed:
			c.feedAll(l)
		case len(events) > 0:
			if changes == nil {
				changes = c.pack(events, false)
			}
			l.notify(methodObjects, changes)
		}
	}
}

// feedAll sends all objects to a follower. Many join at the same moment, so that the message is kept until the objects change.
func (c *Coordinator) feedAll(l *link) {
	if c.whole == nil {
		c.whole = c.packAll()
	}
	if c.whole != nil {
		l.fed = true
		l.notify(methodObjects, c.whole)
	}
}

func (c *Coordinator) packAll() json.RawMessage {
	var events []storer.Event
	for _, kind := range c.kinds() {
		for _, o := range c.objects[kind] {
			events = append(events, storer.Event{
				Type:   storer.EventPut,
				Object: o,
			})
		}
	}
	if len(events) == 0 {
		return nil
	}
	return c.pack(events, true)
}

// pack encodes a message once for all its receivers.
func (c *Coordinator) pack(events []storer.Event, whole bool) json.RawMessage {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	err := json.NewEncoder(w).Encode(events)
	if err == nil {
		err = w.Close()
	}
	var message json.RawMessage
	if err == nil {
		message, err = json.Marshal(objectsMessage{
			Whole:  whole,
			Events: packed.Bytes(),
		})
	}
	if err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: objects not packed")
	}
	return message
}

// takeObjects applies what the leader knows of the store.
func (c *Coordinator) takeObjects(now time.Time, m objectsMessage) error {
	r, err := gzip.NewReader(bytes.NewReader(m.Events))
	if err != nil {
		return err
	}
	var events []storer.Event
	if err := json.NewDecoder(io.LimitReader(r, maxFeedBytes)).Decode(&events); err != nil {
		return err
	}
	if m.Whole {
		events = append(c.absent(events), events...)
	}
	for _, e := range events {
		c.change(now, e)
	}
	if c.leader != nil {
		c.fed = true
	}
	return nil
}

// absent returns deletions of the objects that a whole description lacks. Instances that watch the store know better.
func (c *Coordinator) absent(events []storer.Event) []storer.Event {
	if c.reads() {
		return nil
	}
	var gone []storer.Event
	for _, kind := range c.kinds() {
		for name, o := range c.objects[kind] {
			listed := slices.ContainsFunc(events, func(e storer.Event) bool {
				return e.Object.Kind == kind && e.Object.Name == name
			})
			if !listed {
				gone = append(gone, storer.Event{
					Type:   storer.EventDelete,
					Object: o,
				})
			}
		}
	}
	return gone
}
