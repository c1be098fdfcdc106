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

// ReadPointer reads bundle_pointer/current, and with it the departures, in case a watch missed a change; the answer goes
// to HearPointer.
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

// rejectWait is how long a source is left alone after it delivered a bundle that was not accepted.
const rejectWait = 10 * time.Second

// Follower decides which bundle is in force on one instance.
type Follower struct {
	settings Settings
	started  time.Time
	inForce  *Signed
	pointer  Pointer
	// pointerHeard tells a pointer that names no bundle from one that was never read.
	pointerHeard bool
	pointerDue   time.Time
	storeHeard   time.Time
	peers        map[namer.Instance]*followedPeer
	fetch        *fetch
	retryAt      map[namer.Instance]time.Time
	watching     bool
	ready        bool
}

type followedPeer struct {
	sequence   int64
	heard      time.Time
	storeHeard time.Time
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

// HearPeer takes the sequence in force on a peer and the age of the peer's last store answer (negative: never).
func (f *Follower) HearPeer(peer namer.Instance, sequence int64, storeAge time.Duration, now time.Time) []Action {
	if peer == f.settings.Self || peer == FromStore {
		return nil
	}
	p := f.peers[peer]
	if p == nil {
		p = &followedPeer{}
		f.peers[peer] = p
	}
	p.sequence = sequence
	p.heard = now
	if storeAge >= 0 {
		p.storeHeard = now.Add(-storeAge)
	}
	return f.decide(now)
}

// ForgetPeer removes a peer that left.
func (f *Follower) ForgetPeer(peer namer.Instance, now time.Time) []Action {
	delete(f.peers, peer)
	return f.decide(now)
}

// HearPointer takes a pointer read or watched in the store; the zero pointer means that none was rolled yet.
func (f *Follower) HearPointer(p Pointer, now time.Time) []Action {
	f.HearStore(now)
	f.pointerHeard = true
	f.pointerDue = now.Add(f.settings.PointerInterval)
	if p.Sequence > f.pointer.Sequence {
		f.pointer = p
	}
	return f.decide(now)
}

// HearStore notes that the store answered any call.
func (f *Follower) HearStore(now time.Time) {
	f.storeHeard = now
}

// ReceiveBundle takes a bundle from a peer or from FromStore, asked for or not.
func (f *Follower) ReceiveBundle(source namer.Instance, s Signed, now time.Time) []Action {
	f.endFetch(source)
	if s.Sequence <= f.Sequence() {
		return f.decide(now)
	}
	b, err := f.check(s)
	if err != nil {
		f.retryAt[source] = now.Add(rejectWait)
		return append([]Action{ReportRejected{
			Source:   source,
			Sequence: s.Sequence,
			Err:      err,
		}}, f.decide(now)...)
	}
	f.inForce = &s
	return append([]Action{PutInForce{
		Bundle: b,
		Signed: s,
	}}, f.decide(now)...)
}

// FailFetch notes that a source did not deliver the bundle it was asked for.
func (f *Follower) FailFetch(source namer.Instance, now time.Time) []Action {
	f.endFetch(source)
	f.retryAt[source] = now.Add(f.settings.FetchTimeout)
	return f.decide(now)
}

// Tick does what has become due; call it about once a second.
func (f *Follower) Tick(now time.Time) []Action {
	var actions []Action
	if !now.Before(f.pointerDue) {
		f.pointerDue = now.Add(f.pointerWait())
		actions = append(actions, ReadPointer{})
	}
	return append(actions, f.decide(now)...)
}

// pointerWait is short until the pointer was read once, because a new instance is not ready before.
func (f *Follower) pointerWait() time.Duration {
	if f.pointerHeard {
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

// Watching reports whether this instance holds the watches.
func (f *Follower) Watching() bool {
	return f.watching
}

// Ready reports whether this instance has a bundle to serve with; it stays true once it was.
func (f *Follower) Ready() bool {
	return f.ready
}

func (f *Follower) check(s Signed) (Bundle, error) {
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

func (f *Follower) decide(now time.Time) []Action {
	actions := f.decideWatch(now)
	actions = append(actions, f.decideFetch(now)...)
	f.decideReady(now)
	return actions
}

// decideFetch keeps one fetch open as long as a higher sequence is known.
func (f *Follower) decideFetch(now time.Time) []Action {
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
	if f.pointer.Sequence > f.Sequence() && f.mayAsk(FromStore, now) {
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

func (f *Follower) mayAsk(source namer.Instance, now time.Time) bool {
	return !now.Before(f.retryAt[source])
}

// bestPeer returns the live peer with the highest sequence; among equals each instance starts at another one.
func (f *Follower) bestPeer(now time.Time) (namer.Instance, int64) {
	live := f.liveNames(now)
	start := slices.Index(live, f.settings.Self) + 1
	var best namer.Instance
	var sequence int64
	for i := range live {
		name := live[(start+i)%len(live)]
		p := f.peers[name]
		if p != nil && p.sequence > sequence && f.mayAsk(name, now) {
			best = name
			sequence = p.sequence
		}
	}
	return best, sequence
}

// liveNames returns the names of this instance and of the peers heard lately, sorted.
func (f *Follower) liveNames(now time.Time) []namer.Instance {
	names := []namer.Instance{f.settings.Self}
	for name, p := range f.peers {
		if now.Sub(p.heard) < f.settings.PeerSilence {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// decideWatch gives the watches to the lowest live names that reach the store, or to the lowest live ones if none does.
func (f *Follower) decideWatch(now time.Time) []Action {
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
	wanted := rank >= 0 && rank < f.settings.Watchers
	if wanted == f.watching {
		return nil
	}
	f.watching = wanted
	if wanted {
		return []Action{StartWatch{}}
	}
	return []Action{StopWatch{}}
}

func (f *Follower) reachesStore(name namer.Instance, now time.Time) bool {
	heard := f.storeHeard
	if p := f.peers[name]; p != nil {
		heard = p.storeHeard
	}
	return !heard.IsZero() && now.Sub(heard) < f.settings.StoreSilence
}

// decideReady lets a new instance look for the highest bundle before it serves with an older one.
func (f *Follower) decideReady(now time.Time) {
	if f.ready || f.inForce == nil {
		return
	}
	newest := f.pointerHeard && f.Sequence() >= f.highestKnown()
	f.ready = newest || now.Sub(f.started) >= f.settings.StartWait
}

func (f *Follower) highestKnown() int64 {
	highest := f.pointer.Sequence
	for p := range maps.Values(f.peers) {
		highest = max(highest, p.sequence)
	}
	return highest
}
