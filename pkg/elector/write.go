package elector

import (
	"slices"
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// The epoch grows by takeoverStep when the successor takes over, and by reassignStep when somebody else
// decides, so that the epoch which a lost successor may have used is not used again.
const (
	takeoverStep = 1
	reassignStep = 2
)

// write returns the write of all changes of the table that are due.
func (e *Elector) write(now time.Time) []Action {
	e.noteLive(now)
	if e.version == 0 && e.tableAt.IsZero() || !e.storeUp(now) || now.Sub(e.refusedAt) < retryEvery {
		return e.refresh(now)
	}
	if e.pending != nil {
		if e.pending.answered {
			return e.askTable(now)
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
		number: e.writeCount,
		base:   e.version,
		table:  next,
		sentAt: now,
	}
	e.noteDoubt(next)
	return []Action{WriteTable{
		Version: e.version,
		Table:   next.clone(),
	}}
}

// refresh reads the table while this instance waits to regain its authority.
func (e *Elector) refresh(now time.Time) []Action {
	if !e.tableAt.IsZero() && e.qualified || now.Sub(e.readAt) < retryEvery {
		return nil
	}
	return e.askTable(now)
}

func (e *Elector) storeUp(now time.Time) bool {
	return now.Sub(e.storeAt) <= e.options.IsolatedAfter
}

// noteDoubt remembers which entries may have changed until the outcome of the write is known.
func (e *Elector) noteDoubt(next Table) {
	for id, entry := range next.Entries {
		if was, ok := e.table.Entries[id]; !ok || !was.equal(entry) {
			e.doubt[id] = true
		}
	}
}

func (e *Elector) endWrite(v WriteAnswered, now time.Time) []Action {
	p := e.pending
	if p == nil || p.number != v.WriteNumber {
		return nil
	}
	switch v.Outcome {
	case WriteDone:
		e.storeAt = later(e.storeAt, p.sentAt)
		if v.Version > e.version {
			e.adopt(p.table, v.Version, p.sentAt, now)
		}
		e.pending = nil
		clear(e.doubt)
		e.qualified = e.qualified || !p.sentAt.Before(e.disqualifiedAt)
		return nil
	case WriteRefused:
		e.pending = nil
		e.refusedAt = now
		return nil
	case WriteConflict, WriteUnknown:
		p.answered = true
		return e.askTable(now)
	}
	return nil
}

// plan applies the changes that are due and reports whether there are any.
func (e *Elector) plan(next *Table, now time.Time) bool {
	if !e.qualified {
		return e.mayRequalify()
	}
	changed := false
	for _, id := range e.order {
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

// mayRequalify reports whether an unchanged table may be written to regain authority. The write makes a
// concurrent one that holds this instance for gone conflict; the own record in the store must be seen first,
// so that whoever reads the table after this write finds the record renewed.
func (e *Elector) mayRequalify() bool {
	return e.ownRecord && e.named()
}

func (e *Elector) planEntry(next *Table, id namer.Target, entry *Entry, now time.Time) bool {
	r := e.roles[id]
	switch {
	case entry.Owner == e.options.Self:
		return e.planOwned(next, entry, r, now)
	case e.leaving:
		return false
	case entry.Successor == e.options.Self:
		return e.planTakeover(next, entry, r, now)
	}
	return e.planReassignment(next, entry, r, now)
}

// planReassignment replaces an owner and a successor that are both gone.
func (e *Elector) planReassignment(next *Table, entry *Entry, r *role, now time.Time) bool {
	if !e.lowestLive(now) || !e.gone(entry.Owner, now) {
		return false
	}
	if !entry.Successor.IsZero() && !e.gone(entry.Successor, now) {
		return false
	}
	entry.setOwner(e.chooseOwner(next, now))
	entry.Successor = e.chooseSuccessor(next, entry.Owner, now)
	entry.Epoch += reassignStep
	if entry.Previous != nil && e.previousDone(*entry.Previous, r, now) {
		entry.Previous = nil
	}
	return true
}

func (e *Elector) planOwned(next *Table, entry *Entry, r *role, now time.Time) bool {
	changed := false
	if entry.Previous != nil && e.previousDone(*entry.Previous, r, now) {
		entry.Previous = nil
		changed = true
	}
	if !r.releasedAt.IsZero() {
		return e.planHandover(next, entry, r, now) || changed
	}
	if e.leaving {
		r.releasedAt = now
		return changed
	}
	if e.mustReclaim(entry, r, now) {
		entry.Epoch = max(entry.Epoch, r.rejected) + reassignStep
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

// mustReclaim reports whether the engine shut this owner out and nobody has written a takeover since: the
// successor that fenced the target may be lost.
func (e *Elector) mustReclaim(entry *Entry, r *role, now time.Time) bool {
	return r.fencing && r.rejected >= entry.Epoch && now.Sub(r.rejectedAt) >= reclaimAfter
}

// previousDone reports whether nothing can be allocated any more by a previous owner.
func (e *Elector) previousDone(previous namer.Holder, r *role, now time.Time) bool {
	if previous == e.options.Self {
		return now.Sub(r.learnedAt) >= e.options.quotaGone()
	}
	acknowledged := !r.previousLeft.IsZero() && now.Sub(r.previousLeft) >= e.options.quotaGone()
	return acknowledged || e.gone(previous, now)
}

func (e *Elector) planTakeover(next *Table, entry *Entry, r *role, now time.Time) bool {
	if !e.mayTakeOver(entry, r, now) {
		return false
	}
	former := entry.Owner
	entry.Owner = e.options.Self
	entry.Epoch += takeoverStep
	entry.Previous = nil
	if !r.fencing && !e.gone(former, now) {
		entry.Previous = &former
	}
	entry.Successor = e.chooseSuccessor(next, e.options.Self, now)
	return true
}

// mayTakeOver reports whether the successor may write itself as owner. While a previous owner is listed it has
// no authority, but it may take the owner's place once that previous owner is done.
func (e *Elector) mayTakeOver(entry *Entry, r *role, now time.Time) bool {
	if r.fencing || entry.Previous == nil {
		return e.successorAuthority(entry, r, now).Share > 0
	}
	return now.Sub(e.silentSince(entry, r)) >= e.options.silence() && e.previousDone(*entry.Previous, r, now)
}

// planHandover names the new owner once every quota of this instance has expired.
func (e *Elector) planHandover(next *Table, entry *Entry, r *role, now time.Time) bool {
	if now.Sub(r.releasedAt) < e.options.quotaGone()+e.options.TickEvery+e.options.PausedAfter {
		return false
	}
	receiver := r.receiver
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

// gone reports whether a process can have no authority and can get none back without a write to the table.
// The list and the records must be newer than the table, so that a process which regained its authority
// before this version is seen to live.
func (e *Elector) gone(h namer.Holder, now time.Time) bool {
	if m, ok := e.members[h]; ok && m.State == tracker.StateLeft {
		return true
	}
	if e.listedAt.Before(e.tableAt) || e.membersAt.Before(e.tableAt) || e.listedAt.IsZero() || e.membersAt.IsZero() {
		return false
	}
	if e.listed[h.Instance] && !e.superseded(h) {
		return false
	}
	return now.Sub(later(e.heard[h].at, e.tableAt)) >= e.options.silence()
}

// superseded reports whether another process runs under the same instance name.
func (e *Elector) superseded(h namer.Holder) bool {
	for other := range e.members {
		if other.Instance == h.Instance && other != h {
			_, recorded := e.members[h]
			return !recorded
		}
	}
	return false
}

// live returns the members that can be given a role, by name.
func (e *Elector) live(now time.Time) []namer.Holder {
	if now.Equal(e.liveAt) && len(e.liveNow) > 0 {
		return e.liveNow
	}
	e.liveAt = now
	live := e.liveNow[:0]
	for h, m := range e.members {
		if h == e.options.Self || m.State != tracker.StateServing {
			continue
		}
		if n, ok := e.heard[h]; ok && now.Sub(n.at) <= memberLostAfter {
			live = append(live, h)
		}
	}
	if !e.leaving {
		live = append(live, e.options.Self)
	}
	sort.Slice(live, func(i, j int) bool { return less(live[i], live[j]) })
	e.liveNow = live
	return live
}

func (e *Elector) lowestLive(now time.Time) bool {
	live := e.live(now)
	return len(live) > 0 && live[0] == e.options.Self
}

// noteLive restarts the settling time when the set of live members changes.
func (e *Elector) noteLive(now time.Time) {
	live := e.live(now)
	if !slices.Equal(live, e.settled) {
		e.settled = append(e.settled[:0], live...)
		e.liveSince = now
	}
}

// assign gives targets without an entry to the members with the fewest targets.
func (e *Elector) assign(next *Table, now time.Time) bool {
	if !e.lowestLive(now) || now.Sub(e.liveSince) < assignAfter {
		return false
	}
	changed := false
	for _, id := range e.order {
		if _, ok := next.Entries[id]; ok || !e.roles[id].known {
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

// chooseSuccessor prefers another data centre, so that the loss of one does not take owner and successor.
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

// balance starts the handover of one target to the member with the fewest if it has at least two less.
func (e *Elector) balance(now time.Time) {
	if now.Sub(e.liveSince) < settleTime || !e.storeUp(now) {
		return
	}
	owned := map[namer.Holder]int{}
	var candidate namer.Target
	for _, id := range e.order {
		entry, ok := e.table.Entries[id]
		if !ok {
			continue
		}
		owned[entry.Owner]++
		if entry.Owner != e.options.Self || entry.Previous != nil {
			continue
		}
		if !e.roles[id].releasedAt.IsZero() {
			return
		}
		candidate = id
	}
	receiver := fewest(e.live(now), func(h namer.Holder) int { return owned[h] })
	if candidate == "" || receiver.IsZero() || owned[e.options.Self]-owned[receiver] < 2 {
		return
	}
	r := e.roles[candidate]
	r.releasedAt = now
	r.receiver = receiver
}

// finishLeaving reports that a leaving instance owns nothing any more.
func (e *Elector) finishLeaving() []Action {
	if !e.leaving || e.left || e.tableAt.IsZero() {
		return nil
	}
	for _, entry := range e.table.Entries {
		if entry.Owner == e.options.Self {
			return nil
		}
	}
	e.left = true
	return []Action{HandoverDone{}}
}
