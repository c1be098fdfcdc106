package roller

import (
	"crypto/ed25519"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings configure a follower.
type Settings struct {
	Self      namer.Instance
	Approvers map[string]ed25519.PublicKey
	// Watchers is how many instances of a cell hold watches.
	Watchers int
	// PeerSilence is how long a peer may be silent before it stops counting as live.
	PeerSilence time.Duration
	// StoreSilence is how old a store answer may be before an instance stops counting as a watcher.
	StoreSilence time.Duration
	// PointerInterval is the time between reads of the pointer.
	PointerInterval time.Duration
	// FetchTimeout is how long a fetch may take before another source is tried.
	FetchTimeout time.Duration
	// StartWait is how long a new instance looks for a newer bundle before it serves with the one it has.
	StartWait time.Duration
}

// DefaultSettings returns the settings of today's deployment.
func DefaultSettings(self namer.Instance, approvers map[string]ed25519.PublicKey) Settings {
	return Settings{
		Self:            self,
		Approvers:       approvers,
		Watchers:        2,
		PeerSilence:     3 * time.Second,
		StoreSilence:    9 * time.Second,
		PointerInterval: 30 * time.Second,
		FetchTimeout:    time.Second,
		StartWait:       3 * time.Second,
	}
}

// Action is what a follower asks its caller to do.
type Action interface{ action() }

// PutInForce replaces the bundle in force.
type PutInForce struct {
	Bundle Bundle
	Signed Signed
}

// FetchFromPeer asks a peer for its bundle; the answer goes to ReceiveBundle or FailFetch.
type FetchFromPeer struct {
	Peer     namer.Instance
	Sequence int64
}

// FetchFromStore reads bundle/<sequence>; the answer goes to ReceiveBundle or FailFetch.
type FetchFromStore struct {
	Sequence int64
}

// ReadPointer reads bundle_pointer/current; the answer goes to HearPointer or FailStore.
type ReadPointer struct{}

// StartWatch begins to watch the pointer and the departures in the store.
type StartWatch struct{}

// StopWatch ends the watches, because other instances of the cell hold them.
type StopWatch struct{}

// ReportRejected logs a bundle or pointer that was not accepted.
type ReportRejected struct {
	Source   namer.Instance
	Sequence int64
	Err      error
}

func (PutInForce) action()     {}
func (FetchFromPeer) action()  {}
func (FetchFromStore) action() {}
func (ReadPointer) action()    {}
func (StartWatch) action()     {}
func (StopWatch) action()      {}
func (ReportRejected) action() {}

// FromStore is the source of bundles that were read from the store.
const FromStore namer.Instance = ""

// Follower decides which bundle is in force on one instance.
type Follower struct {
	settings Settings
}

// NewFollower returns a follower without a bundle.
func NewFollower(settings Settings, _ time.Time) *Follower {
	return &Follower{
		settings: settings,
	}
}

// HearPeer takes the sequence in force on a peer and the age of the peer's last store answer (negative: never).
func (f *Follower) HearPeer(_ namer.Instance, _ int64, _ time.Duration, _ time.Time) []Action {
	return nil
}

// ForgetPeer removes a peer that left.
func (f *Follower) ForgetPeer(_ namer.Instance, _ time.Time) []Action {
	return nil
}

// HearPointer takes a pointer read or watched in the store.
func (f *Follower) HearPointer(_ Pointer, _ time.Time) []Action {
	return nil
}

// HearStore notes that the store answered any call.
func (f *Follower) HearStore(_ time.Time) {}

// ReceiveBundle takes a bundle from a peer or from FromStore.
func (f *Follower) ReceiveBundle(_ namer.Instance, _ Signed, _ time.Time) []Action {
	return nil
}

// FailFetch notes that a source did not deliver the bundle it was asked for.
func (f *Follower) FailFetch(_ namer.Instance, _ time.Time) []Action {
	return nil
}

// Tick does what has become due; call it about once a second.
func (f *Follower) Tick(_ time.Time) []Action {
	return nil
}

// Sequence returns the sequence in force, 0 if none.
func (f *Follower) Sequence() int64 {
	return 0
}

// InForce returns the signed bundle in force, for peers that fetch it.
func (f *Follower) InForce() (Signed, bool) {
	return Signed{}, false
}

// Watching reports whether this instance holds the watches.
func (f *Follower) Watching() bool {
	return false
}

// Ready reports whether this instance has a bundle to serve with.
func (f *Follower) Ready() bool {
	return false
}
