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
	}
}

// Beat is what a tracker takes from a heartbeat of a peer.
type Beat struct {
	Sender           namer.Holder
	State            State
	DataCentre       namer.DataCentre
	CallerAddress    string
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

// WriteMember renews the own member record; report the outcome with HearStore.
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

// Exit says that nothing is left to do and the process ends with status 0.
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
}

// New returns the tracker of an instance that is starting.
func New(settings Settings, _ time.Time) *Tracker {
	return &Tracker{
		settings: settings,
	}
}

// ObserveMember takes a member record read or watched in the store, with the version of the object.
func (t *Tracker) ObserveMember(_ int64, _ Member, _ time.Time) []Action { return nil }

// ForgetMember takes the deletion of a member record.
func (t *Tracker) ForgetMember(_ namer.Instance, _ time.Time) {}

// ObserveBeat takes a heartbeat, or the answer to one, from a peer.
func (t *Tracker) ObserveBeat(_ Beat, _ time.Time) []Action { return nil }

// ObserveList takes the platform's lagging list of instances.
func (t *Tracker) ObserveList(_ []Listed, _ time.Time) {}

// ObserveTarget takes a target record.
func (t *Tracker) ObserveTarget(_ Target) {}

// ForgetTarget takes the deletion of a target record.
func (t *Tracker) ForgetTarget(_ namer.Target) {}

// ObserveDeparture takes the departures at a version, from the store or a peer.
func (t *Tracker) ObserveDeparture(_ int64, _ Departure, _ time.Time) []Action { return nil }

// FailDeparture notes that a peer did not deliver its departures.
func (t *Tracker) FailDeparture(_ namer.Holder, _ time.Time) []Action { return nil }

// HearStore notes that the store answered any call.
func (t *Tracker) HearStore(_ time.Time) {}

// SetBundle notes the sequence in force, for the member record.
func (t *Tracker) SetBundle(_ int64) {}

// Serve changes the state from starting to serving.
func (t *Tracker) Serve(_ time.Time) []Action { return nil }

// Leave starts the planned stop of this instance.
func (t *Tracker) Leave(_ time.Time) []Action { return nil }

// SetRunning notes how many requests and duties (such as ownership) still hold this instance back from leaving.
func (t *Tracker) SetRunning(_ int, _ time.Time) []Action { return nil }

// Tick does what has become due; call it about once a second.
func (t *Tracker) Tick(_ time.Time) []Action { return nil }

// Addresses answers up to three addresses, nearest to the data centre first; number spreads successive answers.
func (t *Tracker) Addresses(_ namer.DataCentre, _ uint64, _ time.Time) []Address { return nil }

// Accepting reports whether new requests are accepted.
func (t *Tracker) Accepting(_ time.Time) bool { return false }

// Isolated reports whether neither the store nor any peer was heard lately.
func (t *Tracker) Isolated(_ time.Time) bool { return false }

// ConfirmedGone reports whether the process can hold no authority any more.
func (t *Tracker) ConfirmedGone(_ namer.Holder, _ time.Time) bool { return false }

// Peers returns the other members, sorted by name.
func (t *Tracker) Peers(_ time.Time) []Peer { return nil }

// LiveEntries returns how many instances accept requests, this one included.
func (t *Tracker) LiveEntries(_ time.Time) int { return 1 }

// Targets returns the targets in service, sorted by id.
func (t *Tracker) Targets() []Target { return nil }

// TargetOut reports whether a target or its data centre is taken out of service.
func (t *Tracker) TargetOut(_ namer.Target) bool { return false }

// Departures returns the departures in force and their version.
func (t *Tracker) Departures() (int64, Departure) { return 0, Departure{} }

// Heard returns the last numbers heard, for heartbeats and the member record.
func (t *Tracker) Heard() []Heard { return nil }

// Self returns the own state.
func (t *Tracker) Self() State { return StateStarting }
