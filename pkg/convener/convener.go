package convener

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// Settings are the tuning parameters of the leader election.
type Settings struct {
	// Ping is the interval at which a follower pings its leader.
	Ping time.Duration
	// Silence is the time without messages after which the leader counts as lost.
	Silence time.Duration
	// RankDelay is the additional delay per rank before an instance tries to become leader.
	RankDelay time.Duration
	// MaxRank limits the rank in that delay.
	MaxRank int
	// Unreachable is how long a peer is skipped after it could not be joined.
	Unreachable time.Duration
	// Check is the interval at which a leader checks that the store still names it.
	Check time.Duration
	// NotLeadingRetries is how many times a reachable peer that isn't leading is asked again.
	NotLeadingRetries int
	// StandbyPing and StandbySilence replace Ping and Silence for an instance that callers aren't told to use.
	StandbyPing    time.Duration
	StandbySilence time.Duration
	// StandbySpread is the period over which the instances on standby join again after the loss of their leader.
	StandbySpread time.Duration
	// SeedTime is how long an instance that has just started asks its seeds for the leader before it reads the store, and SeedRetry the
	// pause between two seeds. Hundreds may start at once, and each call to the store has a cost.
	SeedTime  time.Duration
	SeedRetry time.Duration
	// Retry is how long an instance that reached no peer leads only itself before it searches again.
	Retry time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Ping:              250 * time.Millisecond,
		Silence:           800 * time.Millisecond,
		RankDelay:         40 * time.Millisecond,
		MaxRank:           16,
		Unreachable:       2 * time.Second,
		Check:             3 * time.Second,
		NotLeadingRetries: 3,
		StandbyPing:       time.Second,
		StandbySilence:    3 * time.Second,
		StandbySpread:     time.Second,
		SeedTime:          800 * time.Millisecond,
		SeedRetry:         50 * time.Millisecond,
		Retry:             time.Second,
	}
}

// Peer is an instance that can be joined.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Role is the current role of an instance: Searching, Following or Leading.
type Role int

// Roles of an instance.
const (
	// Searching instances place their own work until they find a leader.
	Searching Role = iota
	// Following instances have their work placed by the leader.
	Following
	// Leading instances place their own work and that of their followers.
	Leading
)

// String returns the name used in logs.
func (r Role) String() string {
	return [...]string{"searching", "following", "leading"}[r]
}

// Action is an action for the caller to carry out: ReadPointer, WritePointer, Join, Ping or Leave.
type Action interface {
	action()
}

// ReadPointer reads the pointer object; the caller must report PointerRead or StoreUnavailable.
type ReadPointer struct{}

// WritePointer names this instance as leader if the pointer still has the given version, or still doesn't exist; the caller
// must report PointerWritten, PointerRead or StoreUnavailable.
type WritePointer struct {
	Version versioner.Version
}

// Join asks a peer to accept this instance as a follower; the caller must report Joined, Redirected or JoinFailed.
type Join struct {
	Peer Peer
}

// Ping sends a ping to the leader.
type Ping struct{}

// Leave closes the connection to the leader.
type Leave struct{}

func (ReadPointer) action()  {}
func (WritePointer) action() {}
func (Join) action()         {}
func (Ping) action()         {}
func (Leave) action()        {}

// Pointer is the content of the object that names the leader, and its version.
type Pointer struct {
	Leader  Peer
	Version versioner.Version
}

// Convener is the election state machine of one instance.
type Convener struct {
	settings Settings
	self     Peer
	// spread is this instance's part, from 0 to 1, of delays by which the steps of many instances are spread.
	spread  float64
	rank    int
	role    Role
	leader  Peer
	pointer Pointer
	// leads is the last version of the pointer that named this instance.
	leads versioner.Version
	// actionPending is set while a ReadPointer, WritePointer or Join action is in progress.
	actionPending bool
	// nextStep is when the search continues, or when a leader next checks the pointer.
	nextStep time.Time
	// claimNext is set if the next step is to write this instance into the pointer.
	claimNext bool
	// succession lists the peers to try in order while the store is unavailable.
	succession []Peer
	peersTried int
	// notLeading counts consecutive answers from peers that aren't leading yet.
	notLeading  int
	unreachable map[string]time.Time
	// standby is set while callers aren't told to use this instance.
	standby bool
	// rejoin is set if the next step is to join the leader again, to which the connection was lost.
	rejoin bool
	// seeds are the peers to ask at the start, nextSeed counts those asked, and seedsUntil is when the store is read instead.
	seeds      []Peer
	nextSeed   int
	seedsUntil time.Time
	// eager is set until a strong instance that has just started has found a leader, or that it can't reach the store: it reads the
	// pointer before it asks the seeds and claims without a delay, since all may have started at once, the seeds last.
	eager      bool
	laterSeeds []Peer
	lastHeard  time.Time
	lastPing   time.Time
}

// New returns a convener in the role Searching; rank determines how long this instance waits before it tries to lead.
func New(settings Settings, self Peer, rank int, succession []Peer) *Convener {
	c := &Convener{
		settings:    settings,
		self:        self,
		spread:      spreadOf(self.Name),
		rank:        rank,
		succession:  succession,
		unreachable: map[string]time.Time{},
	}
	if !slices.ContainsFunc(succession, func(p Peer) bool { return p.Address == self.Address }) {
		c.seeds = succession
	}
	return c
}

// StartEagerly makes this instance turn to the store before the seeds, and claim without a delay.
func (c *Convener) StartEagerly() {
	c.eager = true
	c.laterSeeds, c.seeds = c.seeds, nil
}

// claimDelay is how long this instance waits before it writes itself into the pointer.
func (c *Convener) claimDelay() time.Duration {
	if c.eager {
		return 0
	}
	return time.Duration(min(c.rank, c.settings.MaxRank)) * c.settings.RankDelay
}

// spreadOf returns a number from 0 to 1 that differs between instances.
func spreadOf(name string) float64 {
	h := fnv.New32a()
	// Write never fails.
	_, _ = h.Write([]byte(name))
	return float64(h.Sum32()) / math.MaxUint32
}

// Role returns the current role.
func (c *Convener) Role() Role {
	return c.role
}

// Leader returns the leader that this instance follows; it is empty unless the role is Following.
func (c *Convener) Leader() Peer {
	if c.role != Following {
		return Peer{}
	}
	return c.leader
}

// SetSuccession replaces the peers to try and this instance's rank among them.
func (c *Convener) SetSuccession(succession []Peer, rank int) {
	c.succession = succession
	c.rank = rank
}

// SetStandby records whether callers are told to use this instance. One on standby needs its leader less urgently.
func (c *Convener) SetStandby(standby bool) {
	c.standby = standby
}

// pace returns the interval of pings and the silence after which the leader counts as lost.
func (c *Convener) pace() (ping, silence time.Duration) {
	if c.standby {
		return c.settings.StandbyPing, c.settings.StandbySilence
	}
	return c.settings.Ping, c.settings.Silence
}

// Tick returns the actions that are due.
func (c *Convener) Tick(now time.Time) []Action {
	ping, silence := c.pace()
	switch c.role {
	case Following:
		if now.Sub(c.lastHeard) > silence {
			return c.leaderTimedOut(now)
		}
		if now.Sub(c.lastPing) >= ping {
			c.lastPing = now
			return []Action{Ping{}}
		}
	case Searching, Leading:
		if !c.actionPending && !now.Before(c.nextStep) {
			return c.search(now)
		}
	}
	return nil
}

// search returns the next action of the search.
func (c *Convener) search(now time.Time) []Action {
	if c.rejoin {
		c.rejoin = false
		return c.join(c.leader)
	}
	if p, found := c.seed(now); found {
		return c.join(p)
	}
	c.actionPending = true
	if c.claimNext {
		c.claimNext = false
		return []Action{WritePointer{
			Version: c.pointer.Version,
		}}
	}
	return []Action{ReadPointer{}}
}

// seed returns the next seed to ask for the leader; there is none unless this instance has just started.
func (c *Convener) seed(now time.Time) (Peer, bool) {
	if len(c.seeds) == 0 {
		return Peer{}, false
	}
	if c.seedsUntil.IsZero() {
		c.seedsUntil = now.Add(c.settings.SeedTime)
	}
	if now.After(c.seedsUntil) {
		c.seeds = nil
		return Peer{}, false
	}
	c.nextStep = now.Add(c.settings.SeedRetry)
	p := c.seeds[c.nextSeed%len(c.seeds)]
	c.nextSeed++
	return p, true
}

// leaderTimedOut marks the leader as unreachable and starts a search.
func (c *Convener) leaderTimedOut(now time.Time) []Action {
	c.unreachable[c.leader.Name] = now.Add(c.settings.Unreachable)
	c.setRole(Searching)
	c.nextStep = now
	return append([]Action{Leave{}}, c.Tick(now)...)
}

func (c *Convener) setRole(role Role) {
	c.role = role
	c.actionPending = false
	c.claimNext = false
	c.rejoin = false
	c.peersTried = 0
	c.notLeading = 0
}

// LeaderDisconnected records that the connection to the leader was lost. The leader may still be running (connection reset),
// so it is joined once more before any instance takes over.
func (c *Convener) LeaderDisconnected(now time.Time) []Action {
	if c.role != Following {
		return nil
	}
	c.setRole(Searching)
	c.nextStep = now
	c.rejoin = true
	if c.standby {
		c.nextStep = now.Add(time.Duration(c.spread * float64(c.settings.StandbySpread)))
	}
	return append([]Action{Leave{}}, c.Tick(now)...)
}

// LeaderHeard records the time of a message from the leader.
func (c *Convener) LeaderHeard(now time.Time) {
	c.lastHeard = now
}

// PointerRead handles the pointer as read from the store.
func (c *Convener) PointerRead(now time.Time, pointer Pointer) []Action {
	c.actionPending = false
	c.pointer = pointer
	switch {
	case pointer.Version.Exists() && pointer.Leader.Name == c.self.Name:
		c.leads = pointer.Version
		c.startLeading(now)
		return nil
	case pointer.Leader.Address == c.self.Address:
		// This instance was the leader before a restart: at its address, other instances can only reach this process.
		c.claimNext = true
		c.nextStep = now
		return c.Tick(now)
	case !pointer.Version.Exists() || c.isUnreachable(now, pointer.Leader):
		// There is no leader, or it is unreachable.
		c.claimNext = true
		c.nextStep = now.Add(c.claimDelay())
		return c.Tick(now)
	case c.role == Leading && c.leads.Exists() && pointer.Version.Era > c.leads.Era:
		// A restored store may name a former leader; this instance goes on to lead unless that one still does.
		return c.join(pointer.Leader)
	default:
		c.role = Searching
		return c.join(pointer.Leader)
	}
}

func (c *Convener) startLeading(now time.Time) {
	c.eager = false
	c.setRole(Leading)
	c.nextStep = now.Add(c.settings.Check)
}

func (c *Convener) isUnreachable(now time.Time, p Peer) bool {
	return now.Before(c.unreachable[p.Name])
}

func (c *Convener) join(p Peer) []Action {
	c.actionPending = true
	return []Action{Join{
		Peer: p,
	}}
}

// PointerWritten records that the store now names this instance as leader.
func (c *Convener) PointerWritten(now time.Time, version versioner.Version) {
	c.pointer = Pointer{
		Leader:  c.self,
		Version: version,
	}
	c.leads = version
	c.startLeading(now)
}

// CheckNow makes a leader read the pointer at the next tick.
func (c *Convener) CheckNow(now time.Time) {
	if c.role == Leading {
		c.nextStep = now
	}
}

// StoreUnavailable records that the store didn't answer: the search continues among peers.
func (c *Convener) StoreUnavailable(now time.Time) []Action {
	c.actionPending = false
	if c.role == Leading {
		c.nextStep = now.Add(c.settings.Retry)
		return nil
	}
	if c.eager && c.role == Searching {
		c.eager = false
		c.seeds = c.laterSeeds
		return c.Tick(now)
	}
	return c.joinNextPeer(now)
}

// joinNextPeer joins the next peer in the succession; an instance that reaches no peer leads itself.
func (c *Convener) joinNextPeer(now time.Time) []Action {
	for c.peersTried < len(c.succession) {
		p := c.succession[c.peersTried]
		c.peersTried++
		if p.Address == c.self.Address {
			// All peers with a lower rank were unreachable.
			break
		}
		if !c.isUnreachable(now, p) {
			return c.join(p)
		}
	}
	c.setRole(Leading)
	c.nextStep = now.Add(c.settings.Retry)
	return nil
}

// Joined records that a peer has accepted this instance as a follower.
func (c *Convener) Joined(now time.Time, p Peer) {
	c.seeds = nil
	c.eager = false
	c.setRole(Following)
	c.leader = p
	c.lastHeard = now
	c.lastPing = now
}

// Redirected records that a process isn't leading: from is the peer that was asked to accept this instance, answerer the process
// that answered at its address, and to the leader that it named, empty if it knows none.
func (c *Convener) Redirected(now time.Time, from, answerer, to Peer) []Action {
	c.actionPending = false
	if len(c.seeds) > 0 && to.Address == "" {
		// The next seed may know the leader.
		return nil
	}
	if from == c.pointer.Leader && answerer.Name != from.Name {
		// The leader's process was restarted, so the process that the store names is gone.
		return c.JoinFailed(now, from)
	}
	if to.Address == "" && c.notLeading < c.settings.NotLeadingRetries {
		// The peer is running and is about to lead, or is itself searching.
		c.notLeading++
		c.nextStep = now.Add(c.settings.Ping)
		return nil
	}
	if to.Address == "" || to.Address == c.self.Address || c.isUnreachable(now, to) {
		return c.JoinFailed(now, from)
	}
	return c.join(to)
}

// JoinFailed records that a peer could not be joined.
func (c *Convener) JoinFailed(now time.Time, p Peer) []Action {
	c.actionPending = false
	if len(c.seeds) > 0 {
		// The next seed is asked after the pause that began with this one.
		return nil
	}
	c.unreachable[p.Name] = now.Add(c.settings.Unreachable)
	if c.peersTried > 0 {
		return c.joinNextPeer(now)
	}
	if p.Name == c.pointer.Leader.Name {
		c.claimNext = true
		c.nextStep = now.Add(c.claimDelay())
		return c.Tick(now)
	}
	c.nextStep = now.Add(c.settings.RankDelay)
	return nil
}
