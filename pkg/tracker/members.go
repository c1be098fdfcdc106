package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// member is the newest incarnation of one other instance.
type member struct {
	holder        namer.Holder
	version       int64
	recordNumber  int64
	dataCentre    namer.DataCentre
	callerAddress string
	peerAddress   string
	state         State
	departures    int64
	heard         time.Time
	// recordHeard is when the store last showed a renewal.
	recordHeard time.Time
	lost        bool
}

// ObserveMember takes a member record read or watched in the store, with the version of the object.
func (t *Tracker) ObserveMember(version int64, m Member, now time.Time) []Action {
	t.HearStore(now)
	if m.Cell != t.settings.Cell {
		return nil
	}
	t.takeReports(m.Heard, now)
	if m.Holder.Instance == t.settings.Self.Instance {
		return nil
	}
	known := t.members[m.Holder.Instance]
	if known != nil && version <= known.version {
		return nil
	}
	return t.takeRecord(version, m, now)
}

func (t *Tracker) takeRecord(version int64, m Member, now time.Time) []Action {
	p := t.admit(m.Holder, now)
	p.version = version
	p.recordNumber = m.Number
	p.recordHeard = now
	p.dataCentre = m.DataCentre
	p.callerAddress = m.CallerAddress
	p.peerAddress = m.PeerAddress
	t.hearDeparture(p, m.DepartureSeen)
	p.state = furthest(p.state, m.State)
	t.hear(p, m.Number, now)
	if m.State == StateLeft {
		t.know(m.Holder, now).left = true
	}
	return t.decideFetch(now)
}

// ForgetMember takes the deletion of a member record.
func (t *Tracker) ForgetMember(instance namer.Instance, now time.Time) {
	t.HearStore(now)
	p := t.members[instance]
	if p != nil && now.Sub(p.heard) >= t.settings.LostAfter {
		delete(t.members, instance)
	}
}

// ObserveBeat takes a heartbeat, or the answer to one, from a peer.
func (t *Tracker) ObserveBeat(b Beat, now time.Time) []Action {
	if b.Sender.Instance == t.settings.Self.Instance || t.replaced(b.Sender, now) {
		return nil
	}
	t.beatHeard = latest(t.beatHeard, now)
	t.takeReports(b.Heard, now)
	p := t.admit(b.Sender, now)
	p.dataCentre = cmp.Or(b.DataCentre, p.dataCentre)
	p.callerAddress = cmp.Or(b.CallerAddress, p.callerAddress)
	p.peerAddress = cmp.Or(b.PeerAddress, p.peerAddress)
	t.hearDeparture(p, b.DepartureVersion)
	p.state = furthest(p.state, b.State)
	t.hear(p, b.Number, now)
	if b.State == StateLeft {
		t.know(b.Sender, now).left = true
	}
	return t.decideFetch(now)
}

// admit returns the entry of the holder's instance; another incarnation starts with a fresh entry.
func (t *Tracker) admit(h namer.Holder, now time.Time) *member {
	p := t.members[h.Instance]
	if p != nil && p.holder == h {
		return p
	}
	fresh := &member{
		holder: h,
	}
	if p != nil {
		t.know(p.holder, p.heard).replaced = true
		fresh.version = p.version
		fresh.peerAddress = p.peerAddress
	}
	t.members[h.Instance] = fresh
	t.know(h, now).replaced = false
	return fresh
}

// replaced reports whether another process took the name and is heard, so that a late heartbeat does not undo that.
func (t *Tracker) replaced(h namer.Holder, now time.Time) bool {
	k := t.holders[h]
	p := t.members[h.Instance]
	return k != nil && k.replaced && p != nil && now.Sub(p.heard) < t.settings.SuspectAfter
}

func (t *Tracker) hear(p *member, number int64, now time.Time) {
	p.heard = latest(p.heard, now)
	p.lost = false
	t.know(p.holder, now).hear(number, now)
}

func (t *Tracker) hearDeparture(p *member, version int64) {
	p.departures = max(p.departures, version)
	t.highestDeparture = max(t.highestDeparture, version)
}

func (t *Tracker) losePeers(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		p := t.members[name]
		if p.lost || now.Sub(p.heard) < t.settings.LostAfter {
			continue
		}
		p.lost = true
		actions = append(actions, LosePeer{
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
			Silence:       now.Sub(p.heard),
			Lost:          t.lostAt(p, now),
		})
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(a.Holder.Instance, b.Holder.Instance)
	})
	return peers
}

// Heard returns the last numbers heard, for heartbeats and the member record.
func (t *Tracker) Heard() []Heard {
	heard := make([]Heard, 0, len(t.members))
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		p := t.members[name]
		if p.lost {
			continue
		}
		heard = append(heard, Heard{
			Holder: p.holder,
			Number: t.holders[p.holder].direct,
		})
	}
	return heard
}

func (t *Tracker) lostAt(p *member, now time.Time) bool {
	return now.Sub(p.heard) >= t.settings.LostAfter
}

// furthest returns the later state: one process only moves from starting towards left.
func furthest(a, b State) State {
	order := []State{StateStarting, StateServing, StateLeaving, StateLeft}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
