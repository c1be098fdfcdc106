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

// ObserveTarget adds or updates a target record.
func (t *Tracker) ObserveTarget(target Target) {
	t.targets[target.ID] = target
}

// ForgetTarget removes a target whose record was deleted.
func (t *Tracker) ForgetTarget(target namer.Target) {
	delete(t.targets, target)
}

// ObserveDeparture processes the departures at a version, from the store or a peer; an older version is ignored.
func (t *Tracker) ObserveDeparture(version int64, d Departure, now time.Time) []Action {
	t.fetch = nil
	if version <= t.departureVersion {
		return t.nextFetch(now)
	}
	t.departureVersion = version
	t.departure = d
	actions := []Action{ApplyDeparture{
		Version:   version,
		Departure: d,
	}}
	actions = append(actions, t.updateLeaving(now)...)
	return append(actions, t.nextFetch(now)...)
}

// ObserveFetchFailure records that a fetch of the departures from a peer failed.
func (t *Tracker) ObserveFetchFailure(peer namer.Holder, now time.Time) []Action {
	t.retryAt[peer.Instance] = now.Add(t.settings.FetchTimeout)
	if t.fetch != nil && t.fetch.peer == peer.Instance {
		t.fetch = nil
	}
	return t.nextFetch(now)
}

// Departures returns the departures in force and their version.
func (t *Tracker) Departures() (int64, Departure) {
	return t.departureVersion, t.departure
}

// Targets returns the targets in service, sorted by id.
func (t *Tracker) Targets() []Target {
	targets := make([]Target, 0, len(t.targets))
	for target := range maps.Values(t.targets) {
		if !t.outOfService(target) {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return targets
}

// TargetOutOfService reports whether a target is unknown, or it or its data centre is out of service.
func (t *Tracker) TargetOutOfService(target namer.Target) bool {
	record, known := t.targets[target]
	return !known || t.outOfService(record)
}

func (t *Tracker) outOfService(target Target) bool {
	return slices.Contains(t.departure.Targets, target.ID) || t.dataCentreOutOfService(target.DataCentre)
}

func (t *Tracker) dataCentreOutOfService(d namer.DataCentre) bool {
	return slices.Contains(t.departure.DataCentres, d)
}

// nextFetch starts a fetch if a live peer has a later version and no fetch is in progress.
func (t *Tracker) nextFetch(now time.Time) []Action {
	if t.fetch != nil && !now.Before(t.fetch.deadline) {
		t.retryAt[t.fetch.peer] = now.Add(t.settings.FetchTimeout)
		t.fetch = nil
	}
	if t.fetch != nil || t.highestDeparture <= t.departureVersion {
		return nil
	}
	best := t.fetchSource(now)
	if best == nil {
		return nil
	}
	t.fetch = &fetch{
		peer:     best.holder.Instance,
		deadline: now.Add(t.settings.FetchTimeout),
	}
	return []Action{FetchDeparture{
		Peer:    best.holder,
		Version: best.departureVersion,
	}}
}

// fetchSource returns the live peer with the latest version, nil if none is later than the own; ties go to the peer heard
// most recently.
func (t *Tracker) fetchSource(now time.Time) *member {
	var best *member
	for _, p := range t.members {
		if p.departureVersion <= t.departureVersion || t.isLost(p, now) || now.Before(t.retryAt[p.holder.Instance]) {
			continue
		}
		if best == nil || betterSource(p, best) {
			best = p
		}
	}
	return best
}

func betterSource(a, b *member) bool {
	return cmp.Or(
		cmp.Compare(a.departureVersion, b.departureVersion),
		a.lastHeard.Compare(b.lastHeard),
		cmp.Compare(b.holder.Instance, a.holder.Instance),
	) > 0
}
