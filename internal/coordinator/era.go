package coordinator

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// enterEra notes the era of a version that this instance has heard of. A newer era begins when the store was restored from a copy, which
// may lack what was written last or show what has been removed since.
func (c *Coordinator) enterEra(now time.Time, v versioner.Version) {
	if v.Era <= c.era {
		return
	}
	former := c.era
	c.era = v.Era
	c.viewOutdated = true
	if c.duties.warden != nil {
		c.duties.warden.EnterEra(c.options.Duties.Elapsed(), v.Era)
		c.duties.firstOpen = c.duties.tallier.FirstOpen(c.trueTime())
	}
	if former == 0 {
		// The first answer of a store that states its era.
		return
	}
	c.catalogue.StoreRestored(now)
	// The restored store may name a former leader, or lack isolations.
	c.convener.CheckNow(now)
	c.options.Log.Warn().Int64("era", v.Era-1).Int64("former", former-1).Int64("version", v.Number).
		Int("targets", len(c.objects[c.options.Format.TargetKind])).Int("evacuations", len(c.objects[c.options.Format.EvacuationKind])).
		Msg("coordinator: store restored from a copy, reading it again")
}

// outdated reports whether an event shows an object of an era whose end this instance has seen: it knows all objects of its kind of a
// newer era.
func (c *Coordinator) outdated(e storer.Event) bool {
	return e.Object.Era < c.completeEras[e.Object.Kind]
}

// priorObject is what an instance knew of an object before a change.
type priorObject struct {
	object storer.Object
	listed bool
	// removedAt is the version of its last removal, if that is known.
	removedAt versioner.Version
}

func (c *Coordinator) prior(o storer.Object) priorObject {
	object, listed := c.objects[o.Kind][o.Name]
	return priorObject{
		object:    object,
		listed:    listed,
		removedAt: c.removed[objectKey{o.Kind, o.Name}],
	}
}

// repeats reports whether an event only shows that a restored store still has the object unchanged.
func (p *priorObject) repeats(e storer.Event) bool {
	return e.Type == storer.EventPut && p.listed && p.object.Era < e.Object.Era && bytes.Equal(p.object.Value, e.Object.Value)
}

// lapses reports whether the object of the event is gone only since a restored store lacks it.
func (p *priorObject) lapses(e storer.Event) bool {
	return e.Type == storer.EventDelete && p.listed && p.object.Era < e.Object.Era
}

// reappears reports whether the object of the event was removed before the store was restored, so that the copy may be older than the
// removal.
func (p *priorObject) reappears(e storer.Event) bool {
	return e.Type == storer.EventPut && !p.listed && p.removedAt.Exists() && p.removedAt.Era < e.Object.Era
}

// absentObject is what a read of an object that doesn't exist returns: only its version has an era.
func absentObject(missing *storer.NotFoundError) storer.Object {
	return storer.Object{
		Kind: missing.Kind,
		Name: missing.Name,
		Version: versioner.Version{
			Era: missing.Era,
		},
	}
}

// retainRules keeps rules in force that are newer than those of the store, which was restored from an older copy, until they are written
// again.
func (c *Coordinator) retainRules() {
	if c.rules == nil || c.rulesRetained {
		return
	}
	c.rulesRetained = true
	c.options.Log.Warn().Int64("in_force", c.rules.Rules.Version).Msg("coordinator: the store has older rules, keeping those in force")
	c.shareAllRetained()
}

// retained returns what this instance keeps in force although a restored store lacks it. Instances that start meanwhile read only what the
// store has, so they learn of it from their peers.
func (c *Coordinator) retained(now time.Time) []storer.Event {
	var events []storer.Event
	if c.rulesRetained {
		events = append(events, storer.Event{
			Type:   storer.EventPut,
			Object: c.rulesObject,
		})
	}
	for centre, end := range c.catalogue.Lapsing() {
		// A struct of a number can always be encoded.
		value, _ := json.Marshal(retainedEvacuation{
			Left: end.Sub(now),
		})
		events = append(events, storer.Event{
			Type: storer.EventPut,
			Object: storer.Object{
				Kind:  c.options.Format.EvacuationKind,
				Name:  string(centre),
				Value: value,
			},
		})
	}
	return events
}

// retainedEvacuation is the value of an evacuation that a peer retains.
type retainedEvacuation struct {
	// Left is how long it stays in force unless it is requested again; peers must not prolong it.
	Left time.Duration `json:"left"`
}

// shareAllRetained sends what this instance retains to its leader, or to all followers.
func (c *Coordinator) shareAllRetained() {
	if c.leader != nil {
		c.shareRetained(c.leader)
		return
	}
	if c.convener.Role() == convener.Leading {
		c.shareRetained(slices.Collect(maps.Keys(c.followers))...)
	}
}

// shareRetained sends what this instance retains, if anything, to peers.
func (c *Coordinator) shareRetained(peers ...*link) {
	events := c.retained(c.options.Clock.Now())
	if len(events) == 0 {
		return
	}
	message := c.encodeObjects(events, false)
	if message == nil {
		return
	}
	for _, l := range peers {
		l.notify(methodRetained, message)
	}
}

// handleRetained takes over what a peer keeps in force although the store lacks it, and passes on what was new.
func (c *Coordinator) handleRetained(now time.Time, from *link, m objectsMessage) {
	events, err := m.decode()
	if err != nil {
		c.options.Log.Error().Err(err).Str("member", from.member.Name).Msg("coordinator: failed to decode what a peer retains")
		return
	}
	adopted := false
	for _, e := range events {
		switch e.Object.Kind {
		case c.options.Format.RulesKind:
			adopted = c.adoptRules(e.Object) || adopted
		case c.options.Format.EvacuationKind:
			adopted = c.adoptEvacuation(now, e.Object) || adopted
		}
	}
	if adopted {
		c.viewOutdated = true
		c.shareAllRetained()
	}
}

func (c *Coordinator) adoptRules(o storer.Object) bool {
	rules, err := c.options.Format.DecodeRules(o.Value)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: rules of a peer not readable")
		return false
	}
	if c.rules != nil && rules.Version <= c.rules.Rules.Version {
		return false
	}
	c.putRulesInForce(o, rules)
	c.rulesRetained = true
	c.options.Log.Info().Int64("version", rules.Version).Msg("coordinator: rules of a peer in force, the store lacks them")
	return true
}

func (c *Coordinator) adoptEvacuation(now time.Time, o storer.Object) bool {
	var evacuation retainedEvacuation
	if err := json.Unmarshal(o.Value, &evacuation); err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: evacuation of a peer not readable")
		return false
	}
	if evacuation.Left <= 0 || !c.catalogue.EvacuateUntil(namer.DataCentre(o.Name), now.Add(evacuation.Left)) {
		return false
	}
	c.options.Log.Info().Str("data_centre", o.Name).Msg("coordinator: evacuation of a peer in force, the store lacks it")
	return true
}

// completeVersions returns the versions up to which the objects of the message are complete.
func (m *objectsMessage) completeVersions() map[storer.Kind]versioner.Version {
	versions := make(map[storer.Kind]versioner.Version, len(m.Complete))
	for kind, number := range m.Complete {
		versions[kind] = versioner.Version{
			Era:    m.Eras[kind],
			Number: number,
		}
	}
	return versions
}

// assumeEra completes versions of a peer of a release that states no eras: they count as of the present one.
func (c *Coordinator) assumeEra(events []storer.Event, complete map[storer.Kind]versioner.Version) {
	for i := range events {
		if events[i].Object.Era == 0 {
			events[i].Object.Era = c.era
		}
	}
	for kind, v := range complete {
		if v.Era == 0 {
			v.Era = c.era
			complete[kind] = v
		}
	}
}

// setComplete states the versions up to which the objects of the message are complete.
func (m *objectsMessage) setComplete(versions map[storer.Kind]versioner.Version) {
	m.Complete = make(map[storer.Kind]int64, len(versions))
	for kind, v := range versions {
		m.Complete[kind] = v.Number
		if v.Era == 0 {
			continue
		}
		if m.Eras == nil {
			m.Eras = map[storer.Kind]int64{}
		}
		m.Eras[kind] = v.Era
	}
}
