package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

type fetch struct {
	peer     namer.Instance
	deadline time.Time
}

// ObserveTarget takes a target record.
func (t *Tracker) ObserveTarget(target Target) {
	t.targets[target.ID] = target
}

// ForgetTarget takes the deletion of a target record.
func (t *Tracker) ForgetTarget(target namer.Target) {
	delete(t.targets, target)
}

// ObserveDeparture takes the departures at a version, from the store or a peer; an older version changes nothing.
func (t *Tracker) ObserveDeparture(version int64, d Departure, now time.Time) []Action {
	t.fetch = nil
	if version <= t.departureVersion {
		return t.decideFetch(now)
	}
	t.departureVersion = version
	t.departure = d
	actions := []Action{ApplyDeparture{
		Version:   version,
		Departure: d,
	}}
	actions = append(actions, t.decideLeaving(now)...)
	return append(actions, t.decideFetch(now)...)
}

// FailDeparture notes that a peer did not deliver its departures.
func (t *Tracker) FailDeparture(peer namer.Holder, now time.Time) []Action {
	t.retryAt[peer.Instance] = now.Add(t.settings.FetchTimeout)
	if t.fetch != nil && t.fetch.peer == peer.Instance {
		t.fetch = nil
	}
	return t.decideFetch(now)
}

// Departures returns the departures in force and their version.
func (t *Tracker) Departures() (int64, Departure) {
	return t.departureVersion, t.departure
}

// Targets returns the targets in service, sorted by id.
func (t *Tracker) Targets() []Target {
	targets := make([]Target, 0, len(t.targets))
	for target := range maps.Values(t.targets) {
		if !t.out(target) {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return targets
}

// TargetOut reports whether a target is unknown, or it or its data centre is taken out of service.
func (t *Tracker) TargetOut(target namer.Target) bool {
	record, known := t.targets[target]
	return !known || t.out(record)
}

func (t *Tracker) out(target Target) bool {
	return slices.Contains(t.departure.Targets, target.ID) || t.dataCentreOut(target.DataCentre)
}

func (t *Tracker) dataCentreOut(d namer.DataCentre) bool {
	return slices.Contains(t.departure.DataCentres, d)
}

// decideFetch keeps one fetch open as long as a live peer has a later version.
func (t *Tracker) decideFetch(now time.Time) []Action {
	if t.fetch != nil && !now.Before(t.fetch.deadline) {
		t.retryAt[t.fetch.peer] = now.Add(t.settings.FetchTimeout)
		t.fetch = nil
	}
	if t.fetch != nil || t.highestDeparture <= t.departureVersion {
		return nil
	}
	best := t.latestDepartures(now)
	if best == nil {
		return nil
	}
	t.fetch = &fetch{
		peer:     best.holder.Instance,
		deadline: now.Add(t.settings.FetchTimeout),
	}
	return []Action{FetchDeparture{
		Peer:    best.holder,
		Version: best.departures,
	}}
}

// latestDepartures returns the peer with the latest version; among equals the one heard last.
func (t *Tracker) latestDepartures(now time.Time) *member {
	var best *member
	for _, p := range t.members {
		if p.departures <= t.departureVersion || t.lostAt(p, now) || now.Before(t.retryAt[p.holder.Instance]) {
			continue
		}
		if best == nil || fresher(p, best) {
			best = p
		}
	}
	return best
}

func fresher(a, b *member) bool {
	return cmp.Or(
		cmp.Compare(a.departures, b.departures),
		a.heard.Compare(b.heard),
		cmp.Compare(b.holder.Instance, a.holder.Instance),
	) > 0
}
