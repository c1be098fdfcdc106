package storer

import (
	"maps"
	"slices"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// cache is a copy of the objects of one kind. Each change replaces the map, so that readers can keep the old one.
type cache struct {
	objects map[string]Object
	version versioner.Version
}

// relist replaces the content and returns the events that turn the old content into the new.
func (c *cache) relist(l Listing) []Event {
	next := make(map[string]Object, len(l.Items))
	var events []Event
	for _, o := range l.Items {
		next[o.Name] = o
		if old, exists := c.objects[o.Name]; !exists || old.Version != o.Version {
			events = append(events, Event{
				Type:   EventPut,
				Object: o,
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		if _, exists := next[name]; !exists {
			gone := c.objects[name]
			gone.Version = versioner.Latest(gone.Version, l.Version)
			events = append(events, Event{
				Type:   EventDelete,
				Object: gone,
			})
		}
	}
	c.objects = next
	c.version = l.Version
	return events
}

// apply applies the events of a watch and returns those that changed the content. Events that a list already included
// are older than the cached object and are skipped.
func (c *cache) apply(changes Changes) []Event {
	var applied []Event
	next := c.objects
	if len(changes.Events) > 0 {
		next = maps.Clone(c.objects)
	}
	for _, e := range changes.Events {
		cached, exists := next[e.Object.Name]
		switch {
		case e.Type == EventPut && (!exists || e.Object.After(cached.Version)):
			next[e.Object.Name] = e.Object
		case e.Type == EventDelete && exists && !cached.After(e.Object.Version):
			delete(next, e.Object.Name)
		default:
			continue
		}
		applied = append(applied, e)
	}
	c.objects = next
	c.version = versioner.Latest(c.version, changes.Version)
	return applied
}
