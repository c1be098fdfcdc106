package cataloguer

import (
	"maps"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Target is one back end.
type Target struct {
	ID         namer.Target
	Service    namer.Service
	Address    string
	DataCentre namer.DataCentre
	Slots      int
	// Leaving targets receive nothing new.
	Leaving bool
	// ColdUntil is when the target stops being cold.
	ColdUntil time.Time
	// Started tells apart two runs under the same id.
	Started time.Time
}

// Settings are the constants of the catalogue.
type Settings struct {
	// Return is how long after an outage of the store live targets take to be listed again.
	Return time.Duration
}

// Catalogue is a view at one moment; it does not change.
type Catalogue struct {
	Targets   map[namer.Target]Target
	Evacuated map[namer.DataCentre]bool
}

// Usable reports whether a target may receive new work.
func (c *Catalogue) Usable(id namer.Target) bool {
	t, known := c.Targets[id]
	return known && !t.Leaving && !c.Evacuated[t.DataCentre]
}

// Cataloguer applies changes of the store's entries.
type Cataloguer struct {
	settings  Settings
	targets   map[namer.Target]Target
	evacuated map[namer.DataCentre]bool
	// missing holds when targets that vanished around an outage are taken as gone.
	missing map[namer.Target]time.Time
	down    bool
	back    time.Time
}

// New returns an empty cataloguer.
func New(settings Settings) *Cataloguer {
	return &Cataloguer{
		settings:  settings,
		targets:   map[namer.Target]Target{},
		evacuated: map[namer.DataCentre]bool{},
		missing:   map[namer.Target]time.Time{},
	}
}

// Put adds or replaces a target.
func (c *Cataloguer) Put(t Target) {
	c.targets[t.ID] = t
	delete(c.missing, t.ID)
}

// Target returns what is known of a target, or nil.
func (c *Cataloguer) Target(id namer.Target) *Target {
	t, known := c.targets[id]
	if !known {
		return nil
	}
	return &t
}

// Remove takes a target out. Entries lapse during an outage of the store, so that one that vanishes just after it is kept
// until live targets have had time to return.
func (c *Cataloguer) Remove(now time.Time, id namer.Target) {
	t, known := c.targets[id]
	if !known {
		return
	}
	gone := c.back.Add(c.settings.Return)
	if !t.Leaving && (c.down || now.Before(gone)) {
		if c.down {
			gone = now.Add(c.settings.Return)
		}
		c.missing[id] = gone
		return
	}
	delete(c.targets, id)
	delete(c.missing, id)
}

// SetStore records whether the store answers.
func (c *Cataloguer) SetStore(now time.Time, up bool) {
	if up && c.down {
		c.back = now
		for id := range c.missing {
			c.missing[id] = now.Add(c.settings.Return)
		}
	}
	c.down = !up
}

// Evacuate records whether a data centre is to receive nothing new.
func (c *Cataloguer) Evacuate(centre namer.DataCentre, out bool) {
	if out {
		c.evacuated[centre] = true
		return
	}
	delete(c.evacuated, centre)
}

// Tick removes targets that stayed missing and reports whether there were any.
func (c *Cataloguer) Tick(now time.Time) bool {
	changed := false
	for id, gone := range c.missing {
		if c.down || now.Before(gone) {
			continue
		}
		delete(c.missing, id)
		delete(c.targets, id)
		changed = true
	}
	return changed
}

// Catalogue returns a copy of the current state.
func (c *Cataloguer) Catalogue() *Catalogue {
	return &Catalogue{
		Targets:   maps.Clone(c.targets),
		Evacuated: maps.Clone(c.evacuated),
	}
}
