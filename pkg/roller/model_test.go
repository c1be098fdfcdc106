package roller

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// variant disables one mechanism, to show that the checked properties depend on it.
type variant int

const (
	complete variant = iota
	// acceptLower: a bundle with a valid signature is put in force also if its sequence is lower.
	acceptLower
	// ignorePeers: sequences in heartbeats are not used.
	ignorePeers
	// fixedWatchers: the two lowest names keep the watches even if they are dead.
	fixedWatchers
	// oneWatcher: only one instance of the cell watches the store.
	oneWatcher
)

const (
	modelStep = 100 * time.Millisecond
	// recoveryTime covers the takeover of watches and one read of the pointer.
	recoveryTime = 40 * time.Second
	// rollTime is the time limit for a bundle to be in force on all instances.
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

// cell simulates a store and five instances whose messages are delayed, lost and repeated.
type cell struct {
	draw      schedule.Draw
	variant   variant
	now       time.Time
	rolled    int
	members   []*cellMember
	network   schedule.Network
	repaired  bool
	violation error
}

type cellMember struct {
	*Follower
	name           namer.Instance
	incarnation    int
	highestInForce int64
	paused         bool
	dead           bool
	noStore        bool
	partition      int
	watching       bool
	storeAnswered  time.Time
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
	m.incarnation++
	m.highestInForce = 0
	m.watching = false
	m.paused = false
	m.dead = false
	m.storeAnswered = time.Time{}
}

// run executes a random schedule, ends all faults except dead instances, and requires that the next roll is in force in time.
func (c *cell) run(steps int) error {
	for range steps {
		c.injectFault()
		c.advance(c.draw("steps", 12))
	}
	c.repaired = true
	for i, m := range c.members {
		m.paused = false
		m.noStore = false
		m.partition = 0
		// The last two instances are alive; others may stay dead.
		m.dead = m.dead && i < instances-2
	}
	c.advance(int(recoveryTime / modelStep))
	c.checkAll("after all faults ended")
	c.stallWatch()
	c.rolled++
	c.notifyWatchers()
	c.advance(int(rollTime / modelStep))
	c.checkAll("in time after a roll")
	return c.violation
}

// stallWatch makes one watch connection stop delivering changes, unnoticed before the next roll.
func (c *cell) stallWatch() {
	i := slices.IndexFunc(c.members, func(m *cellMember) bool { return m.watching && !m.dead })
	if i >= 0 {
		c.members[i].watching = false
	}
}

func (c *cell) injectFault() {
	m := c.members[c.draw("member", len(c.members))]
	switch c.draw("fault", 10) {
	case 1, 2:
		if c.rolled < len(modelBundles)-1 {
			c.rolled++
			c.notifyWatchers()
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
		m.partition = c.draw("group", 2)
	case 8:
		for _, o := range c.members {
			o.noStore = true
		}
	case 9:
		c.replay(m)
	}
}

// replay delivers an old bundle again, as after a partition or with a duplicated message.
func (c *cell) replay(m *cellMember) {
	if c.rolled == 0 || m.dead || m.paused {
		return
	}
	c.deliverBundle(m, c.members[0].name, modelBundles[c.draw("old", c.rolled)])
}

func (c *cell) advance(steps int) {
	for range steps {
		c.now = c.now.Add(modelStep)
		c.network.DeliverDue(c.now)
		step := int(c.now.UnixMilli()/modelStep.Milliseconds()) % 10
		for i, m := range c.members {
			if step == i && !m.dead && !m.paused {
				c.tick(m)
			}
		}
	}
}

// tick executes the work of an instance that is due once a second.
func (c *cell) tick(m *cellMember) {
	c.reachStore(m)
	c.do(m, m.Tick(c.now))
	age := time.Duration(-1)
	if !m.storeAnswered.IsZero() {
		age = c.now.Sub(m.storeAnswered)
	}
	sequence := m.Sequence()
	if c.variant == ignorePeers {
		sequence = 0
	}
	for _, o := range c.members {
		if o != m {
			c.send(m, o, func() { c.do(o, o.ObservePeer(m.name, sequence, age, c.now)) })
		}
	}
}

// reachStore simulates the renewal of the member record.
func (c *cell) reachStore(m *cellMember) bool {
	if m.noStore || m.dead {
		return false
	}
	m.ObserveStoreResponse(c.now)
	m.storeAnswered = c.now
	return true
}

// send delivers a message after a random delay unless a fault prevents it; messages may be reordered.
func (c *cell) send(from, to *cellMember, deliver func()) {
	delay := 0
	if !c.repaired {
		delay = c.draw("delay", 4)
	}
	incarnation := to.incarnation
	c.network.SendAt(c.now.Add(time.Duration(delay)*modelStep), func() {
		if to.incarnation == incarnation && !to.dead && !to.paused && from.partition == to.partition {
			deliver()
		}
	})
}

func (c *cell) notifyWatchers() {
	for _, m := range c.members {
		if m.watching {
			c.send(m, m, func() { c.readPointer(m) })
		}
	}
}

func (c *cell) readPointer(m *cellMember) {
	if !c.reachStore(m) {
		return
	}
	var p Pointer
	if c.rolled > 0 {
		p.Sequence = int64(c.rolled)
		p.Digest = modelBundles[c.rolled-1].Digest
	}
	c.do(m, m.ObservePointer(p, c.now))
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
			c.send(m, m, func() { c.readPointer(m) })
		case StartWatch:
			m.watching = c.variant != fixedWatchers || m.name <= "i1"
			c.send(m, m, func() { c.readPointer(m) })
		case StopWatch:
			m.watching = false
		case ReportRejected:
			c.fail("%s rejected a valid bundle: %v", m.name, a.Err)
		}
	}
}

func (c *cell) putInForce(m *cellMember, a PutInForce) {
	if a.Signed.Sequence <= m.highestInForce {
		c.fail("%s went from sequence %d to %d", m.name, m.highestInForce, a.Signed.Sequence)
	}
	if a.Signed.Sequence > int64(c.rolled) {
		c.fail("%s has sequence %d in force, which was not rolled", m.name, a.Signed.Sequence)
	}
	m.highestInForce = a.Signed.Sequence
}

func (c *cell) fetchStore(m *cellMember, sequence int64) {
	if !c.reachStore(m) {
		c.do(m, m.ObserveFetchFailure(FromStore, c.now))
		return
	}
	c.deliverBundle(m, FromStore, modelBundles[sequence-1])
}

func (c *cell) fetchPeer(m *cellMember, name namer.Instance) {
	i := slices.IndexFunc(c.members, func(o *cellMember) bool { return o.name == name })
	peer := c.members[i]
	c.send(m, peer, func() {
		signed, has := peer.InForce()
		if !has {
			return
		}
		c.send(peer, m, func() { c.deliverBundle(m, name, signed) })
	})
}

func (c *cell) deliverBundle(m *cellMember, from namer.Instance, s Signed) {
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
	if c.violation == nil {
		c.violation = fmt.Errorf(format, values...)
	}
}
