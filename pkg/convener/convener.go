package convener

import (
	"time"
)

// Settings are the constants of the convener.
type Settings struct {
	// Ping is how often a follower writes to its leader.
	Ping time.Duration
	// Silence is how long a leader may say nothing before it counts as lost.
	Silence time.Duration
	// RankDelay is how much later an instance of the next rank tries to lead.
	RankDelay time.Duration
	// MaxRank bounds the wait.
	MaxRank int
	// Unreachable is how long a peer that could not be joined is passed over.
	Unreachable time.Duration
	// Check is how often a leader looks whether the store still names it.
	Check time.Duration
	// NotLeadingRetries is how often a peer that lives but does not lead is asked again.
	NotLeadingRetries int
	// Retry is how long an instance that reached nobody leads itself alone before it searches again.
	Retry time.Duration
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		Ping:              250 * time.Millisecond,
		Silence:           800 * time.Millisecond,
		RankDelay:         40 * time.Millisecond,
		MaxRank:           16,
		Unreachable:       2 * time.Second,
		Check:             3 * time.Second,
		NotLeadingRetries: 3,
		Retry:             time.Second,
	}
}

// Peer is an instance that can be joined.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Role is what an instance does at present: Searching, Following or Leading.
type Role int

// The roles.
const (
	// Searching instances place their own work until they have found a leader.
	Searching Role = iota
	// Following instances have their work placed by the leader.
	Following
	// Leading instances place the work of all that follow.
	Leading
)

// String returns the name used in logs.
func (r Role) String() string {
	return [...]string{"searching", "following", "leading"}[r]
}

// Action is what the caller must do: ReadPointer, WritePointer, Join, Ping or Leave.
type Action interface {
	action()
}

// ReadPointer reads the object that names the leader; Read or Unavailable must follow.
type ReadPointer struct{}

// WritePointer names this instance, if the object still has the version (0: if there is none); Written, Read or
// Unavailable must follow.
type WritePointer struct {
	Version int64
}

// Join asks a peer to be followed; Joined, Redirected or Refused must follow.
type Join struct {
	Peer Peer
}

// Ping writes to the leader.
type Ping struct{}

// Leave closes the connection to the leader.
type Leave struct{}

func (ReadPointer) action()  {}
func (WritePointer) action() {}
func (Join) action()         {}
func (Ping) action()         {}
func (Leave) action()        {}

// Pointer is the object that names the leader; a zero version means that there is none.
type Pointer struct {
	Leader  Peer
	Version int64
}

// Convener keeps the role of one instance.
type Convener struct {
	settings Settings
	self     Peer
	rank     int
	role     Role
	leader   Peer
	pointer  Pointer
	// pending is set while an action of the search is under way.
	pending bool
	// next is when the search goes on, or a leader checks the pointer.
	next time.Time
	// takeover is set when the next step is to name this instance.
	takeover bool
	// line are the peers to try while the store is away.
	line  []Peer
	tries int
	// notLeading counts the answers of peers that do not lead yet.
	notLeading  int
	unreachable map[string]time.Time
	heard       time.Time
	pinged      time.Time
}

// New returns a convener that searches; rank is this instance's turn when nobody leads.
func New(settings Settings, self Peer, rank int, line []Peer) *Convener {
	return &Convener{
		settings:    settings,
		self:        self,
		rank:        rank,
		line:        line,
		unreachable: map[string]time.Time{},
	}
}

// Role returns the present role.
func (c *Convener) Role() Role {
	return c.role
}

// Leader returns whom this instance follows; it is empty unless the role is Following.
func (c *Convener) Leader() Peer {
	if c.role != Following {
		return Peer{}
	}
	return c.leader
}

// SetLine replaces the peers to try, and this instance's turn among them.
func (c *Convener) SetLine(line []Peer, rank int) {
	c.line = line
	c.rank = rank
}

// Tick returns what is due.
func (c *Convener) Tick(now time.Time) []Action {
	switch c.role {
	case Following:
		if now.Sub(c.heard) > c.settings.Silence {
			return c.lose(now)
		}
		if now.Sub(c.pinged) >= c.settings.Ping {
			c.pinged = now
			return []Action{Ping{}}
		}
	case Searching, Leading:
		if !c.pending && !now.Before(c.next) {
			return c.search()
		}
	}
	return nil
}

// search takes the next step of the search.
func (c *Convener) search() []Action {
	c.pending = true
	if c.takeover {
		c.takeover = false
		return []Action{WritePointer{
			Version: c.pointer.Version,
		}}
	}
	return []Action{ReadPointer{}}
}

// lose gives up the leader and searches at once.
func (c *Convener) lose(now time.Time) []Action {
	c.unreachable[c.leader.Name] = now.Add(c.settings.Unreachable)
	c.become(Searching)
	c.next = now
	return append([]Action{Leave{}}, c.Tick(now)...)
}

func (c *Convener) become(role Role) {
	c.role = role
	c.pending = false
	c.takeover = false
	c.tries = 0
	c.notLeading = 0
}

// Lost records that the connection to the leader has broken. The leader may live on behind a connection that was reset: it is
// joined once more before anybody takes its place.
func (c *Convener) Lost(now time.Time) []Action {
	if c.role != Following {
		return nil
	}
	c.become(Searching)
	c.next = now
	return append([]Action{Leave{}}, c.join(c.leader)...)
}

// Heard records a message of the leader.
func (c *Convener) Heard(now time.Time) {
	c.heard = now
}

// Read takes the pointer as the store has it.
func (c *Convener) Read(now time.Time, pointer Pointer) []Action {
	c.pending = false
	c.pointer = pointer
	switch {
	case pointer.Version != 0 && pointer.Leader.Name == c.self.Name:
		c.lead(now)
		return nil
	case pointer.Leader.Address == c.self.Address:
		// This instance led before it was restarted: the others can reach nobody at its address but itself.
		c.takeover = true
		c.next = now
		return c.Tick(now)
	case pointer.Version == 0 || c.avoided(now, pointer.Leader):
		// Nobody leads, or the one who did cannot be reached.
		c.takeover = true
		c.next = now.Add(time.Duration(min(c.rank, c.settings.MaxRank)) * c.settings.RankDelay)
		return c.Tick(now)
	default:
		c.role = Searching
		return c.join(pointer.Leader)
	}
}

func (c *Convener) lead(now time.Time) {
	c.become(Leading)
	c.next = now.Add(c.settings.Check)
}

func (c *Convener) avoided(now time.Time, p Peer) bool {
	return now.Before(c.unreachable[p.Name])
}

func (c *Convener) join(p Peer) []Action {
	c.pending = true
	return []Action{Join{
		Peer: p,
	}}
}

// Written records that the store now names this instance.
func (c *Convener) Written(now time.Time, version int64) {
	c.pointer = Pointer{
		Leader:  c.self,
		Version: version,
	}
	c.lead(now)
}

// Unavailable records that the store did not answer: the search goes on among peers.
func (c *Convener) Unavailable(now time.Time) []Action {
	c.pending = false
	if c.role == Leading {
		c.next = now.Add(c.settings.Retry)
		return nil
	}
	return c.tryLine(now)
}

// tryLine joins the next peer in line; an instance that finds nobody leads itself.
func (c *Convener) tryLine(now time.Time) []Action {
	for c.tries < len(c.line) {
		p := c.line[c.tries]
		c.tries++
		if p.Address == c.self.Address {
			// The peers before this one could not be reached.
			break
		}
		if !c.avoided(now, p) {
			return c.join(p)
		}
	}
	c.become(Leading)
	c.next = now.Add(c.settings.Retry)
	return nil
}

// Joined records that a peer lets this instance follow.
func (c *Convener) Joined(now time.Time, p Peer) {
	c.become(Following)
	c.leader = p
	c.heard = now
	c.pinged = now
}

// Redirected records that the process at a peer's address, answerer, does not lead and follows another one, if any.
func (c *Convener) Redirected(now time.Time, from, answerer, to Peer) []Action {
	c.pending = false
	if from == c.pointer.Leader && answerer.Name != from.Name {
		// The leader's process was restarted, so that the one that the store names is gone.
		return c.Refused(now, from)
	}
	if to.Address == "" && c.notLeading < c.settings.NotLeadingRetries {
		// The peer lives and is about to lead, or looks for a leader itself.
		c.notLeading++
		c.next = now.Add(c.settings.Ping)
		return nil
	}
	if to.Address == "" || to.Address == c.self.Address || c.avoided(now, to) {
		return c.Refused(now, from)
	}
	return c.join(to)
}

// Refused records that a peer could not be joined.
func (c *Convener) Refused(now time.Time, p Peer) []Action {
	c.pending = false
	c.unreachable[p.Name] = now.Add(c.settings.Unreachable)
	if c.tries > 0 {
		return c.tryLine(now)
	}
	if p.Name == c.pointer.Leader.Name {
		c.takeover = true
		c.next = now.Add(time.Duration(min(c.rank, c.settings.MaxRank)) * c.settings.RankDelay)
		return c.Tick(now)
	}
	c.next = now.Add(c.settings.RankDelay)
	return nil
}
