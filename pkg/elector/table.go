package elector

import "bergamothollow.example/bergamothollow/pkg/namer"

// Table is the ownership table of a cell, kept as one object of the store.
type Table struct {
	Writer      namer.Holder            `json:"writer"`
	WriteNumber int64                   `json:"write_number"`
	Entries     map[namer.Target]*Entry `json:"entries"`
}

// Entry names who may allocate the memory of one target.
type Entry struct {
	Owner     namer.Holder  `json:"owner"`
	Successor namer.Holder  `json:"successor"`
	Previous  *namer.Holder `json:"previous,omitempty"`
	Epoch     namer.Epoch   `json:"epoch"`
}

func (t Table) clone() Table {
	entries := make(map[namer.Target]*Entry, len(t.Entries))
	for id, entry := range t.Entries {
		copied := *entry
		entries[id] = &copied
	}
	t.Entries = entries
	return t
}

// setOwner sets the owner. A previous owner that becomes owner again is no longer listed as previous, since it
// counts its earlier use itself.
func (e *Entry) setOwner(owner namer.Holder) {
	e.Owner = owner
	if e.Previous != nil && *e.Previous == owner {
		e.Previous = nil
	}
}

func (e *Entry) sameRoles(other *Entry) bool {
	return e.Owner == other.Owner && e.Successor == other.Successor && e.Epoch == other.Epoch
}

func (e *Entry) equal(other *Entry) bool {
	if !e.sameRoles(other) || (e.Previous == nil) != (other.Previous == nil) {
		return false
	}
	return e.Previous == nil || *e.Previous == *other.Previous
}
