package controller

import (
	"cmp"
	"time"

	"bergamothollow.example/bergamothollow/pkg/admitter"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

// reserve requests the memory for an admitted attempt.
func (t *traffic) reserve(admitted admitter.Admit, now time.Time) {
	a := t.attempts[admitted.Request.ID]
	if a == nil {
		t.admitter.Finish(now, admitted.Request.ID)
		return
	}
	a.stage = stageReserving
	a.admitted = admitted
	a.reservation = t.newID(a.admission.request)
	t.reserved[a.reservation] = a
	t.placer.Start(now, a.reservation, admitted.Decision)
	switch d := admitted.Decision.(type) {
	case placer.SingleTarget:
		a.class, a.estimate, a.uncachedTokens = d.Class, d.Estimate, d.UncachedTokens
		a.sendAt = now.Add(d.Notice)
		a.targets = []namer.Target{d.Target}
		t.control.reserverActions(t.control.reserver.Handle(reserver.Reserve{
			Request:       a.reservation,
			Target:        d.Target,
			Tokens:        d.Estimate.Tokens,
			PrefillTokens: d.UncachedTokens,
			Wait:          t.reserveWait(d.NeedsReservation, admitted.ReserveWait),
		}, now), now)
	case placer.Group:
		a.class, a.estimate = placer.Long, d.Estimate
		a.sendAt = now.Add(d.Notice)
		a.targets = nil
		for _, m := range d.Members {
			a.targets = append(a.targets, m.Target)
		}
		t.control.reserverActions(t.control.reserver.Handle(reserver.ReserveGroup{
			Request:       a.reservation,
			Targets:       a.targets,
			Tokens:        d.Members[0].Tokens,
			PrefillTokens: d.Members[0].Tokens,
			Wait:          t.reserveWait(true, admitted.ReserveWait),
		}, now), now)
	}
}

// minReserveWait allows for one round trip to the owner.
const minReserveWait = 100 * time.Millisecond

func (t *traffic) reserveWait(needed bool, wait time.Duration) time.Duration {
	if !needed {
		return 0
	}
	return max(wait, minReserveWait)
}

// handleReserveRefused requeues an attempt whose reservation was refused.
func (t *traffic) handleReserveRefused(refused reserver.Refused, now time.Time) {
	a := t.reserved[refused.Request]
	if a == nil {
		return
	}
	t.requeue(a, now)
}

func (t *traffic) requeue(a *attempt, now time.Time) {
	t.releaseReservation(a, reserver.Cancelled, now)
	t.admitter.Requeue(now, a.id, a.class)
	a.stage = stageQueued
}

// releaseReservation releases the reservation of an attempt.
func (t *traffic) releaseReservation(a *attempt, exit reserver.Exit, now time.Time) {
	delete(t.reserved, a.reservation)
	t.placer.Finish(a.reservation)
	t.control.reserverActions(t.control.reserver.Handle(reserver.Release{
		Request: a.reservation,
		Exit:    exit,
	}, now), now)
}

// mayStart asks the reserver again whether each part may start: the time in which the first part may start can
// expire while the later parts of a group are being reserved.
func (t *traffic) mayStart(g reserver.Granted, now time.Time) bool {
	for _, grant := range g.Grants {
		for _, a := range t.control.reserver.Handle(reserver.Start{
			Request: g.Request,
			Target:  grant.Target,
			Boot:    cmp.Or(t.control.bootIDs[grant.Target], grant.Boot),
		}, now) {
			if _, denied := a.(reserver.StartDenied); denied {
				return false
			}
			t.control.reserverActions([]reserver.Action{a}, now)
		}
	}
	return true
}

// startAttempt returns the placement to the caller once the attempt's memory is reserved, or requeues the attempt if it may
// no longer start.
func (t *traffic) startAttempt(g reserver.Granted, now time.Time) {
	a := t.reserved[g.Request]
	if a == nil {
		t.control.reserverActions(t.control.reserver.Handle(reserver.Release{
			Request: g.Request,
			Exit:    reserver.CallerGone,
		}, now), now)
		return
	}
	if !t.mayStart(g, now) {
		t.requeue(a, now)
		return
	}
	a.granted = g
	placement := t.newPlacement(a, g)
	placement.SendDelay = max(0, a.sendAt.Sub(now))
	a.stage = stageRunning
	a.admission.reply <- admissionResult{
		placement: placement,
	}
}

func (t *traffic) newPlacement(a *attempt, g reserver.Granted) *Placement {
	placement := &Placement{
		Attempt:       string(a.reservation),
		Priority:      a.admitted.Priority,
		Class:         a.class.String(),
		Holder:        t.control.options.Self.String(),
		FirstToken:    a.estimate.FirstToken(),
		TokenInterval: t.estimator.TokenInterval(a.targets[0]),
	}
	for _, grant := range g.Grants {
		placement.Parts = append(placement.Parts, Part{
			Target:  grant.Target,
			Address: t.control.targets[grant.Target].Address,
			Epoch:   grant.Epoch,
			Tokens:  grant.Tokens,
		})
	}
	return placement
}

// finish ends an attempt and frees everything that it holds.
func (t *traffic) finish(a *attempt, exit reserver.Exit, now time.Time) {
	delete(t.attempts, a.id)
	t.releaseReservation(a, exit, now)
	t.admitter.Finish(now, a.id)
	t.retryQueues(now)
}
