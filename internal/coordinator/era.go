package coordinator

import (
	"bytes"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
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
	}
	if former == 0 {
		// The first answer of a store that states its era.
		return
	}
	c.catalogue.StoreRestored(now)
	// The restored store may name a former leader, or lack isolations.
	c.convener.CheckNow(now)
	c.options.Log.Warn().Int64("era", v.Era).Int64("former", former).Int64("version", v.Number).
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
// again. Instances that start meanwhile learn of them from their peers.
func (c *Coordinator) retainRules() {
	if c.rules == nil || c.rulesRetained {
		return
	}
	c.rulesRetained = true
	c.options.Log.Warn().Int64("in_force", c.rules.Rules.Version).Msg("coordinator: the store has older rules, keeping those in force")
	c.shareRetainedRules()
}

// shareRetainedRules sends the rules in force to the leader, or to all followers.
func (c *Coordinator) shareRetainedRules() {
	if c.leader != nil {
		c.shareRules(c.leader)
	}
	if c.convener.Role() != convener.Leading {
		return
	}
	message := c.encodeObjects([]storer.Event{c.rulesEvent()}, false)
	if message == nil {
		return
	}
	for l := range c.followers {
		l.notify(methodRules, message)
	}
}

// shareRules sends the rules in force to a peer if the store doesn't have them.
func (c *Coordinator) shareRules(to *link) {
	if !c.rulesRetained {
		return
	}
	if message := c.encodeObjects([]storer.Event{c.rulesEvent()}, false); message != nil {
		to.notify(methodRules, message)
	}
}

func (c *Coordinator) rulesEvent() storer.Event {
	return storer.Event{
		Type:   storer.EventPut,
		Object: c.rulesObject,
	}
}

// adoptRules takes over rules that a peer has in force and the store lacks.
func (c *Coordinator) adoptRules(m objectsMessage) {
	events, err := m.decode()
	if err != nil {
		c.options.Log.Error().Err(err).Msg("coordinator: failed to decode the rules of a peer")
		return
	}
	for _, e := range events {
		rules, err := c.options.Format.DecodeRules(e.Object.Value)
		if err != nil || c.rules != nil && rules.Version <= c.rules.Rules.Version {
			continue
		}
		c.putRulesInForce(e.Object, rules)
		c.options.Log.Info().Int64("version", rules.Version).Msg("coordinator: rules of a peer in force, the store lacks them")
		c.rulesRetained = true
		c.viewOutdated = true
		c.shareRetainedRules()
	}
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
