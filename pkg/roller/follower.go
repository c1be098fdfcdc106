package roller

import (
	"crypto/ed25519"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings configure a follower.
type Settings struct {
	Self      namer.Instance
	Approvers map[string]ed25519.PublicKey
	// Watchers is the number of instances of a cell that watch the store.
	Watchers int
	// PeerSilence is the time without a heartbeat after which a peer counts as dead.
	PeerSilence time.Duration
	// StoreSilence is the time without a store response after which an instance is not eligible as a watcher.
	StoreSilence time.Duration
	// PointerInterval is the time between reads of the pointer.
	PointerInterval time.Duration
	// FetchTimeout is the time after which a fetch is abandoned, and the delay before its source is tried again.
	FetchTimeout time.Duration
	// StartWait is the maximum time that a new instance looks for a newer bundle before it serves with the one it has.
	StartWait time.Duration
}

// DefaultSettings returns the default settings.
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

// Action is an instruction of a follower to its caller.
type Action interface{ action() }

// PutInForce replaces the bundle in force.
type PutInForce struct {
	Bundle Bundle
	Signed Signed
}

// FetchFromPeer requests the bundle of a peer; pass the result to ReceiveBundle or ObserveFetchFailure.
type FetchFromPeer struct {
	Peer     namer.Instance
	Sequence int64
}

// FetchFromStore reads bundle/<sequence>; pass the result to ReceiveBundle or ObserveFetchFailure.
type FetchFromStore struct {
	Sequence int64
}

// ReadPointer reads bundle_pointer/current and the departures, in case a watch missed a change; pass the pointer to
// ObservePointer.
type ReadPointer struct{}

// StartWatch starts to watch the pointer and the departures in the store.
type StartWatch struct{}

// StopWatch stops the watches, because other instances of the cell hold them.
type StopWatch struct{}

// ReportRejected reports a bundle that failed verification.
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

// rejectBackoff is the time without fetches from a source that has delivered a rejected bundle.
const rejectBackoff = 10 * time.Second

// Follower decides which bundle is in force on one instance.
type Follower struct {
	settings Settings
	started  time.Time
	inForce  *Signed
	pointer  Pointer
	// pointerKnown distinguishes a pointer that names no bundle from one that was never read.
	pointerKnown    bool
	pointerDue      time.Time
	storeAnsweredAt time.Time
	peers           map[namer.Instance]*followedPeer
	fetch           *fetch
	// retryAt is the earliest time of another fetch from a source after a failed fetch or a rejected bundle.
	retryAt  map[namer.Instance]time.Time
	watching bool
	ready    bool
}

type followedPeer struct {
	sequence        int64
	lastHeard       time.Time
	storeAnsweredAt time.Time
}

type fetch struct {
	source   namer.Instance
	deadline time.Time
}

// NewFollower returns a follower without a bundle.
func NewFollower(settings Settings, now time.Time) *Follower {
	return &Follower{
		settings:   settings,
		started:    now,
		pointerDue: now,
		peers:      map[namer.Instance]*followedPeer{},
		retryAt:    map[namer.Instance]time.Time{},
	}
}

// ObservePeer processes a heartbeat: the sequence in force on a peer and the age of its last store response (negative:
// none).
func (f *Follower) ObservePeer(peer namer.Instance, sequence int64, storeAge time.Duration, now time.Time) []Action {
	if peer == f.settings.Self || peer == FromStore {
		return nil
	}
	p := f.peers[peer]
	if p == nil {
		p = &followedPeer{}
		f.peers[peer] = p
	}
	p.sequence = sequence
	p.lastHeard = now
	if storeAge >= 0 {
		p.storeAnsweredAt = now.Add(-storeAge)
	}
	return f.update(now)
}

// ForgetPeer removes a peer that left.
func (f *Follower) ForgetPeer(peer namer.Instance, now time.Time) []Action {
	delete(f.peers, peer)
	return f.update(now)
}

// ObservePointer processes a pointer from a read or watch; the zero pointer means that no bundle has been rolled yet.
func (f *Follower) ObservePointer(p Pointer, now time.Time) []Action {
	f.ObserveStoreResponse(now)
	f.pointerKnown = true
	f.pointerDue = now.Add(f.settings.PointerInterval)
	if p.Sequence > f.pointer.Sequence {
		f.pointer = p
	}
	return f.update(now)
}

// ObserveStoreResponse records that the store responded to a call of any kind.
func (f *Follower) ObserveStoreResponse(now time.Time) {
	f.storeAnsweredAt = now
}

// ReceiveBundle processes a bundle from a peer or FromStore, requested or not; only a higher sequence can replace the one
// in force.
func (f *Follower) ReceiveBundle(source namer.Instance, s Signed, now time.Time) []Action {
	f.endFetch(source)
	if s.Sequence <= f.Sequence() {
		return f.update(now)
	}
	b, err := f.verify(s)
	if err != nil {
		f.retryAt[source] = now.Add(rejectBackoff)
		return append([]Action{ReportRejected{
			Source:   source,
			Sequence: s.Sequence,
			Err:      err,
		}}, f.update(now)...)
	}
	f.inForce = &s
	return append([]Action{PutInForce{
		Bundle: b,
		Signed: s,
	}}, f.update(now)...)
}

// ObserveFetchFailure records that a fetch from a source failed.
func (f *Follower) ObserveFetchFailure(source namer.Instance, now time.Time) []Action {
	f.endFetch(source)
	f.retryAt[source] = now.Add(f.settings.FetchTimeout)
	return f.update(now)
}

// Tick returns the actions that have become due; call it about once a second.
func (f *Follower) Tick(now time.Time) []Action {
	var actions []Action
	if !now.Before(f.pointerDue) {
		f.pointerDue = now.Add(f.pointerWait())
		actions = append(actions, ReadPointer{})
	}
	return append(actions, f.update(now)...)
}

// pointerWait is short until the pointer is known, because a new instance becomes ready sooner with it.
func (f *Follower) pointerWait() time.Duration {
	if f.pointerKnown {
		return f.settings.PointerInterval
	}
	return f.settings.FetchTimeout
}

// Sequence returns the sequence in force, 0 if none.
func (f *Follower) Sequence() int64 {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Sequence
}

// InForce returns the signed bundle in force, for peers that fetch it.
func (f *Follower) InForce() (Signed, bool) {
	if f.inForce == nil {
		return Signed{}, false
	}
	return *f.inForce, true
}

// Watching reports whether this instance watches the store.
func (f *Follower) Watching() bool {
	return f.watching
}

// Ready reports whether this instance has a bundle to serve with; once true, it stays true.
func (f *Follower) Ready() bool {
	return f.ready
}

func (f *Follower) verify(s Signed) (Bundle, error) {
	b, err := Verify(s, f.settings.Approvers)
	if err != nil {
		return Bundle{}, err
	}
	if s.Sequence == f.pointer.Sequence && s.Digest != f.pointer.Digest {
		return Bundle{}, &PointerError{
			Sequence: s.Sequence,
			Want:     f.pointer.Digest,
			Got:      s.Digest,
		}
	}
	return b, nil
}

func (f *Follower) endFetch(source namer.Instance) {
	if f.fetch != nil && f.fetch.source == source {
		f.fetch = nil
	}
}

func (f *Follower) update(now time.Time) []Action {
	actions := f.updateWatch(now)
	actions = append(actions, f.nextFetch(now)...)
	f.updateReady(now)
	return actions
}

// nextFetch starts a fetch if a higher sequence is known and no fetch is in progress; peers are preferred to the store.
func (f *Follower) nextFetch(now time.Time) []Action {
	if f.fetch != nil && !now.Before(f.fetch.deadline) {
		f.retryAt[f.fetch.source] = now.Add(f.settings.FetchTimeout)
		f.fetch = nil
	}
	if f.fetch != nil {
		return nil
	}
	if peer, sequence := f.bestPeer(now); sequence > f.Sequence() {
		f.startFetch(peer, now)
		return []Action{FetchFromPeer{
			Peer:     peer,
			Sequence: sequence,
		}}
	}
	if f.pointer.Sequence > f.Sequence() && f.retryAllowed(FromStore, now) {
		f.startFetch(FromStore, now)
		return []Action{FetchFromStore{
			Sequence: f.pointer.Sequence,
		}}
	}
	return nil
}

func (f *Follower) startFetch(source namer.Instance, now time.Time) {
	f.fetch = &fetch{
		source:   source,
		deadline: now.Add(f.settings.FetchTimeout),
	}
}

func (f *Follower) retryAllowed(source namer.Instance, now time.Time) bool {
	return !now.Before(f.retryAt[source])
}

// bestPeer returns the live peer with the highest sequence; ties go to the next name after this instance, which spreads
// the fetches.
func (f *Follower) bestPeer(now time.Time) (namer.Instance, int64) {
	live := f.liveNames(now)
	start := slices.Index(live, f.settings.Self) + 1
	var best namer.Instance
	var sequence int64
	for i := range live {
		name := live[(start+i)%len(live)]
		p := f.peers[name]
		if p != nil && p.sequence > sequence && f.retryAllowed(name, now) {
			best = name
			sequence = p.sequence
		}
	}
	return best, sequence
}

// liveNames returns the sorted names of this instance and of the live peers.
func (f *Follower) liveNames(now time.Time) []namer.Instance {
	names := []namer.Instance{f.settings.Self}
	for name, p := range f.peers {
		if now.Sub(p.lastHeard) < f.settings.PeerSilence {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateWatch assigns the watches to the lowest live names that reach the store, or to the lowest live names if none does.
func (f *Follower) updateWatch(now time.Time) []Action {
	if now.Sub(f.started) < f.settings.PeerSilence {
		return nil
	}
	live := f.liveNames(now)
	candidates := slices.DeleteFunc(slices.Clone(live), func(name namer.Instance) bool {
		return !f.reachesStore(name, now)
	})
	if len(candidates) == 0 {
		candidates = live
	}
	rank := slices.Index(candidates, f.settings.Self)
	shouldWatch := rank >= 0 && rank < f.settings.Watchers
	if shouldWatch == f.watching {
		return nil
	}
	f.watching = shouldWatch
	if shouldWatch {
		return []Action{StartWatch{}}
	}
	return []Action{StopWatch{}}
}

func (f *Follower) reachesStore(name namer.Instance, now time.Time) bool {
	answered := f.storeAnsweredAt
	if p := f.peers[name]; p != nil {
		answered = p.storeAnsweredAt
	}
	return !answered.IsZero() && now.Sub(answered) < f.settings.StoreSilence
}

// updateReady keeps a new instance from serving with an old bundle: until StartWait has passed, it must have the highest
// known sequence.
func (f *Follower) updateReady(now time.Time) {
	if f.ready || f.inForce == nil {
		return
	}
	newest := f.pointerKnown && f.Sequence() >= f.highestKnown()
	f.ready = newest || now.Sub(f.started) >= f.settings.StartWait
}

func (f *Follower) highestKnown() int64 {
	highest := f.pointer.Sequence
	for p := range maps.Values(f.peers) {
		highest = max(highest, p.sequence)
	}
	return highest
}
