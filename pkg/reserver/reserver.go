package reserver

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

const (
	// shortPrefillTokens is the most that a short request prefills.
	shortPrefillTokens = 8_000
	// longPrefillTokens is the most that is prefilled under a quota; the owner admits longer ones one by one.
	longPrefillTokens = 64_000
	// longerShare is the share of a quota that requests other than short ones may hold.
	longerShare = 0.85
	// answerMargin is the time beyond the wait after which an answer of an owner counts as lost.
	answerMargin = time.Second
)

// Room is what is free under the quota of one target.
type Room struct {
	MemoryTokens  int
	PrefillTokens int
	// LongTokens is the part of MemoryTokens that requests other than short ones may use.
	LongTokens int
	Epoch      namer.Epoch
	Boot       string
}

// Demand is what this instance uses and wants of one target.
type Demand struct {
	Target       namer.Target
	UsedTokens   int
	WantedTokens int
}

// Reserver is the recipient's side of all targets.
type Reserver struct {
	targets  map[namer.Target]*target
	attempts map[namer.Request]*attempt
	// asking holds the attempts that wait for an owner.
	asking map[namer.Request]*attempt
	// adopted is the number of the last message of each owner whose quotas were taken.
	adopted map[namer.Holder]int64
}

// target is what this instance holds on one target.
type target struct {
	owner namer.Holder
	quota Quota
	from  namer.Holder
	// numbers holds the number of the last message of each owner.
	numbers map[namer.Holder]int64
	expires time.Time
	uses    map[namer.Holder]*use
	missed  int
}

// use is what attempts hold under the quotas of one owner.
type use struct {
	memory  int
	longer  int
	prefill int
}

// attempt is one attempt of a request on one target or on a group.
type attempt struct {
	id      namer.Request
	tokens  int
	prefill int
	wait    time.Duration
	targets []namer.Target
	parts   []*part
}

// part is what an attempt holds, or asks for, on one target.
type part struct {
	target namer.Target
	// owner granted the part.
	owner  namer.Holder
	oneOff bool
	// asked is when the owner was asked; pending is set until it answers.
	asked   time.Time
	pending bool
	epoch   namer.Epoch
	boot    string
	expires time.Time
	prefill int
}

// New returns a reserver that holds no quota.
func New() *Reserver {
	return &Reserver{
		targets:  map[namer.Target]*target{},
		attempts: map[namer.Request]*attempt{},
		asking:   map[namer.Request]*attempt{},
		adopted:  map[namer.Holder]int64{},
	}
}

// Handle applies one event at a time of the own clock and returns what is to be done.
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
		return r.answer(v, now)
	case Start:
		return r.start(v, now)
	case PrefillDone:
		r.endPrefill(v)
	case Release:
		return r.release(v.Request)
	case TargetRestarted:
		return r.restart(v)
	case Tick:
		return r.expireAsks(now)
	}
	return nil
}

func (r *Reserver) target(id namer.Target) *target {
	t, ok := r.targets[id]
	if !ok {
		t = &target{
			numbers: map[namer.Holder]int64{},
			uses:    map[namer.Holder]*use{},
		}
		r.targets[id] = t
	}
	return t
}

// setQuotas replaces quotas by those of a newer message. Of two owners that both allocate the target, the one
// with the higher epoch counts until its quota expires.
func (r *Reserver) setQuotas(v QuotasReceived) {
	if v.Number < r.adopted[v.From] {
		return
	}
	r.adopted[v.From] = v.Number
	for _, q := range v.Quotas {
		t := r.target(q.Target)
		if v.Number <= t.numbers[v.From] {
			continue
		}
		if q.Epoch < t.quota.Epoch && v.Requested.Before(t.expires) {
			continue
		}
		if v.From != t.from {
			t.forgetOwners()
		}
		t.numbers[v.From] = v.Number
		t.quota = q
		t.from = v.From
		t.expires = v.Requested.Add(q.Valid)
	}
}

// Adopted returns the number of the last message of an owner whose quotas were taken; earlier ones are never taken after it.
// It is reported together with the demand, so that the owner can end earlier quotas before they expire.
func (r *Reserver) Adopted(owner namer.Holder) int64 {
	return r.adopted[owner]
}

// allocatedBy is whom to ask for memory: the source of a valid quota, which may be a successor that acts before
// the table says so, or else the owner in the table.
func (t *target) allocatedBy(now time.Time) namer.Holder {
	if now.Before(t.expires) {
		return t.from
	}
	return t.owner
}

// forgetOwners keeps the numbers of the last owner only, whose late messages may still arrive.
func (t *target) forgetOwners() {
	for h := range t.numbers {
		if h != t.from {
			delete(t.numbers, h)
		}
	}
}

// Room returns what is free under the quota of a target.
func (r *Reserver) Room(id namer.Target, now time.Time) Room {
	t, ok := r.targets[id]
	if !ok || !now.Before(t.expires) {
		return Room{}
	}
	u := t.usedOf(t.from)
	longer := int(float64(t.quota.MemoryTokens)*longerShare) - u.longer
	memory := max(0, t.quota.MemoryTokens-u.memory)
	return Room{
		MemoryTokens:  memory,
		PrefillTokens: max(0, t.quota.PrefillTokens-u.prefill),
		LongTokens:    max(0, min(memory, longer)),
		Epoch:         t.quota.Epoch,
		Boot:          t.quota.Boot,
	}
}

func (t *target) usedOf(owner namer.Holder) use {
	if u, ok := t.uses[owner]; ok {
		return *u
	}
	return use{}
}

// Demand returns the demand to report to an owner, by ascending target. What did not fit since the last
// report counts as wanted once.
func (r *Reserver) Demand(owner namer.Holder, now time.Time) []Demand {
	var demand []Demand
	for id, t := range r.targets {
		u := t.usedOf(owner)
		asked := t.allocatedBy(now) == owner
		if !asked && u.memory == 0 {
			continue
		}
		d := Demand{
			Target:     id,
			UsedTokens: u.memory,
		}
		if asked {
			d.WantedTokens = t.missed
			t.missed = 0
		}
		demand = append(demand, d)
	}
	sort.Slice(demand, func(i, j int) bool { return demand[i].Target < demand[j].Target })
	return demand
}

// Held returns the number of attempts that hold or ask for memory.
func (r *Reserver) Held() int {
	return len(r.attempts)
}

// Knows reports whether the attempt holds or asks for memory here; it answers an owner's question.
func (r *Reserver) Knows(request namer.Request) bool {
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

// acquire takes the remaining targets in ascending order, so that two groups cannot wait for each other.
func (r *Reserver) acquire(a *attempt, now time.Time) []Action {
	for len(a.parts) < len(a.targets) {
		id := a.targets[len(a.parts)]
		t := r.target(id)
		if r.fitsQuota(id, a, now) {
			r.takeQuota(t, id, a)
			continue
		}
		t.missed += a.tokens
		owner := t.allocatedBy(now)
		if a.wait <= 0 || owner.IsZero() {
			return append(r.release(a.id), refused(a.id, id, refuser.NoTarget))
		}
		return r.ask(owner, id, a, now)
	}
	return []Action{granted(a)}
}

func (r *Reserver) fitsQuota(id namer.Target, a *attempt, now time.Time) bool {
	room := r.Room(id, now)
	memory := room.MemoryTokens
	if a.prefill > shortPrefillTokens {
		memory = room.LongTokens
	}
	return a.prefill <= longPrefillTokens && a.tokens <= memory && a.prefill <= room.PrefillTokens
}

func (r *Reserver) takeQuota(t *target, id namer.Target, a *attempt) {
	u, ok := t.uses[t.from]
	if !ok {
		u = &use{}
		t.uses[t.from] = u
	}
	u.memory += a.tokens
	u.prefill += a.prefill
	if a.prefill > shortPrefillTokens {
		u.longer += a.tokens
	}
	a.parts = append(a.parts, &part{
		target:  id,
		owner:   t.from,
		epoch:   t.quota.Epoch,
		boot:    t.quota.Boot,
		prefill: a.prefill,
	})
}

func (r *Reserver) ask(owner namer.Holder, id namer.Target, a *attempt, now time.Time) []Action {
	a.parts = append(a.parts, &part{
		target:  id,
		owner:   owner,
		oneOff:  true,
		asked:   now,
		pending: true,
	})
	r.asking[a.id] = a
	return []Action{AskOwner{
		Owner:         owner,
		Request:       a.id,
		Target:        id,
		Tokens:        a.tokens,
		PrefillTokens: a.prefill,
		Wait:          a.wait,
	}}
}

// answer continues or ends an attempt that waits for an owner. A grant that nobody waits for is given back.
func (r *Reserver) answer(v OwnerAnswered, now time.Time) []Action {
	a, ok := r.asking[v.Request]
	if !ok || a.parts[len(a.parts)-1].target != v.Target {
		if !v.Granted || v.Owner.IsZero() {
			return nil
		}
		return []Action{ReleaseAtOwner{
			Owner:   v.Owner,
			Request: v.Request,
			Target:  v.Target,
		}}
	}
	delete(r.asking, v.Request)
	p := a.parts[len(a.parts)-1]
	p.pending = false
	if v.Granted {
		p.epoch, p.boot, p.expires = v.Epoch, v.Boot, p.asked.Add(v.Valid)
		return r.acquire(a, now)
	}
	if !v.Unknown {
		a.parts = a.parts[:len(a.parts)-1]
	}
	reason := v.Reason
	if reason == "" {
		reason = refuser.NoTarget
	}
	return append(r.release(a.id), refused(a.id, v.Target, reason))
}

// expireAsks ends attempts whose owner did not answer.
func (r *Reserver) expireAsks(now time.Time) []Action {
	var late []*attempt
	for _, a := range r.asking {
		if now.Sub(a.parts[len(a.parts)-1].asked) > a.wait+answerMargin {
			late = append(late, a)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].id < late[j].id })
	var actions []Action
	for _, a := range late {
		id := a.parts[len(a.parts)-1].target
		actions = append(actions, r.release(a.id)...)
		actions = append(actions, refused(a.id, id, refuser.NoTarget))
	}
	return actions
}

// start decides at the last moment, since memory reserved here may have been taken back by the owner: the quota
// may have expired or shrunk, and the engine may have restarted.
func (r *Reserver) start(v Start, now time.Time) []Action {
	p := r.part(v.Request, v.Target)
	if p == nil || p.pending || p.boot != v.Boot {
		return []Action{StartDenied(v.key())}
	}
	t := r.target(v.Target)
	if p.oneOff {
		if !now.Before(p.expires) {
			return []Action{StartDenied(v.key())}
		}
	} else if !t.covers(p, now) {
		return []Action{StartDenied(v.key())}
	}
	if !p.oneOff {
		p.epoch = t.quota.Epoch
	}
	return []Action{StartAllowed{
		Request: v.Request,
		Target:  v.Target,
		Epoch:   p.epoch,
	}}
}

// covers reports whether the present quota still covers all use under it.
func (t *target) covers(p *part, now time.Time) bool {
	u := t.usedOf(t.from)
	return p.owner == t.from && p.boot == t.quota.Boot && now.Before(t.expires) &&
		u.memory <= t.quota.MemoryTokens && u.prefill <= t.quota.PrefillTokens
}

type key struct {
	Request namer.Request
	Target  namer.Target
}

func (s Start) key() key {
	return key{
		Request: s.Request,
		Target:  s.Target,
	}
}

func (r *Reserver) part(request namer.Request, id namer.Target) *part {
	a, ok := r.attempts[request]
	if !ok {
		return nil
	}
	for _, p := range a.parts {
		if p.target == id {
			return p
		}
	}
	return nil
}

func (r *Reserver) endPrefill(v PrefillDone) {
	p := r.part(v.Request, v.Target)
	if p == nil || p.oneOff {
		return
	}
	if u, ok := r.target(v.Target).uses[p.owner]; ok {
		u.prefill -= p.prefill
	}
	p.prefill = 0
}

// release gives back everything an attempt holds; a second release of the same attempt finds nothing.
func (r *Reserver) release(id namer.Request) []Action {
	a, ok := r.attempts[id]
	if !ok {
		return nil
	}
	delete(r.attempts, id)
	delete(r.asking, id)
	var actions []Action
	for _, p := range a.parts {
		if p.oneOff {
			actions = append(actions, ReleaseAtOwner{
				Owner:   p.owner,
				Request: id,
				Target:  p.target,
			})
			continue
		}
		r.target(p.target).giveBack(a, p)
	}
	return actions
}

func (t *target) giveBack(a *attempt, p *part) {
	u, ok := t.uses[p.owner]
	if !ok {
		return
	}
	u.memory -= a.tokens
	u.prefill -= p.prefill
	if a.prefill > shortPrefillTokens {
		u.longer -= a.tokens
	}
	if u.memory == 0 {
		delete(t.uses, p.owner)
	}
}

// restart drops what was held on the engine before its restart.
func (r *Reserver) restart(v TargetRestarted) []Action {
	t := r.target(v.Target)
	if t.quota.Boot != v.Boot {
		t.quota = Quota{}
		t.expires = time.Time{}
	}
	var lost []*attempt
	for _, a := range r.attempts {
		p := r.part(a.id, v.Target)
		if p != nil && !p.pending && p.boot != v.Boot {
			lost = append(lost, a)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	var actions []Action
	for _, a := range lost {
		actions = append(actions, r.losePart(a, v.Target)...)
	}
	return actions
}

func (r *Reserver) losePart(a *attempt, id namer.Target) []Action {
	actions := []Action{Lost{
		Request: a.id,
		Target:  id,
	}}
	if len(a.targets) == 1 {
		return append(r.release(a.id), actions...)
	}
	if _, ok := r.asking[a.id]; ok {
		return append(r.release(a.id), refused(a.id, id, refuser.TargetFailed))
	}
	for i, p := range a.parts {
		if p.target != id {
			continue
		}
		if p.oneOff {
			actions = append(actions, ReleaseAtOwner{
				Owner:   p.owner,
				Request: a.id,
				Target:  id,
			})
		} else {
			r.target(id).giveBack(a, p)
		}
		a.parts = append(a.parts[:i:i], a.parts[i+1:]...)
		break
	}
	return actions
}

func granted(a *attempt) Action {
	grants := make([]Grant, 0, len(a.parts))
	for _, p := range a.parts {
		grants = append(grants, Grant{
			Target: p.target,
			Epoch:  p.epoch,
			Boot:   p.boot,
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
