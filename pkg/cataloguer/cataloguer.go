package cataloguer

import (
	"maps"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Target is a back end that serves requests of one service.
type Target struct {
	ID         namer.Target
	Service    namer.Service
	Address    string
	DataCentre namer.DataCentre
	Slots      int
	// Leaving is set if the target must not receive new work.
	Leaving bool
	// ColdUntil is the end of the target's warm-up.
	ColdUntil time.Time
	// Started distinguishes two runs of a target under the same ID.
	Started time.Time
}

// Settings are the tuning parameters of the catalogue.
type Settings struct {
	// ReregistrationTime is how long live targets may take to register again after an outage of the store.
	ReregistrationTime time.Duration
	// EvacuationTime is how long an evacuation that a restored store lacks stays in force unless it is requested again.
	EvacuationTime time.Duration
}

// Catalogue is an immutable snapshot of the targets.
type Catalogue struct {
	Targets   map[namer.Target]Target
	Evacuated map[namer.DataCentre]bool
}

// Usable reports whether a target may receive new work.
func (c *Catalogue) Usable(id namer.Target) bool {
	t, known := c.Targets[id]
	return known && !t.Leaving && !c.Evacuated[t.DataCentre]
}

// Cataloguer maintains the targets from the changes in the store.
type Cataloguer struct {
	settings  Settings
	targets   map[namer.Target]Target
	evacuated map[namer.DataCentre]bool
	// removeAt holds, for targets whose entries vanished around an outage, when they are removed.
	removeAt map[namer.Target]time.Time
	// leaving holds the start of runs that have said themselves that they leave, which older entries don't show.
	leaving map[namer.Target]time.Time
	// endAt holds, for evacuations that a restored store lacks, when they end.
	endAt map[namer.DataCentre]time.Time
	// doubtedUntil holds, for targets that a restored store lists though they had been removed, until when they receive no new work.
	doubtedUntil   map[namer.Target]time.Time
	storeDown      bool
	storeRecovered time.Time
}

// New returns an empty cataloguer.
func New(settings Settings) *Cataloguer {
	return &Cataloguer{
		settings:  settings,
		targets:   map[namer.Target]Target{},
		evacuated: map[namer.DataCentre]bool{},
		removeAt:  map[namer.Target]time.Time{},
		leaving:   map[namer.Target]time.Time{},

		endAt:        map[namer.DataCentre]time.Time{},
		doubtedUntil: map[namer.Target]time.Time{},
	}
}

// Put adds or replaces a target.
func (c *Cataloguer) Put(t Target) {
	if started, found := c.leaving[t.ID]; found && started.Equal(t.Started) {
		t.Leaving = true
	}
	c.targets[t.ID] = t
	delete(c.removeAt, t.ID)
	delete(c.doubtedUntil, t.ID)
}

// Doubt withholds new work from a listed target that had been removed before the store was restored, until its entry is written again or
// would have expired.
func (c *Cataloguer) Doubt(now time.Time, id namer.Target) {
	if _, listed := c.targets[id]; listed {
		c.doubtedUntil[id] = now.Add(c.settings.ReregistrationTime)
	}
}

// StoreRestored records that the store was restored from a copy. Live targets that the copy lacks register again; runs that were leaving
// go on to leave, even if the copy shows them as they were before.
func (c *Cataloguer) StoreRestored(now time.Time) {
	c.storeRecovered = now
	for id := range c.removeAt {
		c.removeAt[id] = now.Add(c.settings.ReregistrationTime)
	}
	for id, t := range c.targets {
		if t.Leaving && !t.Started.IsZero() {
			c.MarkLeaving(id, t.Started)
		}
	}
}

// maxLeaving limits the runs that are remembered as leaving by their own word; all are forgotten beyond that.
const maxLeaving = 8192

// MarkLeaving records that a run of a target has said that it leaves, and reports whether that is new. It holds for the run, whatever
// its entry says.
func (c *Cataloguer) MarkLeaving(id namer.Target, started time.Time) bool {
	if known, found := c.leaving[id]; found && known.Equal(started) {
		return false
	}
	if len(c.leaving) >= maxLeaving {
		clear(c.leaving)
	}
	c.leaving[id] = started
	if t, listed := c.targets[id]; listed && t.Started.Equal(started) {
		t.Leaving = true
		c.targets[id] = t
	}
	return true
}

// Target returns the entry of a target, or nil if there is none.
func (c *Cataloguer) Target(id namer.Target) *Target {
	t, known := c.targets[id]
	if !known {
		return nil
	}
	return &t
}

// Remove removes a target. Entries expire during an outage of the store, so a target that vanishes during or shortly after
// one is kept until live targets have had time to register again.
func (c *Cataloguer) Remove(now time.Time, id namer.Target) {
	t, known := c.targets[id]
	if !known {
		return
	}
	due := c.storeRecovered.Add(c.settings.ReregistrationTime)
	if !t.Leaving && (c.storeDown || now.Before(due)) {
		if c.storeDown {
			due = now.Add(c.settings.ReregistrationTime)
		}
		c.removeAt[id] = due
		return
	}
	c.forget(id)
}

func (c *Cataloguer) forget(id namer.Target) {
	delete(c.targets, id)
	delete(c.removeAt, id)
	delete(c.doubtedUntil, id)
}

// SetStoreAvailable records whether the store is available.
func (c *Cataloguer) SetStoreAvailable(now time.Time, up bool) {
	if up && c.storeDown {
		c.storeRecovered = now
		for id := range c.removeAt {
			c.removeAt[id] = now.Add(c.settings.ReregistrationTime)
		}
	}
	c.storeDown = !up
}

// Evacuate starts or ends the evacuation of a data centre, whose targets receive no new work meanwhile.
func (c *Cataloguer) Evacuate(centre namer.DataCentre, out bool) {
	delete(c.endAt, centre)
	if out {
		c.evacuated[centre] = true
		return
	}
	delete(c.evacuated, centre)
}

// LapseEvacuation ends an evacuation that a restored store lacks, unless it is requested again in time.
func (c *Cataloguer) LapseEvacuation(now time.Time, centre namer.DataCentre) {
	if c.evacuated[centre] {
		c.endAt[centre] = now.Add(c.settings.EvacuationTime)
	}
}

// EvacuateUntil starts an evacuation that ends at a time unless it is requested, and reports whether there was none.
func (c *Cataloguer) EvacuateUntil(centre namer.DataCentre, end time.Time) bool {
	if c.evacuated[centre] {
		return false
	}
	c.evacuated[centre] = true
	c.endAt[centre] = end
	return true
}

// Lapsing returns the data centres whose evacuation a restored store lacks, and when these evacuations end.
func (c *Cataloguer) Lapsing() map[namer.DataCentre]time.Time {
	return maps.Clone(c.endAt)
}

// Tick removes targets that have not registered again in time, ends evacuations that were not requested again, and gives work again to
// targets whose entries have outlived their doubt. It reports whether anything has changed.
func (c *Cataloguer) Tick(now time.Time) bool {
	changed := false
	for id, due := range c.removeAt {
		if c.storeDown || now.Before(due) {
			continue
		}
		c.forget(id)
		changed = true
	}
	for centre, due := range c.endAt {
		if c.storeDown || now.Before(due) {
			continue
		}
		c.Evacuate(centre, false)
		changed = true
	}
	for id, due := range c.doubtedUntil {
		if c.storeDown || now.Before(due) {
			continue
		}
		delete(c.doubtedUntil, id)
		changed = true
	}
	return changed
}

// Catalogue returns a snapshot of the current state.
func (c *Cataloguer) Catalogue() *Catalogue {
	targets := maps.Clone(c.targets)
	for id := range c.doubtedUntil {
		t := targets[id]
		t.Leaving = true
		targets[id] = t
	}
	return &Catalogue{
		Targets:   targets,
		Evacuated: maps.Clone(c.evacuated),
	}
}
