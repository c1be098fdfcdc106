package elector

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Authority returns what this instance may allocate on a target.
func (e *Elector) Authority(target namer.Target, now time.Time) Authority {
	e.checkQualified(now)
	return e.authority(target, now)
}

func (e *Elector) authority(target namer.Target, now time.Time) Authority {
	entry, ok := e.table.Entries[target]
	if !ok || e.Isolated(now) || e.leaving {
		return Authority{}
	}
	r := e.roles[target]
	var a Authority
	switch {
	case entry.Owner == e.options.Self:
		a = e.ownerAuthority(target, entry, r, now)
	case entry.Successor == e.options.Self && e.qualified:
		a = e.successorAuthority(entry, r, now)
	}
	if a.Share == 0 {
		return Authority{}
	}
	lapse := e.lastTick.Add(e.options.TickEvery + e.options.PausedAfter)
	if a.Until.IsZero() || a.Until.After(lapse) {
		a.Until = lapse
	}
	return a
}

func (e *Elector) ownerAuthority(target namer.Target, entry *Entry, r *role, now time.Time) Authority {
	promise, fresh := e.promise(entry, r, now)
	if !r.releasedAt.IsZero() || (!e.qualified && !fresh) {
		return Authority{}
	}
	a := Authority{
		Share: halfShare,
		Epoch: entry.Epoch,
	}
	switch {
	case r.fencing:
		if !r.fencedWith(entry.Epoch) || r.rejected >= entry.Epoch {
			return Authority{}
		}
		a.Share = fullShare
	case entry.Previous != nil || e.doubt[target]:
	case entry.Successor.IsZero():
		a.Share = fullShare
	case fresh:
		a.Share = fullShare
		a.Until = promise
	}
	return a
}

// promise returns the end of the successor's promise. An echo counts only if the successor knew the present
// entry, and if it did not know a newer table, in which it may itself be the owner.
func (e *Elector) promise(entry *Entry, r *role, now time.Time) (time.Time, bool) {
	if entry.Successor.IsZero() {
		return time.Time{}, false
	}
	last, ok := e.echoed[entry.Successor]
	if !ok || last.version < r.learnedVersion || last.version > e.version {
		return time.Time{}, false
	}
	if !e.qualified && last.sentAt.Before(e.disqualifiedAt) {
		return time.Time{}, false
	}
	until := last.sentAt.Add(e.options.PromiseValid)
	return until, now.Before(until)
}

func (e *Elector) successorAuthority(entry *Entry, r *role, now time.Time) Authority {
	a := Authority{
		Epoch: entry.Epoch + 1,
	}
	if r.fencing {
		if r.fencedWith(a.Epoch) && r.rejected < a.Epoch {
			a.Share = fullShare
		}
		return a
	}
	if entry.Previous == nil && now.Sub(e.silentSince(entry, r)) >= e.options.silence() {
		a.Share = halfShare
	}
	return a
}

// fencedWith reports whether the engine, since its last start, accepted a fence order with the epoch.
func (r *role) fencedWith(epoch namer.Epoch) bool {
	return r.fencedEpoch == epoch && r.fencedBoot == r.boot && r.boot != ""
}

func (r *role) reject(epoch namer.Epoch, now time.Time) {
	if epoch > r.rejected {
		r.rejected = epoch
		r.rejectedAt = now
	}
}

// silentSince is the last moment at which the owner may have been given a promise.
func (e *Elector) silentSince(entry *Entry, r *role) time.Time {
	since := later(e.heard[entry.Owner].at, r.learnedAt)
	return later(since, e.disqualifiedAt)
}

// announce reports authority that changed, or all that this instance holds if renew is set.
func (e *Elector) announce(now time.Time, renew bool) []Action {
	var actions []Action
	for _, id := range e.order {
		entry, ok := e.table.Entries[id]
		if !ok {
			continue
		}
		r := e.roles[id]
		if r.given.Share == 0 && entry.Owner != e.options.Self && entry.Successor != e.options.Self {
			continue
		}
		a := e.authority(id, now)
		if a.Share > 0 && entry.Owner != e.options.Self {
			r.usedUntil = a.Until
		}
		if changed := a.Share != r.given.Share || a.Epoch != r.given.Epoch; !changed && (!renew || a.Share == 0) {
			continue
		}
		r.given = a
		actions = append(actions, SetAuthority{
			Target: id,
			Share:  a.Share,
			Epoch:  a.Epoch,
			Until:  a.Until,
		})
	}
	return actions
}

// fence sends the orders that this instance's authority over fenced targets rests on.
func (e *Elector) fence(now time.Time) []Action {
	var actions []Action
	for _, id := range e.order {
		entry, ok := e.table.Entries[id]
		r := e.roles[id]
		if !ok || !r.fencing || e.leaving || now.Sub(r.fenceSentAt) < retryEvery {
			continue
		}
		epoch := e.wantedFence(entry, r, now)
		if epoch == 0 || r.fencedWith(epoch) || r.rejected >= epoch {
			continue
		}
		r.fenceSentAt = now
		r.fenceTried = max(r.fenceTried, epoch)
		actions = append(actions, FenceTarget{
			Target: id,
			Epoch:  epoch,
		})
	}
	return actions
}

// wantedFence returns the epoch to fence with. A successor that may have fenced the target already goes on,
// because the owner is then shut out and nobody else serves the target.
func (e *Elector) wantedFence(entry *Entry, r *role, now time.Time) namer.Epoch {
	if !e.qualified || e.Isolated(now) {
		return 0
	}
	if entry.Owner == e.options.Self {
		return entry.Epoch
	}
	if entry.Successor != e.options.Self {
		return 0
	}
	if r.fenceTried == entry.Epoch+1 || now.Sub(e.silentSince(entry, r)) >= e.options.fenceWait() {
		return entry.Epoch + 1
	}
	return 0
}

func (e *Elector) endFence(v FenceAnswered, now time.Time) {
	r := e.role(v.Target)
	if !v.Accepted {
		r.reject(v.Epoch, now)
		return
	}
	r.boot = v.Boot
	if v.Epoch >= r.fencedEpoch {
		r.fencedEpoch = v.Epoch
		r.fencedBoot = v.Boot
	}
}
