package elector

import (
	"slices"
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// The epoch grows by takeoverStep when the successor becomes owner, and by reassignStep when another member does or
// the owner reclaims the target, which skips the epoch that a lost successor may have used.
const (
	takeoverStep = 1
	reassignStep = 2
)

// writeChanges returns the conditional write of all table changes that are due, or a read if the table must be read
// first.
func (e *Elector) writeChanges(now time.Time) []Action {
	e.trackStable(now)
	if e.version == 0 && e.tableReadAt.IsZero() || !e.storeUp(now) || now.Sub(e.refusedAt) < retryInterval {
		return e.refresh(now)
	}
	if e.pending != nil {
		if e.pending.mustRead {
			return e.requestTable(now)
		}
		return nil
	}
	next := e.table.clone()
	if !e.plan(&next, now) {
		return e.refresh(now)
	}
	e.writeCount++
	next.Writer = e.options.Self
	next.WriteNumber = e.writeCount
	e.pending = &pendingWrite{
		number:      e.writeCount,
		baseVersion: e.version,
		table:       next,
		sentAt:      now,
	}
	e.markUnconfirmed(next)
	return []Action{WriteTable{
		Version: e.version,
		Table:   next.clone(),
	}}
}

// refresh reads the table, at most once per retryInterval, while this instance has not read it yet or is disqualified.
func (e *Elector) refresh(now time.Time) []Action {
	if !e.tableReadAt.IsZero() && e.qualified || now.Sub(e.lastReadRequest) < retryInterval {
		return nil
	}
	return e.requestTable(now)
}

func (e *Elector) storeUp(now time.Time) bool {
	return now.Sub(e.lastStoreContact) <= e.options.IsolatedAfter
}

// markUnconfirmed marks the entries that a write changes until its outcome is known.
func (e *Elector) markUnconfirmed(next Table) {
	for id, entry := range next.Entries {
		if was, ok := e.table.Entries[id]; !ok || !was.equal(entry) {
			e.unconfirmed[id] = true
		}
	}
}

func (e *Elector) handleWriteAnswer(v WriteAnswered, now time.Time) []Action {
	p := e.pending
	if p == nil || p.number != v.WriteNumber {
		return nil
	}
	switch v.Outcome {
	case WriteDone:
		e.lastStoreContact = later(e.lastStoreContact, p.sentAt)
		if v.Version > e.version {
			e.applyTable(p.table, v.Version, p.sentAt, now)
		}
		e.pending = nil
		clear(e.unconfirmed)
		e.qualified = e.qualified || !p.sentAt.Before(e.disqualifiedAt)
		return nil
	case WriteRefused:
		e.pending = nil
		e.refusedAt = now
		return nil
	case WriteConflict, WriteUnknown:
		p.mustRead = true
		return e.requestTable(now)
	}
	return nil
}

// plan applies the changes that are due and reports whether there are any.
func (e *Elector) plan(next *Table, now time.Time) bool {
	if !e.qualified {
		return e.mayRequalify()
	}
	changed := false
	for _, id := range e.sortedTargets {
		if entry, ok := next.Entries[id]; ok && e.planEntry(next, id, entry, now) {
			changed = true
		}
	}
	if e.leaving {
		return changed
	}
	if e.assign(next, now) {
		changed = true
	}
	if !changed {
		e.balance(now)
	}
	return changed
}

// mayRequalify reports whether this instance may write the unchanged table to regain authority. The write causes a
// conflict for a concurrent write that treats this instance as gone. The renewed member record must have been read
// back first, so that whoever reads the table after this write also finds that record.
func (e *Elector) mayRequalify() bool {
	return e.ownRecordSeen && e.hasRole()
}

func (e *Elector) planEntry(next *Table, id namer.Target, entry *Entry, now time.Time) bool {
	st := e.targetStates[id]
	switch {
	case entry.Owner == e.options.Self:
		return e.planOwned(next, entry, st, now)
	case e.leaving:
		return false
	case entry.Successor == e.options.Self:
		return e.planTakeover(next, entry, st, now)
	}
	return e.planReassignment(next, entry, st, now)
}

// planReassignment replaces owner and successor if both are gone.
func (e *Elector) planReassignment(next *Table, entry *Entry, st *targetState, now time.Time) bool {
	if !e.isLowestLive(now) || !e.gone(entry.Owner, now) {
		return false
	}
	if !entry.Successor.IsZero() && !e.gone(entry.Successor, now) {
		return false
	}
	entry.setOwner(e.chooseOwner(next, now))
	entry.Successor = e.chooseSuccessor(next, entry.Owner, now)
	entry.Epoch += reassignStep
	if entry.Previous != nil && e.previousDone(*entry.Previous, st, now) {
		entry.Previous = nil
	}
	return true
}

func (e *Elector) planOwned(next *Table, entry *Entry, st *targetState, now time.Time) bool {
	changed := false
	if entry.Previous != nil && e.previousDone(*entry.Previous, st, now) {
		entry.Previous = nil
		changed = true
	}
	if !st.handoverSince.IsZero() {
		return e.planHandover(next, entry, st, now) || changed
	}
	if e.leaving {
		st.handoverSince = now
		return changed
	}
	if e.mustReclaim(entry, st, now) {
		entry.Epoch = max(entry.Epoch, st.rejectedEpoch) + reassignStep
		changed = true
	}
	if !entry.Successor.IsZero() && !e.gone(entry.Successor, now) {
		return changed
	}
	successor := e.chooseSuccessor(next, entry.Owner, now)
	if successor == entry.Successor {
		return changed
	}
	entry.Successor = successor
	return true
}

// mustReclaim reports whether the engine rejects this owner's epoch and no takeover was written within
// reclaimDelay: the successor that fenced the target may be lost.
func (e *Elector) mustReclaim(entry *Entry, st *targetState, now time.Time) bool {
	return st.fencing && st.rejectedEpoch >= entry.Epoch && now.Sub(st.rejectedAt) >= reclaimDelay
}

// previousDone reports whether no quota of a previous owner can be in use any more.
func (e *Elector) previousDone(previous namer.Holder, st *targetState, now time.Time) bool {
	if previous == e.options.Self {
		return now.Sub(st.firstReadAt) >= e.options.quotaExpiry()
	}
	acknowledged := !st.previousAckAt.IsZero() && now.Sub(st.previousAckAt) >= e.options.quotaExpiry()
	return acknowledged || e.gone(previous, now)
}

func (e *Elector) planTakeover(next *Table, entry *Entry, st *targetState, now time.Time) bool {
	if !e.mayTakeOver(entry, st, now) {
		return false
	}
	former := entry.Owner
	entry.Owner = e.options.Self
	entry.Epoch += takeoverStep
	entry.Previous = nil
	if !st.fencing && !e.gone(former, now) {
		entry.Previous = &former
	}
	entry.Successor = e.chooseSuccessor(next, e.options.Self, now)
	return true
}

// mayTakeOver reports whether the successor may write itself as owner. While the entry lists a previous owner, the
// successor has no authority, but it may take over once no quota of that previous owner can be in use.
func (e *Elector) mayTakeOver(entry *Entry, st *targetState, now time.Time) bool {
	if st.fencing || entry.Previous == nil {
		return e.successorAuthority(entry, st, now).Share > 0
	}
	return now.Sub(e.silentSince(entry, st)) >= e.options.silenceTimeout() && e.previousDone(*entry.Previous, st, now)
}

// planHandover writes the new owner into the entry once every quota granted by this instance has expired.
func (e *Elector) planHandover(next *Table, entry *Entry, st *targetState, now time.Time) bool {
	if now.Sub(st.handoverSince) < e.options.quotaExpiry()+e.options.TickEvery+e.options.PausedAfter {
		return false
	}
	receiver := st.handoverTo
	if receiver.IsZero() {
		receiver = entry.Successor
	}
	if receiver.IsZero() {
		receiver = e.chooseSuccessor(next, e.options.Self, now)
	}
	if receiver.IsZero() {
		return false
	}
	if receiver == entry.Successor {
		entry.Successor = e.successorAfterHandover(next, receiver, now)
		entry.Epoch += takeoverStep
	} else {
		entry.Epoch += reassignStep
	}
	entry.setOwner(receiver)
	return true
}

func (e *Elector) successorAfterHandover(next *Table, owner namer.Holder, now time.Time) namer.Holder {
	if !e.leaving {
		return e.options.Self
	}
	return e.chooseSuccessor(next, owner, now)
}

// gone reports whether a process has no authority and can't regain it without a write to the table. The instance
// list and the member records must be newer than the table, so that they show a process that regained its
// authority before this version.
func (e *Elector) gone(h namer.Holder, now time.Time) bool {
	if m, ok := e.members[h]; ok && m.State == tracker.StateLeft {
		return true
	}
	if e.instancesReadAt.Before(e.tableReadAt) || e.membersReadAt.Before(e.tableReadAt) ||
		e.instancesReadAt.IsZero() || e.membersReadAt.IsZero() {
		return false
	}
	if e.instances[h.Instance] && !e.superseded(h) {
		return false
	}
	return now.Sub(later(e.peerNumbers[h].at, e.tableReadAt)) >= e.options.silenceTimeout()
}

// superseded reports whether the member records name another process of the same instance instead of this one.
func (e *Elector) superseded(h namer.Holder) bool {
	for other := range e.members {
		if other.Instance == h.Instance && other != h {
			_, recorded := e.members[h]
			return !recorded
		}
	}
	return false
}

// live returns the members that can be given a role, sorted by name.
func (e *Elector) live(now time.Time) []namer.Holder {
	if now.Equal(e.liveAt) && len(e.liveMembers) > 0 {
		return e.liveMembers
	}
	e.liveAt = now
	live := e.liveMembers[:0]
	for h, m := range e.members {
		if h == e.options.Self || m.State != tracker.StateServing {
			continue
		}
		if n, ok := e.peerNumbers[h]; ok && now.Sub(n.at) <= memberLostAfter {
			live = append(live, h)
		}
	}
	if !e.leaving {
		live = append(live, e.options.Self)
	}
	sort.Slice(live, func(i, j int) bool { return less(live[i], live[j]) })
	e.liveMembers = live
	return live
}

// isLowestLive reports whether this instance is the first live member by name, which alone assigns and reassigns targets.
func (e *Elector) isLowestLive(now time.Time) bool {
	live := e.live(now)
	return len(live) > 0 && live[0] == e.options.Self
}

// trackStable restarts the settling time when the set of live members changes.
func (e *Elector) trackStable(now time.Time) {
	live := e.live(now)
	if !slices.Equal(live, e.stableMembers) {
		e.stableMembers = append(e.stableMembers[:0], live...)
		e.stableSince = now
	}
}

// assign assigns each target without an entry to the member that owns the fewest.
func (e *Elector) assign(next *Table, now time.Time) bool {
	if !e.isLowestLive(now) || now.Sub(e.stableSince) < assignDelay {
		return false
	}
	changed := false
	for _, id := range e.sortedTargets {
		if _, ok := next.Entries[id]; ok || !e.targetStates[id].inTargetList {
			continue
		}
		owner := e.chooseOwner(next, now)
		next.Entries[id] = &Entry{
			Owner:     owner,
			Successor: e.chooseSuccessor(next, owner, now),
			Epoch:     1,
		}
		changed = true
	}
	return changed
}

func (e *Elector) chooseOwner(next *Table, now time.Time) namer.Holder {
	owned := map[namer.Holder]int{}
	for _, entry := range next.Entries {
		owned[entry.Owner]++
	}
	return fewest(e.live(now), func(h namer.Holder) int { return owned[h] })
}

// chooseSuccessor prefers another data centre than the owner's, so that the loss of one does not take both.
func (e *Elector) chooseSuccessor(next *Table, owner namer.Holder, now time.Time) namer.Holder {
	roles := map[namer.Holder]int{}
	for _, entry := range next.Entries {
		roles[entry.Successor]++
	}
	var near, far []namer.Holder
	for _, h := range e.live(now) {
		switch {
		case h == owner:
		case e.members[h].DataCentre == e.members[owner].DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(far) == 0 {
		far = near
	}
	return fewest(far, func(h namer.Holder) int { return roles[h] })
}

func fewest(holders []namer.Holder, count func(namer.Holder) int) namer.Holder {
	var best namer.Holder
	for i, h := range holders {
		if i == 0 || count(h) < count(best) {
			best = h
		}
	}
	return best
}

// balance starts the handover of one target to the member with the fewest targets if it has at least two fewer.
func (e *Elector) balance(now time.Time) {
	if now.Sub(e.stableSince) < settleTime || !e.storeUp(now) {
		return
	}
	owned := map[namer.Holder]int{}
	var candidate namer.Target
	for _, id := range e.sortedTargets {
		entry, ok := e.table.Entries[id]
		if !ok {
			continue
		}
		owned[entry.Owner]++
		if entry.Owner != e.options.Self || entry.Previous != nil {
			continue
		}
		if !e.targetStates[id].handoverSince.IsZero() {
			return
		}
		candidate = id
	}
	receiver := fewest(e.live(now), func(h namer.Holder) int { return owned[h] })
	if candidate == "" || receiver.IsZero() || owned[e.options.Self]-owned[receiver] < 2 {
		return
	}
	st := e.targetStates[candidate]
	st.handoverSince = now
	st.handoverTo = receiver
}

// finishLeaving returns HandoverDone, once, when a leaving instance owns no target any more.
func (e *Elector) finishLeaving() []Action {
	if !e.leaving || e.handoverReported || e.tableReadAt.IsZero() {
		return nil
	}
	for _, entry := range e.table.Entries {
		if entry.Owner == e.options.Self {
			return nil
		}
	}
	e.handoverReported = true
	return []Action{HandoverDone{}}
}
