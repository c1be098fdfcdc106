package tracker

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings configure a tracker.
type Settings struct {
	Self          namer.Holder
	Cell          namer.Cell
	DataCentre    namer.DataCentre
	CallerAddress string
	PeerAddress   string
	// Nearest lists other data centres by increasing distance; those not listed come last.
	Nearest []namer.DataCentre
	// RecordInterval is the time between renewals of the own member record.
	RecordInterval time.Duration
	// LostAfter is the time without a heartbeat after which a member counts as lost.
	LostAfter time.Duration
	// SuspectAfter is the time without a heartbeat after which address answers prefer other members.
	SuspectAfter time.Duration
	// IsolatedAfter is the time without contact to the store and to peers after which this instance counts as isolated.
	IsolatedAfter time.Duration
	// GoneAfter is the time without a heartbeat or record, at any member, before a process can be confirmed gone.
	GoneAfter time.Duration
	// ListLag is the maximum lag of the platform's list: an older list is ignored, and a member that was never listed must be
	// absent for this time.
	ListLag time.Duration
	// AddressValidity is the time for which callers may cache addresses.
	AddressValidity time.Duration
	// AcceptWhileLeaving is the time for which a leaving instance accepts requests.
	AcceptWhileLeaving time.Duration
	// FetchTimeout is the time after which a fetch of departures is abandoned, and the delay before its peer is tried again.
	FetchTimeout time.Duration
	// ForgetAfter is the time for which a silent member or a former process is kept in memory.
	ForgetAfter time.Duration
}

// DefaultSettings returns the default times.
func DefaultSettings(self namer.Holder) Settings {
	return Settings{
		Self:               self,
		RecordInterval:     3 * time.Second,
		LostAfter:          11 * time.Second,
		SuspectAfter:       3 * time.Second,
		IsolatedAfter:      3 * time.Second,
		GoneAfter:          13200 * time.Millisecond,
		ListLag:            60 * time.Second,
		AddressValidity:    10 * time.Second,
		AcceptWhileLeaving: 11 * time.Second,
		FetchTimeout:       time.Second,
		ForgetAfter:        time.Hour,
	}
}

// Heartbeat is the part of a peer's heartbeat that the tracker uses.
type Heartbeat struct {
	Sender namer.Holder
	State  State
	// DataCentre and the addresses are empty if the heartbeat lacks them; the last known ones are then kept.
	DataCentre       namer.DataCentre
	CallerAddress    string
	PeerAddress      string
	Number           int64
	DepartureVersion int64
	Heard            []HeardNumber
}

// Listed is one entry of the platform's lagging list of instances.
type Listed struct {
	Instance namer.Instance
	Leaving  bool
}

// Address is one instance that a caller may use.
type Address struct {
	Instance   namer.Instance   `json:"instance"`
	Address    string           `json:"address"`
	DataCentre namer.DataCentre `json:"data_centre"`
}

// Peer is the local view of another member.
type Peer struct {
	Holder        namer.Holder
	DataCentre    namer.DataCentre
	CallerAddress string
	PeerAddress   string
	State         State
	// Silence is the time since its last heartbeat or record renewal.
	Silence time.Duration
	Lost    bool
}

// Action is an instruction of a tracker to its caller.
type Action interface{ action() }

// WriteMember renews the own member record; call ObserveStoreResponse if the store responds.
type WriteMember struct {
	Member Member
}

// FetchDeparture requests the departures from a peer; pass the result to ObserveDeparture or ObserveFetchFailure.
type FetchDeparture struct {
	Peer    namer.Holder
	Version int64
}

// PeerLost reports that a member is lost: it was silent for LostAfter.
type PeerLost struct {
	Holder namer.Holder
}

// ApplyDeparture reports a change of the data centres and targets that are out of service.
type ApplyDeparture struct {
	Version   int64
	Departure Departure
}

// StopAccepting means that new requests must be refused with reason leaving.
type StopAccepting struct{}

// ResumeAccepting means that new requests are accepted again, because the data centre is back in service.
type ResumeAccepting struct{}

// Exit means that the shutdown is complete: the process exits with status 0 when the preceding write has ended.
type Exit struct{}

func (WriteMember) action()     {}
func (FetchDeparture) action()  {}
func (PeerLost) action()        {}
func (ApplyDeparture) action()  {}
func (StopAccepting) action()   {}
func (ResumeAccepting) action() {}
func (Exit) action()            {}

// Tracker determines the members of a cell, what is out of service, and the addresses that callers receive.
type Tracker struct {
	settings Settings
	started  time.Time

	state          State
	bundleSequence int64
	// number is the last number that was sent in a heartbeat or member record.
	number   int64
	writeDue time.Time
	// pendingWork is the number of requests and duties that must end before this instance can leave.
	pendingWork       int
	leavingSince      time.Time
	outOfServiceSince time.Time
	// refusing is true if StopAccepting was returned later than ResumeAccepting.
	refusing bool

	members   map[namer.Instance]*member
	processes map[namer.Holder]*process
	// list is what is known from the platform's list of instances, which was last received at listAt.
	list            map[namer.Instance]*listEntry
	listAt          time.Time
	storeAnsweredAt time.Time
	heartbeatSeenAt time.Time

	targets          map[namer.Target]Target
	departureVersion int64
	// highestDeparture is the highest version that any member has reported.
	highestDeparture int64
	departure        Departure
	fetch            *fetch
	// retryAt is the earliest time of another fetch from a peer after a failed one.
	retryAt map[namer.Instance]time.Time
}

// New returns the tracker of an instance that is starting.
func New(settings Settings, now time.Time) *Tracker {
	return &Tracker{
		settings:        settings,
		started:         now,
		state:           StateStarting,
		writeDue:        now,
		members:         map[namer.Instance]*member{},
		processes:       map[namer.Holder]*process{},
		list:            map[namer.Instance]*listEntry{},
		storeAnsweredAt: now,
		heartbeatSeenAt: now,
		targets:         map[namer.Target]Target{},
		retryAt:         map[namer.Instance]time.Time{},
	}
}

// ObserveStoreResponse records that the store responded to a call of any kind.
func (t *Tracker) ObserveStoreResponse(now time.Time) {
	t.storeAnsweredAt = latest(t.storeAnsweredAt, now)
}

// SetBundle sets the bundle sequence in force, for the member record.
func (t *Tracker) SetBundle(sequence int64) {
	t.bundleSequence = sequence
}

// NextNumber returns the number for the next heartbeat; member records and heartbeats share one sequence.
func (t *Tracker) NextNumber() int64 {
	t.number++
	return t.number
}

// Tick returns the actions that have become due; call it about once a second.
func (t *Tracker) Tick(now time.Time) []Action {
	var actions []Action
	if !now.Before(t.writeDue) && t.state != StateLeft {
		actions = append(actions, t.write(now))
	}
	actions = append(actions, t.detectLost(now)...)
	t.evict(now)
	actions = append(actions, t.nextFetch(now)...)
	return append(actions, t.updateLeaving(now)...)
}

// Isolated reports whether this instance has had no contact to the store or any peer for IsolatedAfter.
func (t *Tracker) Isolated(now time.Time) bool {
	return now.Sub(latest(t.storeAnsweredAt, t.heartbeatSeenAt)) >= t.settings.IsolatedAfter
}

// State returns the state of this instance.
func (t *Tracker) State() State {
	return t.state
}

func (t *Tracker) write(now time.Time) Action {
	t.writeDue = now.Add(t.settings.RecordInterval)
	return WriteMember{
		Member: Member{
			Holder:         t.settings.Self,
			Cell:           t.settings.Cell,
			DataCentre:     t.settings.DataCentre,
			CallerAddress:  t.settings.CallerAddress,
			PeerAddress:    t.settings.PeerAddress,
			State:          t.state,
			BundleSequence: t.bundleSequence,
			DepartureSeen:  t.departureVersion,
			Number:         t.NextNumber(),
			Heard:          t.HeardNumbers(),
		},
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
