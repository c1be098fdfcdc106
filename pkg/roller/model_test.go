package roller

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// variant leaves one mechanism out, to show that the properties depend on it.
type variant int

const (
	complete variant = iota
	// acceptLower: any bundle with a valid signature is put in force.
	acceptLower
	// ignorePeers: sequences in heartbeats are not used.
	ignorePeers
	// fixedWatchers: the watches stay with the two lowest names whether they live or not.
	fixedWatchers
	// oneWatcher: a single instance of the cell holds the watches.
	oneWatcher
)

const (
	modelStep = 100 * time.Millisecond
	// healTime covers the takeover of watches and one read of the pointer.
	healTime = 40 * time.Second
	// rollTime is the target for a bundle to be in force everywhere.
	rollTime  = 3 * time.Second
	instances = 5
)

var (
	modelKey     = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	modelBundles = signModelBundles(12)
)

func signModelBundles(n int) []Signed {
	bundles := make([]Signed, n)
	for i := range bundles {
		b := Bundle{
			Sequence: int64(i + 1),
			Author:   "ada",
			Rules: Rules{
				DefaultDeadline: time.Second,
				MaxDeadline:     time.Minute,
			},
		}
		signed, err := Sign(b, "ben", modelKey)
		if err != nil {
			panic(err)
		}
		bundles[i] = signed
	}
	return bundles
}

// cell is a store and five instances whose messages are delayed, lost and repeated.
type cell struct {
	draw    schedule.Draw
	variant variant
	now     time.Time
	rolled  int
	members []*cellMember
	wire    schedule.Wire
	healed  bool
	fault   error
}

type cellMember struct {
	*Follower
	name     namer.Instance
	life     int
	highest  int64
	paused   bool
	dead     bool
	noStore  bool
	group    int
	watching bool
	storeAge time.Time
}

func newCell(draw schedule.Draw, v variant) *cell {
	c := &cell{
		draw:    draw,
		variant: v,
		now:     time.Unix(1000, 0),
	}
	for i := range instances {
		m := &cellMember{
			name: namer.Instance(fmt.Sprint("i", i)),
		}
		c.members = append(c.members, m)
		c.restart(m)
	}
	return c
}

func (c *cell) restart(m *cellMember) {
	settings := DefaultSettings(m.name, map[string]ed25519.PublicKey{
		"ben": modelKey.Public().(ed25519.PublicKey),
	})
	if c.variant == oneWatcher {
		settings.Watchers = 1
	}
	m.Follower = NewFollower(settings, c.now)
	m.life++
	m.highest = 0
	m.watching = false
	m.paused = false
	m.dead = false
	m.storeAge = time.Time{}
}

// run plays a schedule, repairs all but the dead, and requires that the next roll is in force in time.
func (c *cell) run(steps int) error {
	for range steps {
		c.disturb()
		c.pass(c.draw("steps", 12))
	}
	c.healed = true
	for i, m := range c.members {
		m.paused = false
		m.noStore = false
		m.group = 0
		// At least two instances live on; any others may stay dead.
		m.dead = m.dead && i < instances-2
	}
	c.pass(int(healTime / modelStep))
	c.checkAll("after all faults ended")
	c.stickWatch()
	c.rolled++
	c.hearPointers()
	c.pass(int(rollTime / modelStep))
	c.checkAll("in time after a roll")
	return c.fault
}

// stickWatch lets the connection of one watch stop responding, which nobody has noticed when the next roll comes.
func (c *cell) stickWatch() {
	i := slices.IndexFunc(c.members, func(m *cellMember) bool { return m.watching && !m.dead })
	if i >= 0 {
		c.members[i].watching = false
	}
}

func (c *cell) disturb() {
	m := c.members[c.draw("member", len(c.members))]
	switch c.draw("fault", 10) {
	case 1, 2:
		if c.rolled < len(modelBundles)-1 {
			c.rolled++
			c.hearPointers()
		}
	case 3:
		c.restart(m)
	case 4:
		m.dead = true
	case 5:
		m.paused = !m.paused
	case 6:
		m.noStore = !m.noStore
	case 7:
		m.group = c.draw("group", 2)
	case 8:
		for _, o := range c.members {
			o.noStore = true
		}
	case 9:
		c.replay(m)
	}
}

// replay delivers an old bundle again, as a healed partition or a repeated message would.
func (c *cell) replay(m *cellMember) {
	if c.rolled == 0 || m.dead || m.paused {
		return
	}
	c.receive(m, c.members[0].name, modelBundles[c.draw("old", c.rolled)])
}

func (c *cell) pass(steps int) {
	for range steps {
		c.now = c.now.Add(modelStep)
		c.wire.DeliverDue(c.now)
		step := int(c.now.UnixMilli()/modelStep.Milliseconds()) % 10
		for i, m := range c.members {
			if step == i && !m.dead && !m.paused {
				c.second(m)
			}
		}
	}
}

// second is what an instance does once a second.
func (c *cell) second(m *cellMember) {
	c.reachStore(m)
	c.do(m, m.Tick(c.now))
	age := time.Duration(-1)
	if !m.storeAge.IsZero() {
		age = c.now.Sub(m.storeAge)
	}
	sequence := m.Sequence()
	if c.variant == ignorePeers {
		sequence = 0
	}
	for _, o := range c.members {
		if o != m {
			c.send(m, o, func() { c.do(o, o.HearPeer(m.name, sequence, age, c.now)) })
		}
	}
}

// reachStore stands for the renewal of the member record.
func (c *cell) reachStore(m *cellMember) bool {
	if m.noStore || m.dead {
		return false
	}
	m.HearStore(c.now)
	m.storeAge = c.now
	return true
}

// send delivers a message after a random delay unless a fault stops it; messages overtake each other.
func (c *cell) send(from, to *cellMember, deliver func()) {
	delay := 0
	if !c.healed {
		delay = c.draw("delay", 4)
	}
	life := to.life
	c.wire.PostAt(c.now.Add(time.Duration(delay)*modelStep), func() {
		if to.life == life && !to.dead && !to.paused && from.group == to.group {
			deliver()
		}
	})
}

func (c *cell) hearPointers() {
	for _, m := range c.members {
		if m.watching {
			c.send(m, m, func() { c.hearPointer(m) })
		}
	}
}

func (c *cell) hearPointer(m *cellMember) {
	if !c.reachStore(m) {
		return
	}
	var p Pointer
	if c.rolled > 0 {
		p.Sequence = int64(c.rolled)
		p.Digest = modelBundles[c.rolled-1].Digest
	}
	c.do(m, m.HearPointer(p, c.now))
}

func (c *cell) do(m *cellMember, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case PutInForce:
			c.putInForce(m, a)
		case FetchFromStore:
			c.send(m, m, func() { c.fetchStore(m, a.Sequence) })
		case FetchFromPeer:
			c.fetchPeer(m, a.Peer)
		case ReadPointer:
			c.send(m, m, func() { c.hearPointer(m) })
		case StartWatch:
			m.watching = c.variant != fixedWatchers || m.name <= "i1"
			c.send(m, m, func() { c.hearPointer(m) })
		case StopWatch:
			m.watching = false
		case ReportRejected:
			c.fail("%s rejected a valid bundle: %v", m.name, a.Err)
		}
	}
}

func (c *cell) putInForce(m *cellMember, a PutInForce) {
	if a.Signed.Sequence <= m.highest {
		c.fail("%s went from sequence %d to %d", m.name, m.highest, a.Signed.Sequence)
	}
	if a.Signed.Sequence > int64(c.rolled) {
		c.fail("%s has sequence %d in force, which was not rolled", m.name, a.Signed.Sequence)
	}
	m.highest = a.Signed.Sequence
}

func (c *cell) fetchStore(m *cellMember, sequence int64) {
	if !c.reachStore(m) {
		c.do(m, m.FailFetch(FromStore, c.now))
		return
	}
	c.receive(m, FromStore, modelBundles[sequence-1])
}

func (c *cell) fetchPeer(m *cellMember, name namer.Instance) {
	i := slices.IndexFunc(c.members, func(o *cellMember) bool { return o.name == name })
	peer := c.members[i]
	c.send(m, peer, func() {
		signed, has := peer.InForce()
		if !has {
			return
		}
		c.send(peer, m, func() { c.receive(m, name, signed) })
	})
}

func (c *cell) receive(m *cellMember, from namer.Instance, s Signed) {
	if c.variant == acceptLower {
		m.inForce = nil
	}
	c.do(m, m.ReceiveBundle(from, s, c.now))
}

func (c *cell) checkAll(when string) {
	for _, m := range c.members {
		if m.dead {
			continue
		}
		if m.Sequence() != int64(c.rolled) {
			c.fail("%s has sequence %d in force instead of %d %s", m.name, m.Sequence(), c.rolled, when)
		}
		if c.rolled > 0 && !m.Ready() {
			c.fail("%s is not ready %s", m.name, when)
		}
	}
}

func (c *cell) fail(format string, values ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf(format, values...)
	}
}
