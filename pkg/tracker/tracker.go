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
	// Nearest orders the other data centres by distance; those not listed come last, by name.
	Nearest []namer.DataCentre
	// RecordInterval is the time between renewals of the own member record.
	RecordInterval time.Duration
	// LostAfter is how long a member may be silent before it counts as lost.
	LostAfter time.Duration
	// SuspectAfter is how long a member may be silent before others are preferred in address answers.
	SuspectAfter time.Duration
	// IsolatedAfter is how long store and peers may be silent before this instance counts as isolated.
	IsolatedAfter time.Duration
	// GoneAfter is how long nobody may have heard a member before its absence from the platform's list counts.
	GoneAfter time.Duration
	// ListLag is how long a member that was never seen in the platform's list must be absent from it.
	ListLag time.Duration
	// AddressValidity is how long callers may cache addresses.
	AddressValidity time.Duration
	// AcceptWhileLeaving is how long a leaving instance accepts requests.
	AcceptWhileLeaving time.Duration
	// FetchTimeout is how long a fetch of departures may take before another peer is asked.
	FetchTimeout time.Duration
	// ForgetAfter is how long a process that is no member is remembered.
	ForgetAfter time.Duration
}

// DefaultSettings returns the times of today's deployment.
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

// Beat is what a tracker takes from a heartbeat of a peer.
type Beat struct {
	Sender namer.Holder
	State  State
	// DataCentre and the addresses are empty if the beat does not name them; the last known ones stay.
	DataCentre       namer.DataCentre
	CallerAddress    string
	PeerAddress      string
	Number           int64
	DepartureVersion int64
	Heard            []Heard
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

// Peer is one other member as this instance sees it.
type Peer struct {
	Holder        namer.Holder
	DataCentre    namer.DataCentre
	CallerAddress string
	PeerAddress   string
	State         State
	// Silence is the time since its last sign of life.
	Silence time.Duration
	Lost    bool
}

// Action is what a tracker asks its caller to do.
type Action interface{ action() }

// WriteMember renews the own member record; call HearStore if the store answers.
type WriteMember struct {
	Member Member
}

// FetchDeparture asks a peer for the departures; the answer goes to ObserveDeparture or FailDeparture.
type FetchDeparture struct {
	Peer    namer.Holder
	Version int64
}

// LosePeer says that a member was silent for too long.
type LosePeer struct {
	Holder namer.Holder
}

// ApplyDeparture says that other data centres and targets are out of service now.
type ApplyDeparture struct {
	Version   int64
	Departure Departure
}

// StopAccepting says that new requests are refused with reason leaving from now on.
type StopAccepting struct{}

// ResumeAccepting says that new requests are accepted again, because the data centre is back in service.
type ResumeAccepting struct{}

// Exit says that nothing is left to do: once the write before it has ended, the process ends with status 0.
type Exit struct{}

func (WriteMember) action()     {}
func (FetchDeparture) action()  {}
func (LosePeer) action()        {}
func (ApplyDeparture) action()  {}
func (StopAccepting) action()   {}
func (ResumeAccepting) action() {}
func (Exit) action()            {}

// Tracker decides who is a member, what is out of service, and which addresses callers get.
type Tracker struct {
	settings Settings
	started  time.Time

	state    State
	bundle   int64
	number   int64
	writeDue time.Time
	running  int
	leaveAt  time.Time
	outAt    time.Time
	// stopped remembers which of StopAccepting and ResumeAccepting was returned last.
	stopped bool

	members    map[namer.Instance]*member
	holders    map[namer.Holder]*known
	list       map[namer.Instance]*listing
	listAt     time.Time
	storeHeard time.Time
	beatHeard  time.Time

	targets          map[namer.Target]Target
	departureVersion int64
	// highestDeparture is the highest version that any member has named.
	highestDeparture int64
	departure        Departure
	fetch            *fetch
	retryAt          map[namer.Instance]time.Time
}

// New returns the tracker of an instance that is starting.
func New(settings Settings, now time.Time) *Tracker {
	return &Tracker{
		settings:   settings,
		started:    now,
		state:      StateStarting,
		writeDue:   now,
		members:    map[namer.Instance]*member{},
		holders:    map[namer.Holder]*known{},
		list:       map[namer.Instance]*listing{},
		storeHeard: now,
		beatHeard:  now,
		targets:    map[namer.Target]Target{},
		retryAt:    map[namer.Instance]time.Time{},
	}
}

// HearStore notes that the store answered any call.
func (t *Tracker) HearStore(now time.Time) {
	t.storeHeard = latest(t.storeHeard, now)
}

// SetBundle notes the sequence in force, for the member record.
func (t *Tracker) SetBundle(sequence int64) {
	t.bundle = sequence
}

// NextNumber returns the number for the next heartbeat; member records and heartbeats share one sequence.
func (t *Tracker) NextNumber() int64 {
	t.number++
	return t.number
}

// Tick does what has become due; call it about once a second.
func (t *Tracker) Tick(now time.Time) []Action {
	var actions []Action
	if !now.Before(t.writeDue) && t.state != StateLeft {
		actions = append(actions, t.write(now))
	}
	actions = append(actions, t.losePeers(now)...)
	t.forget(now)
	actions = append(actions, t.decideFetch(now)...)
	return append(actions, t.decideLeaving(now)...)
}

// Isolated reports whether neither the store nor any peer was heard lately.
func (t *Tracker) Isolated(now time.Time) bool {
	return now.Sub(latest(t.storeHeard, t.beatHeard)) >= t.settings.IsolatedAfter
}

// Self returns the own state.
func (t *Tracker) Self() State {
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
			BundleSequence: t.bundle,
			DepartureSeen:  t.departureVersion,
			Number:         t.NextNumber(),
			Heard:          t.Heard(),
		},
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
