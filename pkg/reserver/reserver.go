package reserver

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

const (
	// shortPrefillTokens is the largest prefill of a short request, in tokens.
	shortPrefillTokens = 8_000
	// longPrefillTokens is the largest prefill under a quota, in tokens; the owner admits longer ones one at a time.
	longPrefillTokens = 64_000
	// nonShortShare is the share of a quota that medium and long requests together may hold.
	nonShortShare = 0.85
	// answerMargin is the time after the end of the wait at which the answer of an owner counts as lost.
	answerMargin = time.Second
)

// Room is the free part of the quota on one target, in tokens.
type Room struct {
	MemoryTokens  int
	PrefillTokens int
	// NonShortTokens is the part of MemoryTokens that medium and long requests may use.
	NonShortTokens int
	Epoch          namer.Epoch
	Boot           string
}

// Demand is the memory of one target that this instance uses, and that it lacked, in tokens.
type Demand struct {
	Target       namer.Target
	UsedTokens   int
	WantedTokens int
}

// Reserver tracks, for one recipient, quotas and reservations on all targets.
type Reserver struct {
	targets  map[namer.Target]*target
	attempts map[namer.Request]*attempt
	// awaitingOwner holds the attempts that wait for an owner's answer.
	awaitingOwner map[namer.Request]*attempt
	// lastAppliedMessages holds, by owner, the number of the last message whose quotas were applied.
	lastAppliedMessages map[namer.Holder]int64
}

// target is the state of one target: its owner, the current quota and the use of attempts.
type target struct {
	owner      namer.Holder
	quota      Quota
	quotaOwner namer.Holder
	// lastNumbers holds the number of the last message of each owner about this target.
	lastNumbers map[namer.Holder]int64
	// expires is when the quota ends.
	expires      time.Time
	usageByOwner map[namer.Holder]*usage
	// unmetTokens is the sum of the tokens that did not fit into the quota since the last report of the demand.
	unmetTokens int
}

// usage is the sum of tokens that attempts hold under the quotas of one owner.
type usage struct {
	memory   int
	nonShort int
	prefill  int
}

// attempt is one attempt of a request on one target or on a group.
type attempt struct {
	id namer.Request
	// tokens and prefill are the memory and the prefill on each target, in tokens.
	tokens  int
	prefill int
	// wait is the limit of the wait for each one-off reservation.
	wait    time.Duration
	targets []namer.Target
	// allocations are made in the order of targets; only the last one may be pending.
	allocations []*allocation
}

// allocation is what an attempt holds, or has asked for, on one target.
type allocation struct {
	target namer.Target
	// owner is the process that granted the memory or was asked for it.
	owner  namer.Holder
	oneOff bool
	// askedAt is when the owner was asked; pending is set until it answers.
	askedAt time.Time
	pending bool
	epoch   namer.Epoch
	boot    string
	// expires is when a one-off reservation ends unless the attempt has started.
	expires time.Time
	// prefill is the part of the quota's prefill tokens that the attempt uses; it is 0 once the first token has arrived.
	prefill int
}

// New returns a reserver without any quota.
func New() *Reserver {
	return &Reserver{
		targets:             map[namer.Target]*target{},
		attempts:            map[namer.Request]*attempt{},
		awaitingOwner:       map[namer.Request]*attempt{},
		lastAppliedMessages: map[namer.Holder]int64{},
	}
}

// Handle applies one event, at a time of this instance's clock, and returns the actions to carry out.
func (r *Reserver) Handle(event Event, now time.Time) []Action {
	switch v := event.(type) {
	case QuotasReceived:
		r.setQuotas(v)
	case OwnerChanged:
		r.target(v.Target).owner = v.Owner
	case Reserve:
		return r.reserve(v.Request, []namer.Target{v.Target}, v.Tokens, v.PrefillTokens, v.Wait, now)
	case ReserveGroup:
		return r.reserve(v.Request, sortedTargets(v.Targets), v.Tokens, v.PrefillTokens, v.Wait, now)
	case OwnerAnswered:
		return r.handleOwnerAnswer(v, now)
	case Start:
		return r.start(v, now)
	case PrefillDone:
		r.endPrefill(v)
	case Release:
		return r.release(v.Request)
	case TargetRestarted:
		return r.handleRestart(v)
	case Tick:
		return r.refuseUnanswered(now)
	}
	return nil
}

func (r *Reserver) target(id namer.Target) *target {
	t, ok := r.targets[id]
	if !ok {
		t = &target{
			lastNumbers:  map[namer.Holder]int64{},
			usageByOwner: map[namer.Holder]*usage{},
		}
		r.targets[id] = t
	}
	return t
}

// setQuotas replaces quotas by those of a newer message. If two owners both allocate the target, the quota with the
// higher epoch applies until it expires.
func (r *Reserver) setQuotas(v QuotasReceived) {
	if v.Number < r.lastAppliedMessages[v.From] {
		return
	}
	r.lastAppliedMessages[v.From] = v.Number
	for _, q := range v.Quotas {
		t := r.target(q.Target)
		if v.Number <= t.lastNumbers[v.From] {
			continue
		}
		if q.Epoch < t.quota.Epoch && v.Requested.Before(t.expires) {
			continue
		}
		if v.From != t.quotaOwner {
			t.forgetOtherOwners()
		}
		t.lastNumbers[v.From] = v.Number
		t.quota = q
		t.quotaOwner = v.From
		t.expires = v.Requested.Add(q.Valid)
	}
}

// LastAppliedMessage returns the number of the last message of an owner whose quotas were applied; older messages are
// ignored from then on. It is reported together with the demand, so that the owner can end earlier quotas before they
// expire.
func (r *Reserver) LastAppliedMessage(owner namer.Holder) int64 {
	return r.lastAppliedMessages[owner]
}

// allocatingOwner returns the process to ask for memory: the source of a valid quota, which may be a successor that already
// allocates although the table does not name it as owner yet, or else the owner in the table.
func (t *target) allocatingOwner(now time.Time) namer.Holder {
	if now.Before(t.expires) {
		return t.quotaOwner
	}
	return t.owner
}

// forgetOtherOwners drops the message numbers of all owners except the last one, whose late messages may still arrive.
func (t *target) forgetOtherOwners() {
	for h := range t.lastNumbers {
		if h != t.quotaOwner {
			delete(t.lastNumbers, h)
		}
	}
}

// Room returns the free part of the quota on a target, or zero without a valid quota.
func (r *Reserver) Room(id namer.Target, now time.Time) Room {
	t, ok := r.targets[id]
	if !ok || !now.Before(t.expires) {
		return Room{}
	}
	u := t.usageOf(t.quotaOwner)
	nonShort := int(float64(t.quota.MemoryTokens)*nonShortShare) - u.nonShort
	memory := max(0, t.quota.MemoryTokens-u.memory)
	return Room{
		MemoryTokens:   memory,
		PrefillTokens:  max(0, t.quota.PrefillTokens-u.prefill),
		NonShortTokens: max(0, min(memory, nonShort)),
		Epoch:          t.quota.Epoch,
		Boot:           t.quota.Boot,
	}
}

func (t *target) usageOf(owner namer.Holder) usage {
	if u, ok := t.usageByOwner[owner]; ok {
		return *u
	}
	return usage{}
}

// Demand returns the demand to report to an owner, sorted by target. Tokens that did not fit since the last report
// count as wanted in one report only.
func (r *Reserver) Demand(owner namer.Holder, now time.Time) []Demand {
	var demand []Demand
	for id, t := range r.targets {
		u := t.usageOf(owner)
		asked := t.allocatingOwner(now) == owner
		if !asked && u.memory == 0 {
			continue
		}
		d := Demand{
			Target:     id,
			UsedTokens: u.memory,
		}
		if asked {
			d.WantedTokens = t.unmetTokens
			t.unmetTokens = 0
		}
		demand = append(demand, d)
	}
	sort.Slice(demand, func(i, j int) bool { return demand[i].Target < demand[j].Target })
	return demand
}

// AttemptCount returns the number of attempts that hold memory or wait for it.
func (r *Reserver) AttemptCount() int {
	return len(r.attempts)
}

// HasAttempt reports whether the attempt holds memory or waits for it at this instance; owners ask for this to find
// requests without a holder.
func (r *Reserver) HasAttempt(request namer.Request) bool {
	_, ok := r.attempts[request]
	return ok
}

func (r *Reserver) reserve(id namer.Request, targets []namer.Target, tokens, prefill int, wait time.Duration, now time.Time) []Action {
	if _, ok := r.attempts[id]; ok || len(targets) == 0 {
		return []Action{refused(id, "", refuser.MalformedRequest)}
	}
	a := &attempt{
		id:      id,
		tokens:  tokens,
		prefill: prefill,
		wait:    wait,
		targets: targets,
	}
	r.attempts[id] = a
	return r.acquire(a, now)
}

// acquire allocates on the remaining targets in ascending order, so that two groups can't deadlock. It stops at a target
// whose owner must be asked, and continues with the answer.
func (r *Reserver) acquire(a *attempt, now time.Time) []Action {
	for len(a.allocations) < len(a.targets) {
		id := a.targets[len(a.allocations)]
		t := r.target(id)
		if r.fitsQuota(id, a, now) {
			r.takeQuota(t, id, a)
			continue
		}
		t.unmetTokens += a.tokens
		owner := t.allocatingOwner(now)
		if a.wait <= 0 || owner.IsZero() {
			return append(r.release(a.id), refused(a.id, id, refuser.NoTarget))
		}
		return r.askOwner(owner, id, a, now)
	}
	return []Action{granted(a)}
}

func (r *Reserver) fitsQuota(id namer.Target, a *attempt, now time.Time) bool {
	room := r.Room(id, now)
	memory := room.MemoryTokens
	if a.prefill > shortPrefillTokens {
		memory = room.NonShortTokens
	}
	return a.prefill <= longPrefillTokens && a.tokens <= memory && a.prefill <= room.PrefillTokens
}

func (r *Reserver) takeQuota(t *target, id namer.Target, a *attempt) {
	u, ok := t.usageByOwner[t.quotaOwner]
	if !ok {
		u = &usage{}
		t.usageByOwner[t.quotaOwner] = u
	}
	u.memory += a.tokens
	u.prefill += a.prefill
	if a.prefill > shortPrefillTokens {
		u.nonShort += a.tokens
	}
	a.allocations = append(a.allocations, &allocation{
		target:  id,
		owner:   t.quotaOwner,
		epoch:   t.quota.Epoch,
		boot:    t.quota.Boot,
		prefill: a.prefill,
	})
}

func (r *Reserver) askOwner(owner namer.Holder, id namer.Target, a *attempt, now time.Time) []Action {
	a.allocations = append(a.allocations, &allocation{
		target:  id,
		owner:   owner,
		oneOff:  true,
		askedAt: now,
		pending: true,
	})
	r.awaitingOwner[a.id] = a
	return []Action{AskOwner{
		Owner:         owner,
		Request:       a.id,
		Target:        id,
		Tokens:        a.tokens,
		PrefillTokens: a.prefill,
		Wait:          a.wait,
	}}
}

// handleOwnerAnswer continues or ends an attempt that waits for an owner. It releases a grant for which no attempt waits.
func (r *Reserver) handleOwnerAnswer(v OwnerAnswered, now time.Time) []Action {
	a, ok := r.awaitingOwner[v.Request]
	if !ok || a.allocations[len(a.allocations)-1].target != v.Target {
		if !v.Granted || v.Owner.IsZero() {
			return nil
		}
		return []Action{ReleaseAtOwner{
			Owner:   v.Owner,
			Request: v.Request,
			Target:  v.Target,
		}}
	}
	delete(r.awaitingOwner, v.Request)
	al := a.allocations[len(a.allocations)-1]
	al.pending = false
	if v.Granted {
		al.epoch, al.boot, al.expires = v.Epoch, v.Boot, al.askedAt.Add(v.Valid)
		return r.acquire(a, now)
	}
	if !v.Unknown {
		a.allocations = a.allocations[:len(a.allocations)-1]
	}
	reason := v.Reason
	if reason == "" {
		reason = refuser.NoTarget
	}
	return append(r.release(a.id), refused(a.id, v.Target, reason))
}

// refuseUnanswered refuses attempts whose owner did not answer in time.
func (r *Reserver) refuseUnanswered(now time.Time) []Action {
	var late []*attempt
	for _, a := range r.awaitingOwner {
		if now.Sub(a.allocations[len(a.allocations)-1].askedAt) > a.wait+answerMargin {
			late = append(late, a)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].id < late[j].id })
	var actions []Action
	for _, a := range late {
		id := a.allocations[len(a.allocations)-1].target
		actions = append(actions, r.release(a.id)...)
		actions = append(actions, refused(a.id, id, refuser.NoTarget))
	}
	return actions
}

// start checks the allocation right before the attempt is sent, since it may be void by then: the quota may have expired
// or shrunk, and the engine may have restarted.
func (r *Reserver) start(v Start, now time.Time) []Action {
	al := r.allocation(v.Request, v.Target)
	if al == nil || al.pending || al.boot != v.Boot {
		return []Action{StartDenied(v.attemptTarget())}
	}
	t := r.target(v.Target)
	if al.oneOff {
		if !now.Before(al.expires) {
			return []Action{StartDenied(v.attemptTarget())}
		}
	} else if !t.covers(al, now) {
		return []Action{StartDenied(v.attemptTarget())}
	}
	if !al.oneOff {
		al.epoch = t.quota.Epoch
	}
	return []Action{StartAllowed{
		Request: v.Request,
		Target:  v.Target,
		Epoch:   al.epoch,
	}}
}

// covers reports whether the current quota is valid, has the owner and boot id of the allocation and covers all usage.
func (t *target) covers(al *allocation, now time.Time) bool {
	u := t.usageOf(t.quotaOwner)
	return al.owner == t.quotaOwner && al.boot == t.quota.Boot && now.Before(t.expires) &&
		u.memory <= t.quota.MemoryTokens && u.prefill <= t.quota.PrefillTokens
}

type attemptTarget struct {
	Request namer.Request
	Target  namer.Target
}

func (s Start) attemptTarget() attemptTarget {
	return attemptTarget{
		Request: s.Request,
		Target:  s.Target,
	}
}

func (r *Reserver) allocation(request namer.Request, id namer.Target) *allocation {
	a, ok := r.attempts[request]
	if !ok {
		return nil
	}
	for _, al := range a.allocations {
		if al.target == id {
			return al
		}
	}
	return nil
}

func (r *Reserver) endPrefill(v PrefillDone) {
	al := r.allocation(v.Request, v.Target)
	if al == nil || al.oneOff {
		return
	}
	if u, ok := r.target(v.Target).usageByOwner[al.owner]; ok {
		u.prefill -= al.prefill
	}
	al.prefill = 0
}

// release releases everything that an attempt holds; a second release of the same attempt has no effect.
func (r *Reserver) release(id namer.Request) []Action {
	a, ok := r.attempts[id]
	if !ok {
		return nil
	}
	delete(r.attempts, id)
	delete(r.awaitingOwner, id)
	var actions []Action
	for _, al := range a.allocations {
		if al.oneOff {
			actions = append(actions, ReleaseAtOwner{
				Owner:   al.owner,
				Request: id,
				Target:  al.target,
			})
			continue
		}
		r.target(al.target).releaseUsage(a, al)
	}
	return actions
}

func (t *target) releaseUsage(a *attempt, al *allocation) {
	u, ok := t.usageByOwner[al.owner]
	if !ok {
		return
	}
	u.memory -= a.tokens
	u.prefill -= al.prefill
	if a.prefill > shortPrefillTokens {
		u.nonShort -= a.tokens
	}
	if u.memory == 0 {
		delete(t.usageByOwner, al.owner)
	}
}

// handleRestart drops allocations that were made on the engine before its restart.
func (r *Reserver) handleRestart(v TargetRestarted) []Action {
	t := r.target(v.Target)
	if t.quota.Boot != v.Boot {
		t.quota = Quota{}
		t.expires = time.Time{}
	}
	var lost []*attempt
	for _, a := range r.attempts {
		al := r.allocation(a.id, v.Target)
		if al != nil && !al.pending && al.boot != v.Boot {
			lost = append(lost, a)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	var actions []Action
	for _, a := range lost {
		actions = append(actions, r.dropAllocation(a, v.Target)...)
	}
	return actions
}

func (r *Reserver) dropAllocation(a *attempt, id namer.Target) []Action {
	actions := []Action{TargetLost{
		Request: a.id,
		Target:  id,
	}}
	if len(a.targets) == 1 {
		return append(r.release(a.id), actions...)
	}
	if _, ok := r.awaitingOwner[a.id]; ok {
		return append(r.release(a.id), refused(a.id, id, refuser.TargetFailed))
	}
	for i, al := range a.allocations {
		if al.target != id {
			continue
		}
		if al.oneOff {
			actions = append(actions, ReleaseAtOwner{
				Owner:   al.owner,
				Request: a.id,
				Target:  id,
			})
		} else {
			r.target(id).releaseUsage(a, al)
		}
		a.allocations = append(a.allocations[:i:i], a.allocations[i+1:]...)
		break
	}
	return actions
}

func granted(a *attempt) Action {
	grants := make([]Grant, 0, len(a.allocations))
	for _, al := range a.allocations {
		grants = append(grants, Grant{
			Target: al.target,
			Epoch:  al.epoch,
			Boot:   al.boot,
			Tokens: a.tokens,
		})
	}
	return Granted{
		Request: a.id,
		Grants:  grants,
	}
}

func refused(id namer.Request, t namer.Target, reason refuser.Reason) Action {
	return Refused{
		Request: id,
		Target:  t,
		Reason:  reason,
	}
}

func sortedTargets(targets []namer.Target) []namer.Target {
	sorted := append([]namer.Target(nil), targets...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted
}
