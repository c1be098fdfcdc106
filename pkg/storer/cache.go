package storer

import (
	"maps"
	"slices"
)

// cache is a deterministic copy of one kind; its map is replaced, never changed, so that readers can keep it.
type cache struct {
	objects map[string]Object
	version int64
}

// relist replaces the content and returns the events that lead from the old content to the new.
func (c *cache) relist(l Listing) []Event {
	fresh := make(map[string]Object, len(l.Items))
	var events []Event
	for _, o := range l.Items {
		fresh[o.Name] = o
		if old, kept := c.objects[o.Name]; !kept || old.Version != o.Version {
			events = append(events, Event{
				Type:   EventPut,
				Object: o,
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		if _, kept := fresh[name]; !kept {
			events = append(events, Event{
				Type:   EventDelete,
				Object: c.objects[name],
			})
		}
	}
	c.objects = fresh
	c.version = l.Version
	return events
}

// apply takes the events of a watch and returns those that changed the content. Events that a list has already
// covered are older than the cached object and are skipped.
func (c *cache) apply(changes Changes) []Event {
	var applied []Event
	fresh := c.objects
	if len(changes.Events) > 0 {
		fresh = maps.Clone(c.objects)
	}
	for _, e := range changes.Events {
		cached, exists := fresh[e.Object.Name]
		switch {
		case e.Type == EventPut && (!exists || e.Object.Version > cached.Version):
			fresh[e.Object.Name] = e.Object
		case e.Type == EventDelete && exists && e.Object.Version >= cached.Version:
			delete(fresh, e.Object.Name)
		default:
			continue
		}
		applied = append(applied, e)
	}
	c.objects = fresh
	c.version = max(c.version, changes.Version)
	return applied
}
