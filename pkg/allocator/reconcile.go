package allocator

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// confirmAfter is the number of consecutive lists with more use than a recipient reports after which the recipient is
// asked which of its requests it knows.
const confirmAfter = 2

// reconcile compares the engine's list with what this owner allocated. It ignores a list that was requested before the
// last one applied, because its answer arrived late.
func (a *Allocator) reconcile(v RequestsListed, now time.Time) []Action {
	if v.Requested.Before(a.listedAt) {
		return nil
	}
	a.listedAt = v.Requested
	if v.Boot != a.boot {
		a.handleRestart(v.Boot, now)
	}
	clear(a.listedRequests)
	for _, q := range v.Requests {
		a.listedRequests[q.Request] = q
	}
	a.reconcileReservations(v.Requested, now)
	a.countUse(v.Requests)
	for _, r := range a.recipients {
		r.dropExpiredGrants(v.Requested)
	}
	if !v.Requested.Before(a.shareRaisedAt) {
		a.confirmedShare = a.share
	}
	return append(a.cancelLost(), a.confirmExcess()...)
}

// handleRestart drops all grants and reservations: the engine's memory is empty, and quotas and reservations carry the
// boot id, which their holders check on each connection.
func (a *Allocator) handleRestart(boot string, now time.Time) {
	first := a.boot == ""
	a.boot = boot
	clear(a.reserved)
	for _, r := range a.recipients {
		r.grants = nil
	}
	a.ramp.reset(now)
	if first && boot == a.knownBoot {
		a.ramp.warmShare = max(a.ramp.warmShare, a.knownWarm)
	}
}

// reconcileReservations drops reservations whose request has ended or did not start in time.
func (a *Allocator) reconcileReservations(requested, now time.Time) {
	for id, v := range a.reserved {
		running, ok := a.listedRequests[id]
		if !ok && v.endedBy(requested) {
			delete(a.reserved, id)
			continue
		}
		if ok {
			v.seenAt = now
			v.prefilling = v.prefilling && running.ProducedTokens == 0
			v.tokens = max(v.tokens, running.ReservedTokens)
		}
	}
}

// endedBy reports whether a list without the request shows that the request has ended. Engines may build lists in
// another order than requested, so the list must have been requested after the answer that showed the request, or
// after the time by which it had to start.
func (v *reservation) endedBy(requested time.Time) bool {
	if !v.seenAt.IsZero() && !requested.Before(v.seenAt) {
		return true
	}
	return !requested.Before(v.expires)
}

// countUse adds up the listed requests without a one-off reservation, by recipient. Requests under an epoch that this
// owner never had were admitted by another owner and count as foreign.
func (a *Allocator) countUse(requests []RunningRequest) {
	a.foreignTokens = 0
	for _, r := range a.recipients {
		r.listedTokens = 0
	}
	for _, q := range requests {
		if _, ok := a.reserved[q.Request]; ok {
			continue
		}
		if a.epochs[q.Epoch] {
			a.recipient(q.Holder).listedTokens += q.ReservedTokens
			continue
		}
		a.foreignTokens += q.ReservedTokens
	}
}

func (a *Allocator) handleHolderLost(h namer.Holder, now time.Time) []Action {
	a.lostSince[h] = now
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if w.request.From != h {
			kept = append(kept, w)
		}
	}
	a.waiting = kept
	return a.cancelLost()
}

func (a *Allocator) cancelLost() []Action {
	if len(a.lostSince) == 0 || a.share == 0 {
		return nil
	}
	var actions []Action
	for _, id := range sortedRequests(a.listedRequests) {
		if a.isLost(a.listedRequests[id].Holder) {
			actions = append(actions, a.cancel(id, HolderGone))
		}
	}
	return actions
}

func (a *Allocator) cancel(id namer.Request, reason CancelReason) Action {
	return CancelRequest{
		Target:  a.options.Target,
		Request: id,
		Reason:  reason,
	}
}

// confirmExcess asks recipients about their requests if the engine keeps listing more use than they report.
func (a *Allocator) confirmExcess() []Action {
	var actions []Action
	for _, h := range a.sortedRecipients() {
		r := a.recipients[h]
		if r.listedTokens <= r.usedTokens || a.isLost(h) || a.share == 0 {
			r.excessLists = 0
			continue
		}
		r.excessLists++
		if r.excessLists >= confirmAfter {
			r.excessLists = 0
			actions = append(actions, ConfirmRequests{
				Holder:   h,
				Target:   a.options.Target,
				Requests: a.requestsOf(h),
			})
		}
	}
	return actions
}

func (a *Allocator) requestsOf(h namer.Holder) []namer.Request {
	var requests []namer.Request
	for _, id := range sortedRequests(a.listedRequests) {
		if a.listedRequests[id].Holder == h {
			requests = append(requests, id)
		}
	}
	return requests
}

func (a *Allocator) cancelUnknown(v RequestsNotKnown) []Action {
	var actions []Action
	for _, id := range v.Requests {
		if q, ok := a.listedRequests[id]; ok && q.Holder == v.Holder && a.share > 0 {
			actions = append(actions, a.cancel(id, UnknownToHolder))
		}
	}
	return actions
}

func (a *Allocator) sortedRecipients() []namer.Holder {
	holders := make([]namer.Holder, 0, len(a.recipients))
	for h := range a.recipients {
		holders = append(holders, h)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].String() < holders[j].String() })
	return holders
}

// handleLoad ignores reports with another boot id: only the list changes the boot id, because load reports lag.
func (a *Allocator) handleLoad(v LoadReported, now time.Time) {
	if v.Boot != a.boot {
		return
	}
	a.queueTokens = v.QueueTokens
	a.ramp.report(v.Cold, v.Age, now)
}
