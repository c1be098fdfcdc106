package elector

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Authority returns the share of a target's memory that this instance may allocate at the given time.
func (e *Elector) Authority(target namer.Target, now time.Time) Authority {
	e.checkQualified(now)
	return e.authority(target, now)
}

func (e *Elector) authority(target namer.Target, now time.Time) Authority {
	entry, ok := e.table.Entries[target]
	if !ok || e.Isolated(now) || e.leaving {
		return Authority{}
	}
	st := e.targetStates[target]
	var a Authority
	switch {
	case entry.Owner == e.options.Self:
		a = e.ownerAuthority(target, entry, st, now)
	case entry.Successor == e.options.Self && e.qualified:
		a = e.successorAuthority(entry, st, now)
	}
	if a.Share == 0 {
		return Authority{}
	}
	expiry := e.lastTick.Add(e.options.TickEvery + e.options.PausedAfter)
	if a.Until.IsZero() || a.Until.After(expiry) {
		a.Until = expiry
	}
	return a
}

func (e *Elector) ownerAuthority(target namer.Target, entry *Entry, st *targetState, now time.Time) Authority {
	promise, fresh := e.promiseUntil(entry, st, now)
	if !st.handoverSince.IsZero() || (!e.qualified && !fresh) {
		return Authority{}
	}
	a := Authority{
		Share: halfShare,
		Epoch: entry.Epoch,
	}
	switch {
	case st.fencing:
		if !st.fencedWith(entry.Epoch) || st.rejectedEpoch >= entry.Epoch {
			return Authority{}
		}
		a.Share = fullShare
	case entry.Previous != nil || e.unconfirmed[target]:
	case entry.Successor.IsZero():
		a.Share = fullShare
	case fresh:
		a.Share = fullShare
		a.Until = promise
	}
	return a
}

// promiseUntil returns the time until which the successor's promise not to allocate holds, and whether it still
// holds. An echo counts only if the successor had read the current entry and had not read a newer table, in which
// it may be the owner itself.
func (e *Elector) promiseUntil(entry *Entry, st *targetState, now time.Time) (time.Time, bool) {
	if entry.Successor.IsZero() {
		return time.Time{}, false
	}
	last, ok := e.ownEchoes[entry.Successor]
	if !ok || last.version < st.firstReadVersion || last.version > e.version {
		return time.Time{}, false
	}
	if !e.qualified && last.sentAt.Before(e.disqualifiedAt) {
		return time.Time{}, false
	}
	until := last.sentAt.Add(e.options.PromiseValid)
	return until, now.Before(until)
}

func (e *Elector) successorAuthority(entry *Entry, st *targetState, now time.Time) Authority {
	a := Authority{
		Epoch: entry.Epoch + 1,
	}
	if st.fencing {
		if st.fencedWith(a.Epoch) && st.rejectedEpoch < a.Epoch {
			a.Share = fullShare
		}
		return a
	}
	if entry.Previous == nil && now.Sub(e.silentSince(entry, st)) >= e.options.silenceTimeout() {
		a.Share = halfShare
	}
	return a
}

// fencedWith reports whether the engine has accepted a fence order with the epoch since its last start.
func (st *targetState) fencedWith(epoch namer.Epoch) bool {
	return st.fencedEpoch == epoch && st.fencedBoot == st.boot && st.boot != ""
}

func (st *targetState) reject(epoch namer.Epoch, now time.Time) {
	if epoch > st.rejectedEpoch {
		st.rejectedEpoch = epoch
		st.rejectedAt = now
	}
}

// silentSince returns the time since which this instance has learned no new number of the owner, or a later one if it
// first read the entry or was disqualified after that. No promise that it gave rests on a number sent since.
func (e *Elector) silentSince(entry *Entry, st *targetState) time.Time {
	since := later(e.peerNumbers[entry.Owner].at, st.firstReadAt)
	return later(since, e.disqualifiedAt)
}

// announce returns a SetAuthority for each changed authority and, if renew is set, for each one that is not zero.
func (e *Elector) announce(now time.Time, renew bool) []Action {
	var actions []Action
	for _, id := range e.sortedTargets {
		entry, ok := e.table.Entries[id]
		if !ok {
			continue
		}
		st := e.targetStates[id]
		if st.announced.Share == 0 && entry.Owner != e.options.Self && entry.Successor != e.options.Self {
			continue
		}
		a := e.authority(id, now)
		if a.Share > 0 && entry.Owner != e.options.Self {
			st.successorUntil = a.Until
		}
		if changed := a.Share != st.announced.Share || a.Epoch != st.announced.Epoch; !changed && (!renew || a.Share == 0) {
			continue
		}
		st.announced = a
		actions = append(actions, SetAuthority{
			Target: id,
			Share:  a.Share,
			Epoch:  a.Epoch,
			Until:  a.Until,
		})
	}
	return actions
}

// fence returns the fence orders that this instance needs before it may allocate on targets with fencing.
func (e *Elector) fence(now time.Time) []Action {
	var actions []Action
	for _, id := range e.sortedTargets {
		entry, ok := e.table.Entries[id]
		st := e.targetStates[id]
		if !ok || !st.fencing || e.leaving || now.Sub(st.fenceSentAt) < retryInterval {
			continue
		}
		epoch := e.wantedFence(entry, st, now)
		if epoch == 0 || st.fencedWith(epoch) || st.rejectedEpoch >= epoch {
			continue
		}
		st.fenceSentAt = now
		st.sentFenceEpoch = max(st.sentFenceEpoch, epoch)
		actions = append(actions, FenceTarget{
			Target: id,
			Epoch:  epoch,
		})
	}
	return actions
}

// wantedFence returns the epoch to fence with, or 0 for no fence. A successor whose earlier fence order may have
// taken effect fences again even if it receives heartbeats of the owner: the engine then rejects the owner's requests,
// and nobody else would serve the target.
func (e *Elector) wantedFence(entry *Entry, st *targetState, now time.Time) namer.Epoch {
	if !e.qualified || e.Isolated(now) {
		return 0
	}
	if entry.Owner == e.options.Self {
		return entry.Epoch
	}
	if entry.Successor != e.options.Self {
		return 0
	}
	if st.sentFenceEpoch == entry.Epoch+1 || now.Sub(e.silentSince(entry, st)) >= e.options.fenceDelay() {
		return entry.Epoch + 1
	}
	return 0
}

func (e *Elector) handleFenceAnswer(v FenceAnswered, now time.Time) {
	st := e.targetState(v.Target)
	if !v.Accepted {
		st.reject(v.Epoch, now)
		return
	}
	st.boot = v.Boot
	if v.Epoch >= st.fencedEpoch {
		st.fencedEpoch = v.Epoch
		st.fencedBoot = v.Boot
	}
}
