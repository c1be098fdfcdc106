package elector

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const (
	halfShare = 0.5
	fullShare = 1.0
	// clockMargin covers the difference of the rates of two clocks.
	clockMargin = 1.1
	// memberLostAfter is the time without a new number after which a member is not chosen for a role.
	memberLostAfter = 11 * time.Second
	// retryEvery spaces the repetition of orders and refused writes.
	retryEvery = time.Second
	// reclaimAfter gives the successor that fenced a target time to write its takeover.
	reclaimAfter = 5 * time.Second
	// assignAfter lets the members of a cell that starts as a whole be seen before targets are assigned.
	assignAfter = 4 * time.Second
	// settleTime is how long the set of live members must be unchanged before targets are moved.
	settleTime = 30 * time.Second
	// forgetAfter is far beyond every time after which news of a process matters.
	forgetAfter = 10 * time.Minute
	// sentKept bounds the numbers whose sending time is remembered.
	sentKept = 64
)

// Options are the constants of the elector.
type Options struct {
	Self namer.Holder
	// TickEvery is the interval of Tick.
	TickEvery time.Duration
	// PromiseValid is how long an echoed number supports its sender's authority.
	PromiseValid time.Duration
	// QuotaValid is how long a quota can be used after its grant.
	QuotaValid time.Duration
	// IsolatedAfter is the time without store and peers after which there is no authority.
	IsolatedAfter time.Duration
	// DisqualifiedAfter is the time without store and peers after which authority returns only through the
	// table or a promise; it is shorter than the time after which others may hold this instance for gone.
	DisqualifiedAfter time.Duration
	// PausedAfter is the delay of a tick that counts as a pause of the process.
	PausedAfter time.Duration
}

// DefaultOptions returns the constants of the design page.
func DefaultOptions(self namer.Holder) Options {
	return Options{
		Self:              self,
		TickEvery:         250 * time.Millisecond,
		PromiseValid:      6 * time.Second,
		QuotaValid:        6 * time.Second,
		IsolatedAfter:     3 * time.Second,
		DisqualifiedAfter: 6 * time.Second,
		PausedAfter:       2 * time.Second,
	}
}

// quotaGone is the time after which a quota granted now is expired on every clock.
func (o Options) quotaGone() time.Duration {
	return time.Duration(float64(o.QuotaValid) * clockMargin)
}

// silence is the time without news of a process after which none of its promises or quotas can be used.
func (o Options) silence() time.Duration {
	return time.Duration(float64(o.PromiseValid+o.QuotaValid) * clockMargin)
}

// fenceWait is the time without news of the owner after which a successor fences a target.
func (o Options) fenceWait() time.Duration {
	return time.Duration(float64(o.PromiseValid) * clockMargin)
}

// Authority is what this instance may allocate on a target.
type Authority struct {
	Share float64
	Epoch namer.Epoch
	Until time.Time
}

type news struct {
	number int64
	at     time.Time
}

type sentNumber struct {
	number int64
	at     time.Time
}

// role is what this instance remembers of one target besides the table.
type role struct {
	// learnedVersion and learnedAt say when the present owner, successor and epoch were first read.
	learnedVersion int64
	learnedAt      time.Time
	fencing        bool
	known          bool
	boot           string
	// fencedEpoch and fencedBoot are the last fence order that the engine accepted.
	fencedEpoch namer.Epoch
	fencedBoot  string
	fenceSentAt time.Time
	// fenceTried is the highest epoch of a fence order that may have taken effect.
	fenceTried namer.Epoch
	// rejected is the highest epoch that the engine answered stale_epoch to.
	rejected   namer.Epoch
	rejectedAt time.Time
	// usedUntil is the end of the last authority that was given out as successor.
	usedUntil time.Time
	// releasedAt is when this instance stopped allocating because it hands the target over.
	releasedAt time.Time
	receiver   namer.Holder
	given      Authority
	// previousLeft is when the previous owner was first heard to know the table that replaced it.
	previousLeft time.Time
}

type pendingWrite struct {
	number   int64
	base     int64
	table    Table
	sentAt   time.Time
	answered bool
}

// Elector decides authority and ownership for one instance.
type Elector struct {
	options Options

	table   Table
	version int64
	// tableAt is when the call that first answered the present version was sent.
	tableAt  time.Time
	storeAt  time.Time
	peerAt   time.Time
	lastTick time.Time
	readAt   time.Time

	heard   map[namer.Holder]news
	echoed  map[namer.Holder]echo
	sent    []sentNumber
	members map[namer.Holder]tracker.Member
	listed  map[namer.Instance]bool

	membersAt time.Time
	listedAt  time.Time
	// liveNow are the live members at liveAt; settled are those since liveSince.
	liveNow    []namer.Holder
	liveAt     time.Time
	settled    []namer.Holder
	liveSince  time.Time
	roles      map[namer.Target]*role
	order      []namer.Target
	pending    *pendingWrite
	doubt      map[namer.Target]bool
	refusedAt  time.Time
	writeCount int64

	qualified      bool
	disqualifiedAt time.Time
	// ownRecord is whether the own member record was seen in the store with a number sent after
	// disqualifiedAt.
	ownRecord bool
	leaving   bool
	left      bool
}

// echo is the highest number of this instance that a process echoed.
type echo struct {
	number  int64
	sentAt  time.Time
	version int64
}

// New returns an elector that has no authority until it has read the table.
func New(options Options, now time.Time) *Elector {
	return &Elector{
		options:        options,
		lastTick:       now,
		peerAt:         now,
		storeAt:        now,
		heard:          map[namer.Holder]news{},
		echoed:         map[namer.Holder]echo{},
		members:        map[namer.Holder]tracker.Member{},
		listed:         map[namer.Instance]bool{},
		roles:          map[namer.Target]*role{},
		doubt:          map[namer.Target]bool{},
		disqualifiedAt: now,
	}
}

// Handle applies one event at a time of the own clock and returns what is to be done.
func (e *Elector) Handle(event Event, now time.Time) []Action {
	e.checkQualified(now)
	var actions []Action
	switch v := event.(type) {
	case HeartbeatSent:
		e.noteSent(v.Number, now)
	case HeartbeatHeard:
		actions = e.hearHeartbeat(v, now)
	case TableRead:
		e.readTable(v, now)
	case MembersRead:
		e.readMembers(v, now)
	case InstancesListed:
		e.readInstances(v, now)
	case TargetsRead:
		e.readTargets(v)
	case WriteAnswered:
		actions = e.endWrite(v, now)
	case FenceAnswered:
		e.endFence(v, now)
	case EpochRejected:
		e.role(v.Target).reject(v.Epoch, now)
	case BootSeen:
		e.role(v.Target).boot = v.Boot
	case Leave:
		e.leaving = true
	case Tick:
		return e.tick(now)
	}
	return append(actions, e.announce(now, false)...)
}

func (e *Elector) tick(now time.Time) []Action {
	e.lastTick = now
	actions := e.announce(now, true)
	actions = append(actions, e.fence(now)...)
	actions = append(actions, e.write(now)...)
	return append(actions, e.finishLeaving()...)
}

// checkQualified withdraws authority after a pause or a long isolation, when others may hold this instance
// for gone and may have replaced it.
func (e *Elector) checkQualified(now time.Time) {
	paused := now.Sub(e.lastTick) > e.options.TickEvery+e.options.PausedAfter
	if paused || now.Sub(e.contactAt()) > e.options.DisqualifiedAfter {
		e.qualified = false
		e.disqualifiedAt = now
		e.ownRecord = false
	}
}

func (e *Elector) contactAt() time.Time {
	return later(e.storeAt, e.peerAt)
}

func (e *Elector) noteSent(number int64, now time.Time) {
	e.sent = append(e.sent, sentNumber{
		number: number,
		at:     now,
	})
	if len(e.sent) > 2*sentKept {
		e.sent = append(e.sent[:0], e.sent[len(e.sent)-sentKept:]...)
	}
}

func (e *Elector) sentAt(number int64) (time.Time, bool) {
	i := sort.Search(len(e.sent), func(i int) bool { return e.sent[i].number >= number })
	if i == len(e.sent) || e.sent[i].number != number {
		return time.Time{}, false
	}
	return e.sent[i].at, true
}

func (e *Elector) hearHeartbeat(v HeartbeatHeard, now time.Time) []Action {
	e.peerAt = now
	e.hear(v.From, v.Number, now)
	e.hearReports(v.From, v.Heard, v.TableVersion, now)
	e.notePrevious(v, now)
	if v.TableVersion > e.version {
		return e.askTable(now)
	}
	return nil
}

// hear notes news of a process: a number not known before.
func (e *Elector) hear(from namer.Holder, number int64, now time.Time) {
	if last, ok := e.heard[from]; !ok || number > last.number {
		e.heard[from] = news{
			number: number,
			at:     now,
		}
	}
}

func (e *Elector) hearReports(from namer.Holder, reports []tracker.Heard, version int64, now time.Time) {
	for _, h := range reports {
		if h.Holder != e.options.Self {
			e.hear(h.Holder, h.Number, now)
			continue
		}
		e.noteEcho(from, h.Number, version)
	}
}

func (e *Elector) noteEcho(from namer.Holder, number, version int64) {
	at, ok := e.sentAt(number)
	last := e.echoed[from]
	if !ok || number < last.number || (number == last.number && version < last.version) {
		return
	}
	e.echoed[from] = echo{
		number:  number,
		sentAt:  at,
		version: version,
	}
}

// notePrevious notes that a previous owner knows that it was replaced.
func (e *Elector) notePrevious(v HeartbeatHeard, now time.Time) {
	for id, entry := range e.table.Entries {
		r := e.role(id)
		if entry.Previous == nil || *entry.Previous != v.From || v.TableVersion < r.learnedVersion {
			continue
		}
		if r.previousLeft.IsZero() {
			r.previousLeft = now
		}
	}
}

func (e *Elector) askTable(now time.Time) []Action {
	if now.Sub(e.readAt) < e.options.TickEvery {
		return nil
	}
	e.readAt = now
	return []Action{ReadTable{}}
}

func (e *Elector) readTable(v TableRead, now time.Time) {
	e.storeAt = later(e.storeAt, v.Requested)
	if v.Version < e.version {
		return
	}
	if v.Version > e.version || e.tableAt.IsZero() {
		e.adopt(v.Table, v.Version, v.Requested, now)
	}
	e.settlePending()
	if !v.Requested.Before(e.disqualifiedAt) && !e.named() {
		e.qualified = true
	}
}

// settlePending ends a write whose outcome the table shows. A write that is not visible yet may still take
// effect as long as the version is the one it was conditional on, so it is sent again.
func (e *Elector) settlePending() {
	if e.pending == nil {
		return
	}
	if e.version > e.pending.base {
		e.pending = nil
		clear(e.doubt)
		return
	}
	if e.pending.answered {
		e.pending = nil
	}
}

func (e *Elector) adopt(table Table, version int64, requested, now time.Time) {
	old := e.table
	e.table = table.clone()
	e.version = version
	e.tableAt = requested
	for id, entry := range e.table.Entries {
		r := e.role(id)
		if was, ok := old.Entries[id]; ok && was.sameRoles(entry) {
			continue
		}
		r.learnedVersion = version
		r.learnedAt = now
		r.releasedAt = time.Time{}
		r.receiver = namer.Holder{}
		r.previousLeft = time.Time{}
	}
	e.sortTargets()
}

func (e *Elector) sortTargets() {
	e.order = e.order[:0]
	for id := range e.roles {
		e.order = append(e.order, id)
	}
	sort.Slice(e.order, func(i, j int) bool { return e.order[i] < e.order[j] })
}

// named reports whether the table gives this instance a role.
func (e *Elector) named() bool {
	for _, entry := range e.table.Entries {
		if entry.Owner == e.options.Self || entry.Successor == e.options.Self {
			return true
		}
	}
	return false
}

func (e *Elector) readMembers(v MembersRead, now time.Time) {
	e.storeAt = later(e.storeAt, v.Requested)
	e.membersAt = later(e.membersAt, v.Requested)
	e.forget(now)
	clear(e.members)
	for _, m := range v.Members {
		e.members[m.Holder] = m
		if m.Holder == e.options.Self {
			at, ok := e.sentAt(m.Number)
			e.ownRecord = e.ownRecord || (ok && !at.Before(e.disqualifiedAt))
			continue
		}
		e.hear(m.Holder, m.Number, now)
		e.hearReports(m.Holder, m.Heard, m.TableVersion, now)
	}
}

// forget drops processes that were not heard for long, since every restart brings a new one.
func (e *Elector) forget(now time.Time) {
	for h, n := range e.heard {
		if now.Sub(n.at) > forgetAfter {
			delete(e.heard, h)
			delete(e.echoed, h)
		}
	}
}

func (e *Elector) readInstances(v InstancesListed, _ time.Time) {
	e.storeAt = later(e.storeAt, v.Requested)
	if v.Requested.Before(e.listedAt) {
		return
	}
	e.listedAt = v.Requested
	clear(e.listed)
	for _, i := range v.Instances {
		e.listed[i] = true
	}
}

func (e *Elector) readTargets(v TargetsRead) {
	for _, r := range e.roles {
		r.known = false
	}
	for _, t := range v.Targets {
		r := e.role(t.ID)
		r.fencing = t.Fencing
		r.known = true
	}
	e.sortTargets()
}

func (e *Elector) role(id namer.Target) *role {
	r, ok := e.roles[id]
	if !ok {
		r = &role{}
		e.roles[id] = r
		e.sortTargets()
	}
	return r
}

// Owner returns whom to ask for memory of a target.
func (e *Elector) Owner(target namer.Target, now time.Time) (namer.Holder, bool) {
	entry, ok := e.table.Entries[target]
	if !ok {
		return namer.Holder{}, false
	}
	if e.authority(target, now).Share > 0 {
		return e.options.Self, true
	}
	return entry.Owner, true
}

// TableVersion returns the version of the table last read.
func (e *Elector) TableVersion() int64 {
	return e.version
}

// Isolated reports whether neither the store nor a peer was heard for Options.IsolatedAfter.
func (e *Elector) Isolated(now time.Time) bool {
	return now.Sub(e.contactAt()) > e.options.IsolatedAfter
}

// Heard returns the numbers to echo in a message to a process, or in the member record if to is unset.
// It leaves out owners to whom an echo would be a promise that this instance cannot give.
func (e *Elector) Heard(to namer.Holder, now time.Time) []tracker.Heard {
	heard := make([]tracker.Heard, 0, len(e.heard))
	for h, n := range e.heard {
		if (to.IsZero() || to == h) && e.withholds(h, now) {
			continue
		}
		if now.Sub(n.at) > e.options.silence() {
			continue
		}
		heard = append(heard, tracker.Heard{
			Holder: h,
			Number: n.number,
		})
	}
	sort.Slice(heard, func(i, j int) bool { return less(heard[i].Holder, heard[j].Holder) })
	return heard
}

// withholds reports whether an echo to the holder would support authority that this instance may have used,
// or replaced, or cannot vouch for.
func (e *Elector) withholds(h namer.Holder, now time.Time) bool {
	if !e.qualified || e.Isolated(now) {
		return true
	}
	for id, entry := range e.table.Entries {
		r := e.roles[id]
		if r.fencing || entry.Owner == e.options.Self {
			if entry.Previous != nil && *entry.Previous == h && entry.Owner == e.options.Self {
				return true
			}
			continue
		}
		if entry.Owner != h || entry.Successor != e.options.Self {
			continue
		}
		if e.doubt[id] || now.Before(r.usedUntil.Add(e.options.quotaGone())) {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func less(a, b namer.Holder) bool {
	if a.Instance != b.Instance {
		return a.Instance < b.Instance
	}
	return a.Incarnation < b.Incarnation
}
