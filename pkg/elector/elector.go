package elector

import (
	"sort"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const (
	// halfShare is the share of each while an owner and a successor, or a previous owner, may both be allocating.
	halfShare = 0.5
	fullShare = 1.0
	// clockMargin is the factor on a duration that covers the rate difference of two clocks.
	clockMargin = 1.1
	// memberLostAfter is the time without a new heartbeat number after which a member gets no new role.
	memberLostAfter = 11 * time.Second
	// retryInterval is the time between repeated fence orders, refused writes and table reads.
	retryInterval = time.Second
	// reclaimDelay gives the successor that fenced a target time to write its takeover.
	reclaimDelay = 5 * time.Second
	// assignDelay lets all members of a cell that starts at once be seen before targets are assigned.
	assignDelay = 4 * time.Second
	// settleTime is how long the set of live members must be unchanged before targets are moved for balance.
	settleTime = 30 * time.Second
	// forgetAfter is far longer than any other timeout on a process's heartbeats.
	forgetAfter = 10 * time.Minute
	// sentNumbersKept is the number of heartbeat numbers whose sending time is kept.
	sentNumbersKept = 64
)

// Options configure an elector.
type Options struct {
	Self namer.Holder
	// TickEvery is the interval of Tick.
	TickEvery time.Duration
	// PromiseValid is how long after the sending of a number its echo supports the sender's authority. The echo is the
	// successor's promise not to allocate.
	PromiseValid time.Duration
	// QuotaValid is how long a quota can be used after its grant.
	QuotaValid time.Duration
	// IsolatedAfter is the time without contact to store and peers after which there is no authority.
	IsolatedAfter time.Duration
	// DisqualifiedAfter is the time without contact to store and peers after which authority returns only through
	// the table or a promise; it is shorter than the time after which others may treat this instance as gone.
	DisqualifiedAfter time.Duration
	// PausedAfter is the delay of a tick beyond TickEvery from which the process counts as paused.
	PausedAfter time.Duration
}

// DefaultOptions returns the default options for the instance self.
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

// quotaExpiry returns the time after which a quota granted now has expired on every clock.
func (o Options) quotaExpiry() time.Duration {
	return time.Duration(float64(o.QuotaValid) * clockMargin)
}

// silenceTimeout returns the time without a new number of a process after which none of its promises or quotas can
// be used.
func (o Options) silenceTimeout() time.Duration {
	return time.Duration(float64(o.PromiseValid+o.QuotaValid) * clockMargin)
}

// fenceDelay returns the time without a new number of the owner after which a successor fences a target.
func (o Options) fenceDelay() time.Duration {
	return time.Duration(float64(o.PromiseValid) * clockMargin)
}

// Authority is the share of a target's memory that this instance may allocate, with which epoch and until when.
type Authority struct {
	Share float64
	Epoch namer.Epoch
	Until time.Time
}

// peerNumber is the highest heartbeat number known of another process, received from it or reported by a third one, and
// when it was learned.
type peerNumber struct {
	number int64
	at     time.Time
}

// sentNumber is a number that this instance sent, and when.
type sentNumber struct {
	number int64
	at     time.Time
}

// targetState is what this instance knows of one target besides its table entry.
type targetState struct {
	// firstReadVersion and firstReadAt are the table version and the time at which the current owner, successor and
	// epoch were first read.
	firstReadVersion int64
	firstReadAt      time.Time
	// fencing is set if the engine rejects old epochs.
	fencing bool
	// inTargetList is set if the cell's last target list has the target.
	inTargetList bool
	// boot is the engine's boot id as last reported.
	boot string
	// fencedEpoch and fencedBoot are the epoch of the last accepted fence order and the engine's boot id at that time.
	fencedEpoch namer.Epoch
	fencedBoot  string
	fenceSentAt time.Time
	// sentFenceEpoch is the highest epoch of a fence order that may have taken effect.
	sentFenceEpoch namer.Epoch
	// rejectedEpoch is the highest epoch that the engine answered with stale_epoch.
	rejectedEpoch namer.Epoch
	rejectedAt    time.Time
	// successorUntil is the end of the last authority that this instance had as successor.
	successorUntil time.Time
	// handoverSince is when this instance stopped allocating in order to hand the target over to handoverTo.
	handoverSince time.Time
	handoverTo    namer.Holder
	// announced is the authority in the last SetAuthority action.
	announced Authority
	// previousAckAt is when the previous owner first reported a table version in which it is replaced.
	previousAckAt time.Time
}

// pendingWrite is a conditional write of the table whose outcome is not known yet.
type pendingWrite struct {
	number int64
	// baseVersion is the table version that the write is conditional on.
	baseVersion int64
	table       Table
	sentAt      time.Time
	// mustRead is set after a conflict or an unknown outcome, which a read of the table resolves.
	mustRead bool
}

// Elector decides, for one instance, which targets it owns and what it may allocate on them.
type Elector struct {
	options Options

	table   Table
	version int64
	// tableReadAt is the sending time of the call whose answer first gave the current version.
	tableReadAt      time.Time
	lastStoreContact time.Time
	lastPeerContact  time.Time
	lastTick         time.Time
	lastReadRequest  time.Time

	peerNumbers map[namer.Holder]peerNumber
	// ownEchoes holds, by echoing process, the last echo of this instance's numbers.
	ownEchoes   map[namer.Holder]echo
	sentNumbers []sentNumber
	members     map[namer.Holder]tracker.Member
	instances   map[namer.Instance]bool

	// membersReadAt and instancesReadAt are the sending times of the reads that gave members and instances.
	membersReadAt   time.Time
	instancesReadAt time.Time
	// liveMembers were computed at liveAt; stableMembers have been the live members since stableSince.
	liveMembers   []namer.Holder
	liveAt        time.Time
	stableMembers []namer.Holder
	stableSince   time.Time
	targetStates  map[namer.Target]*targetState
	sortedTargets []namer.Target
	pending       *pendingWrite
	// unconfirmed holds the targets whose entries this instance has tried to change since the current version.
	unconfirmed map[namer.Target]bool
	refusedAt   time.Time
	writeCount  int64

	// qualified is unset at the start and by a pause or a long isolation, the last of which was noticed at disqualifiedAt.
	// An own write of the table sets it again, or a read in which this instance has no role.
	qualified      bool
	disqualifiedAt time.Time
	// ownRecordSeen is set when a read of the store shows the own member record with a number sent after
	// disqualifiedAt.
	ownRecordSeen    bool
	leaving          bool
	handoverReported bool
}

// echo is the highest number of this instance that another process echoed, when this instance sent that number, and the
// table version that the other process had read when it echoed it.
type echo struct {
	number  int64
	sentAt  time.Time
	version int64
}

// New returns an elector that has no authority until it has read the table.
func New(options Options, now time.Time) *Elector {
	return &Elector{
		options:          options,
		lastTick:         now,
		lastPeerContact:  now,
		lastStoreContact: now,
		peerNumbers:      map[namer.Holder]peerNumber{},
		ownEchoes:        map[namer.Holder]echo{},
		members:          map[namer.Holder]tracker.Member{},
		instances:        map[namer.Instance]bool{},
		targetStates:     map[namer.Target]*targetState{},
		unconfirmed:      map[namer.Target]bool{},
		disqualifiedAt:   now,
	}
}

// Handle applies one event, at a time of this instance's clock, and returns the actions to carry out.
func (e *Elector) Handle(event Event, now time.Time) []Action {
	e.checkQualified(now)
	var actions []Action
	switch v := event.(type) {
	case HeartbeatSent:
		e.recordSent(v.Number, now)
	case HeartbeatReceived:
		actions = e.handleHeartbeat(v, now)
	case TableRead:
		e.handleTable(v, now)
	case MembersRead:
		e.handleMembers(v, now)
	case InstancesListed:
		e.handleInstances(v, now)
	case TargetsRead:
		e.handleTargets(v)
	case WriteAnswered:
		actions = e.handleWriteAnswer(v, now)
	case FenceAnswered:
		e.handleFenceAnswer(v, now)
	case EpochRejected:
		e.targetState(v.Target).reject(v.Epoch, now)
	case BootSeen:
		e.targetState(v.Target).boot = v.Boot
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
	actions = append(actions, e.writeChanges(now)...)
	return append(actions, e.finishLeaving()...)
}

// checkQualified withdraws authority after a pause or a long isolation, because others may have treated this
// instance as gone and replaced it.
func (e *Elector) checkQualified(now time.Time) {
	paused := now.Sub(e.lastTick) > e.options.TickEvery+e.options.PausedAfter
	if paused || now.Sub(e.lastContact()) > e.options.DisqualifiedAfter {
		e.qualified = false
		e.disqualifiedAt = now
		e.ownRecordSeen = false
	}
}

func (e *Elector) lastContact() time.Time {
	return later(e.lastStoreContact, e.lastPeerContact)
}

func (e *Elector) recordSent(number int64, now time.Time) {
	e.sentNumbers = append(e.sentNumbers, sentNumber{
		number: number,
		at:     now,
	})
	if len(e.sentNumbers) > 2*sentNumbersKept {
		e.sentNumbers = append(e.sentNumbers[:0], e.sentNumbers[len(e.sentNumbers)-sentNumbersKept:]...)
	}
}

func (e *Elector) sentAt(number int64) (time.Time, bool) {
	i := sort.Search(len(e.sentNumbers), func(i int) bool { return e.sentNumbers[i].number >= number })
	if i == len(e.sentNumbers) || e.sentNumbers[i].number != number {
		return time.Time{}, false
	}
	return e.sentNumbers[i].at, true
}

func (e *Elector) handleHeartbeat(v HeartbeatReceived, now time.Time) []Action {
	e.lastPeerContact = now
	e.recordPeerNumber(v.From, v.Number, now)
	e.recordReports(v.From, v.Echoes, v.TableVersion, now)
	e.recordPreviousAck(v, now)
	if v.TableVersion > e.version {
		return e.requestTable(now)
	}
	return nil
}

// recordPeerNumber records a number of a process if it is higher than the last one.
func (e *Elector) recordPeerNumber(from namer.Holder, number int64, now time.Time) {
	if last, ok := e.peerNumbers[from]; !ok || number > last.number {
		e.peerNumbers[from] = peerNumber{
			number: number,
			at:     now,
		}
	}
}

// recordReports records the numbers that a process reports to have received: that of this instance as an echo, the others
// as the last known numbers of their senders.
func (e *Elector) recordReports(from namer.Holder, reports []tracker.HeardNumber, version int64, now time.Time) {
	for _, h := range reports {
		if h.Holder != e.options.Self {
			e.recordPeerNumber(h.Holder, h.Number, now)
			continue
		}
		e.recordEcho(from, h.Number, version)
	}
}

// recordEcho records an echo unless it is older than the last one or the sending time of its number is no longer kept.
func (e *Elector) recordEcho(from namer.Holder, number, version int64) {
	at, ok := e.sentAt(number)
	last := e.ownEchoes[from]
	if !ok || number < last.number || (number == last.number && version < last.version) {
		return
	}
	e.ownEchoes[from] = echo{
		number:  number,
		sentAt:  at,
		version: version,
	}
}

// recordPreviousAck records when a previous owner first shows that it has read the table that replaced it.
func (e *Elector) recordPreviousAck(v HeartbeatReceived, now time.Time) {
	for id, entry := range e.table.Entries {
		st := e.targetState(id)
		if entry.Previous == nil || *entry.Previous != v.From || v.TableVersion < st.firstReadVersion {
			continue
		}
		if st.previousAckAt.IsZero() {
			st.previousAckAt = now
		}
	}
}

// requestTable returns a read of the table, at most once per Options.TickEvery.
func (e *Elector) requestTable(now time.Time) []Action {
	if now.Sub(e.lastReadRequest) < e.options.TickEvery {
		return nil
	}
	e.lastReadRequest = now
	return []Action{ReadTable{}}
}

func (e *Elector) handleTable(v TableRead, now time.Time) {
	e.lastStoreContact = later(e.lastStoreContact, v.Requested)
	if v.Version < e.version {
		return
	}
	if v.Version > e.version || e.tableReadAt.IsZero() {
		e.applyTable(v.Table, v.Version, v.Requested, now)
	}
	e.resolvePending()
	if !v.Requested.Before(e.disqualifiedAt) && !e.hasRole() {
		e.qualified = true
	}
}

// resolvePending ends the pending write if the table shows its outcome. A write that is not visible may still take
// effect while the table has the version that it was conditional on, so it is sent again.
func (e *Elector) resolvePending() {
	if e.pending == nil {
		return
	}
	if e.version > e.pending.baseVersion {
		e.pending = nil
		clear(e.unconfirmed)
		return
	}
	if e.pending.mustRead {
		e.pending = nil
	}
}

func (e *Elector) applyTable(table Table, version int64, requested, now time.Time) {
	old := e.table
	e.table = table.clone()
	e.version = version
	e.tableReadAt = requested
	for id, entry := range e.table.Entries {
		st := e.targetState(id)
		if was, ok := old.Entries[id]; ok && was.sameRoles(entry) {
			continue
		}
		st.firstReadVersion = version
		st.firstReadAt = now
		st.handoverSince = time.Time{}
		st.handoverTo = namer.Holder{}
		st.previousAckAt = time.Time{}
	}
	e.sortTargets()
}

func (e *Elector) sortTargets() {
	e.sortedTargets = e.sortedTargets[:0]
	for id := range e.targetStates {
		e.sortedTargets = append(e.sortedTargets, id)
	}
	sort.Slice(e.sortedTargets, func(i, j int) bool { return e.sortedTargets[i] < e.sortedTargets[j] })
}

// hasRole reports whether this instance is owner or successor of a target in the table.
func (e *Elector) hasRole() bool {
	for _, entry := range e.table.Entries {
		if entry.Owner == e.options.Self || entry.Successor == e.options.Self {
			return true
		}
	}
	return false
}

func (e *Elector) handleMembers(v MembersRead, now time.Time) {
	e.lastStoreContact = later(e.lastStoreContact, v.Requested)
	e.membersReadAt = later(e.membersReadAt, v.Requested)
	e.forgetSilent(now)
	clear(e.members)
	for _, m := range v.Members {
		e.members[m.Holder] = m
		if m.Holder == e.options.Self {
			at, ok := e.sentAt(m.Number)
			e.ownRecordSeen = e.ownRecordSeen || (ok && !at.Before(e.disqualifiedAt))
			continue
		}
		e.recordPeerNumber(m.Holder, m.Number, now)
		e.recordReports(m.Holder, m.Heard, m.TableVersion, now)
	}
}

// forgetSilent drops processes that have been silent for forgetAfter, since every restart adds a new process.
func (e *Elector) forgetSilent(now time.Time) {
	for h, latest := range e.peerNumbers {
		if now.Sub(latest.at) > forgetAfter {
			delete(e.peerNumbers, h)
			delete(e.ownEchoes, h)
		}
	}
}

func (e *Elector) handleInstances(v InstancesListed, _ time.Time) {
	e.lastStoreContact = later(e.lastStoreContact, v.Requested)
	if v.Requested.Before(e.instancesReadAt) {
		return
	}
	e.instancesReadAt = v.Requested
	clear(e.instances)
	for _, i := range v.Instances {
		e.instances[i] = true
	}
}

func (e *Elector) handleTargets(v TargetsRead) {
	for _, st := range e.targetStates {
		st.inTargetList = false
	}
	for _, t := range v.Targets {
		st := e.targetState(t.ID)
		st.fencing = t.Fencing
		st.inTargetList = true
	}
	e.sortTargets()
}

func (e *Elector) targetState(id namer.Target) *targetState {
	st, ok := e.targetStates[id]
	if !ok {
		st = &targetState{}
		e.targetStates[id] = st
		e.sortTargets()
	}
	return st
}

// Owner returns the process to ask for memory of a target, which is this instance while it has authority there.
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

// Isolated reports whether nothing was heard from the store or a peer for more than Options.IsolatedAfter.
func (e *Elector) Isolated(now time.Time) bool {
	return now.Sub(e.lastContact()) > e.options.IsolatedAfter
}

// Echoes returns the heartbeat numbers to echo in a message to a process, or in the member record if to is unset.
// It leaves out processes for which an echo would be a promise that this instance must not give.
func (e *Elector) Echoes(to namer.Holder, now time.Time) []tracker.HeardNumber {
	numbers := make([]tracker.HeardNumber, 0, len(e.peerNumbers))
	for h, n := range e.peerNumbers {
		if (to.IsZero() || to == h) && e.withholdsEcho(h, now) {
			continue
		}
		if now.Sub(n.at) > e.options.silenceTimeout() {
			continue
		}
		numbers = append(numbers, tracker.HeardNumber{
			Holder: h,
			Number: n.number,
		})
	}
	sort.Slice(numbers, func(i, j int) bool { return less(numbers[i].Holder, numbers[j].Holder) })
	return numbers
}

// withholdsEcho reports whether the holder must not get an echo: this instance is isolated or disqualified, it has
// replaced the holder as owner or may have done so by a write without an answer, or quotas that it granted as the
// holder's successor may still be in use.
func (e *Elector) withholdsEcho(h namer.Holder, now time.Time) bool {
	if !e.qualified || e.Isolated(now) {
		return true
	}
	for id, entry := range e.table.Entries {
		st := e.targetStates[id]
		if st.fencing || entry.Owner == e.options.Self {
			if entry.Previous != nil && *entry.Previous == h && entry.Owner == e.options.Self {
				return true
			}
			continue
		}
		if entry.Owner != h || entry.Successor != e.options.Self {
			continue
		}
		if e.unconfirmed[id] || now.Before(st.successorUntil.Add(e.options.quotaExpiry())) {
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
