package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// member is the latest incarnation of another instance.
type member struct {
	holder namer.Holder
	// version is the store's version of the last member record that was applied.
	version          int64
	recordNumber     int64
	dataCentre       namer.DataCentre
	callerAddress    string
	peerAddress      string
	state            State
	departureVersion int64
	lastHeard        time.Time
	// recordRenewed is when a renewal was last seen in the store.
	recordRenewed time.Time
	lost          bool
}

// ObserveMember processes a member record from a read or watch of the store, with the version of the object.
func (t *Tracker) ObserveMember(version int64, m Member, now time.Time) []Action {
	t.ObserveStoreResponse(now)
	if m.Cell != t.settings.Cell {
		return nil
	}
	t.mergeReports(m.Heard, now)
	if m.Holder.Instance == t.settings.Self.Instance {
		return nil
	}
	known := t.members[m.Holder.Instance]
	if known != nil && version <= known.version {
		return nil
	}
	return t.applyRecord(version, m, now)
}

func (t *Tracker) applyRecord(version int64, m Member, now time.Time) []Action {
	p := t.memberFor(m.Holder, now)
	p.version = version
	p.recordNumber = m.Number
	p.recordRenewed = now
	p.dataCentre = m.DataCentre
	p.callerAddress = m.CallerAddress
	p.peerAddress = m.PeerAddress
	t.raiseDepartureVersion(p, m.DepartureSeen)
	p.state = laterState(p.state, m.State)
	t.markHeard(p, m.Number, now)
	if m.State == StateLeft {
		t.processFor(m.Holder, now).left = true
	}
	return t.nextFetch(now)
}

// ForgetMember processes the deletion of a member record; a member that is still heard stays.
func (t *Tracker) ForgetMember(instance namer.Instance, now time.Time) {
	t.ObserveStoreResponse(now)
	p := t.members[instance]
	if p != nil && now.Sub(p.lastHeard) >= t.settings.LostAfter {
		delete(t.members, instance)
	}
}

// ObserveHeartbeat processes a heartbeat of a peer, or its response to one.
func (t *Tracker) ObserveHeartbeat(b Heartbeat, now time.Time) []Action {
	if b.Sender.Instance == t.settings.Self.Instance || t.replaced(b.Sender, now) {
		return nil
	}
	t.heartbeatSeenAt = latest(t.heartbeatSeenAt, now)
	t.mergeReports(b.Heard, now)
	p := t.memberFor(b.Sender, now)
	p.dataCentre = cmp.Or(b.DataCentre, p.dataCentre)
	p.callerAddress = cmp.Or(b.CallerAddress, p.callerAddress)
	p.peerAddress = cmp.Or(b.PeerAddress, p.peerAddress)
	t.raiseDepartureVersion(p, b.DepartureVersion)
	p.state = laterState(p.state, b.State)
	t.markHeard(p, b.Number, now)
	if b.State == StateLeft {
		t.processFor(b.Sender, now).left = true
	}
	return t.nextFetch(now)
}

// memberFor returns the entry of the holder's instance, and replaces the entry of another incarnation.
func (t *Tracker) memberFor(h namer.Holder, now time.Time) *member {
	p := t.members[h.Instance]
	if p != nil && p.holder == h {
		return p
	}
	fresh := &member{
		holder: h,
	}
	if p != nil {
		t.processFor(p.holder, p.lastHeard).replaced = true
		fresh.version = p.version
		fresh.peerAddress = p.peerAddress
	}
	t.members[h.Instance] = fresh
	t.processFor(h, now).replaced = false
	return fresh
}

// replaced reports whether a process was replaced by another one of the same name that is heard; its delayed heartbeats
// are ignored.
func (t *Tracker) replaced(h namer.Holder, now time.Time) bool {
	k := t.processes[h]
	p := t.members[h.Instance]
	return k != nil && k.replaced && p != nil && now.Sub(p.lastHeard) < t.settings.SuspectAfter
}

func (t *Tracker) markHeard(p *member, number int64, now time.Time) {
	p.lastHeard = latest(p.lastHeard, now)
	p.lost = false
	t.processFor(p.holder, now).observe(number, now)
}

func (t *Tracker) raiseDepartureVersion(p *member, version int64) {
	p.departureVersion = max(p.departureVersion, version)
	t.highestDeparture = max(t.highestDeparture, version)
}

func (t *Tracker) detectLost(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		p := t.members[name]
		if p.lost || now.Sub(p.lastHeard) < t.settings.LostAfter {
			continue
		}
		p.lost = true
		actions = append(actions, PeerLost{
			Holder: p.holder,
		})
	}
	return actions
}

// Peers returns the other members, sorted by name.
func (t *Tracker) Peers(now time.Time) []Peer {
	peers := make([]Peer, 0, len(t.members))
	for _, p := range t.members {
		peers = append(peers, Peer{
			Holder:        p.holder,
			DataCentre:    p.dataCentre,
			CallerAddress: p.callerAddress,
			PeerAddress:   p.peerAddress,
			State:         p.state,
			Silence:       now.Sub(p.lastHeard),
			Lost:          t.isLost(p, now),
		})
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(a.Holder.Instance, b.Holder.Instance)
	})
	return peers
}

// HeardNumbers returns the highest number received from each member, for heartbeats and the member record.
func (t *Tracker) HeardNumbers() []HeardNumber {
	heard := make([]HeardNumber, 0, len(t.members))
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		p := t.members[name]
		if p.lost {
			continue
		}
		heard = append(heard, HeardNumber{
			Holder: p.holder,
			Number: t.processes[p.holder].direct,
		})
	}
	return heard
}

func (t *Tracker) isLost(p *member, now time.Time) bool {
	return now.Sub(p.lastHeard) >= t.settings.LostAfter
}

// laterState returns the later of two states in a process's life cycle, which only moves from starting towards left.
func laterState(a, b State) State {
	order := []State{StateStarting, StateServing, StateLeaving, StateLeft}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
