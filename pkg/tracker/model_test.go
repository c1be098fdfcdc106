package tracker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// variant leaves one mechanism out, to show that the properties depend on it.
type variant int

const (
	complete variant = iota
	// acceptOlder: departures are applied in the order of arrival.
	acceptOlder
	// ignorePeers: versions in heartbeats are not used.
	ignorePeers
	// trustList: an instance that the platform's list lacks counts as gone at once.
	trustList
	// keepLost: members are never counted as lost.
	keepLost
)

const (
	modelStep = 100 * time.Millisecond
	// healTime covers the loss of dead members.
	healTime = 15 * time.Second
	// goneTime covers the wait for a process that was never seen in the platform's list.
	goneTime = 70 * time.Second
	// departTime is the target for a departure to be known everywhere.
	departTime = 3 * time.Second
	members    = 5
)

var dataCentres = []namer.DataCentre{"north-pier", "fish-wharf", "cannery-row"}

// cell is a store, a platform list and five instances whose messages are delayed and lost.
type cell struct {
	draw     schedule.Draw
	variant  variant
	now      time.Time
	version  int64
	records  map[namer.Instance]versioned
	departed versioned
	history  []versioned
	list     []Listed
	nodes    []*node
	wire     schedule.Wire
	former   map[namer.Holder]bool
	healed   bool
	fault    error
}

type versioned struct {
	version   int64
	member    Member
	departure Departure
}

type node struct {
	*Tracker
	holder  namer.Holder
	life    int
	applied int64
	paused  bool
	dead    bool
	noStore bool
	group   int
}

func newCell(draw schedule.Draw, v variant) *cell {
	c := &cell{
		draw:    draw,
		variant: v,
		now:     time.Unix(1000, 0),
		records: map[namer.Instance]versioned{},
		former:  map[namer.Holder]bool{},
	}
	for i := range members {
		n := &node{}
		n.holder.Instance = namer.Instance(fmt.Sprint("i", i))
		c.nodes = append(c.nodes, n)
		c.restart(n, i)
	}
	return c
}

func (c *cell) restart(n *node, i int) {
	if n.life > 0 {
		c.former[n.holder] = true
	}
	n.life++
	n.holder.Incarnation = namer.Incarnation(fmt.Sprint(n.life))
	settings := DefaultSettings(n.holder)
	settings.DataCentre = dataCentres[i%len(dataCentres)]
	settings.CallerAddress = string(n.holder.Instance)
	switch c.variant {
	case trustList:
		settings.GoneAfter = 0
		settings.ListLag = 0
	case keepLost:
		settings.LostAfter = time.Hour
	}
	n.Tracker = New(settings, c.now)
	n.applied = 0
	n.paused = false
	n.dead = false
	n.Serve(c.now)
}

// run plays a schedule, repairs all but the dead, and checks that what is left agrees in time.
func (c *cell) run(steps int) error {
	for range steps {
		c.disturb()
		c.pass(c.draw("steps", 12))
	}
	c.healed = true
	for i, n := range c.nodes {
		n.paused = false
		n.noStore = false
		n.group = 0
		n.dead = n.dead && i < members-2
	}
	c.pass(int(healTime / modelStep))
	c.checkGone()
	c.depart()
	c.pass(int(departTime / modelStep))
	c.checkDeparture()
	return c.fault
}

func (c *cell) disturb() {
	i := c.draw("node", len(c.nodes))
	n := c.nodes[i]
	switch c.draw("fault", 9) {
	case 1:
		c.depart()
	case 2:
		c.restart(n, i)
	case 3:
		n.dead = true
	case 4:
		n.paused = !n.paused
	case 5:
		n.noStore = !n.noStore
	case 6:
		n.group = c.draw("group", 2)
	case 7:
		for _, o := range c.nodes {
			o.noStore = true
		}
	case 8:
		if len(c.history) > 0 {
			old := c.history[c.draw("old", len(c.history))]
			c.depart1(n, old)
		}
	}
}

// depart takes another data centre out, or brings all back, and tells the two instances that watch.
func (c *cell) depart() {
	c.version++
	c.departed = versioned{
		version: c.version,
	}
	if n := int(c.version) % (len(dataCentres) + 1); n < len(dataCentres) {
		c.departed.departure.DataCentres = dataCentres[n : n+1]
	}
	c.history = append(c.history, c.departed)
	watchers := 0
	for _, n := range c.nodes {
		if !n.dead && !n.paused && !n.noStore && watchers < 2 {
			watchers++
			c.depart1(n, c.departed)
		}
	}
}

func (c *cell) depart1(n *node, d versioned) {
	if n.dead || n.paused {
		return
	}
	if c.variant == acceptOlder {
		n.departureVersion = 0
	}
	c.do(n, n.ObserveDeparture(d.version, d.departure, c.now))
}

func (c *cell) pass(steps int) {
	for range steps {
		c.now = c.now.Add(modelStep)
		c.wire.DeliverDue(c.now)
		step := int(c.now.UnixMilli()/modelStep.Milliseconds()) % 50
		if step == 49 {
			c.relist()
		}
		for i, n := range c.nodes {
			if step%10 == i && !n.dead && !n.paused {
				c.second(n)
			}
		}
	}
	c.checkAlive()
}

// relist refreshes the platform's list, which lags by up to one interval and never lists a process on its first day.
func (c *cell) relist() {
	c.list = nil
	for i, n := range c.nodes {
		if !n.dead && (i > 0 || c.healed) {
			c.list = append(c.list, Listed{
				Instance: n.holder.Instance,
			})
		}
	}
}

// second is what an instance does once a second.
func (c *cell) second(n *node) {
	c.do(n, n.Tick(c.now))
	if !n.noStore {
		for _, name := range slices.Sorted(maps.Keys(c.records)) {
			c.do(n, n.ObserveMember(c.records[name].version, c.records[name].member, c.now))
		}
		n.ObserveList(c.list, c.now)
	}
	version, _ := n.Departures()
	if c.variant == ignorePeers {
		version = 0
	}
	beat := Beat{
		Sender:           n.holder,
		State:            n.Self(),
		DataCentre:       n.settings.DataCentre,
		CallerAddress:    n.settings.CallerAddress,
		Number:           n.NextNumber(),
		DepartureVersion: version,
		Heard:            n.Heard(),
	}
	for _, o := range c.nodes {
		if o != n {
			c.send(n, o, func() { c.do(o, o.ObserveBeat(beat, c.now)) })
		}
	}
}

// send delivers a message after a random delay unless a fault stops it; messages overtake each other.
func (c *cell) send(from, to *node, deliver func()) {
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

func (c *cell) do(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case WriteMember:
			c.write(n, a.Member)
		case FetchDeparture:
			c.fetch(n, a.Peer)
		case ApplyDeparture:
			if a.Version <= n.applied {
				c.fail("%s went from departures %d to %d", n.holder, n.applied, a.Version)
			}
			n.applied = a.Version
		}
	}
}

func (c *cell) write(n *node, m Member) {
	if n.noStore || n.dead {
		return
	}
	n.HearStore(c.now)
	c.version++
	c.records[m.Holder.Instance] = versioned{
		version: c.version,
		member:  m,
	}
}

func (c *cell) fetch(n *node, peer namer.Holder) {
	i := slices.IndexFunc(c.nodes, func(o *node) bool { return o.holder.Instance == peer.Instance })
	o := c.nodes[i]
	c.send(n, o, func() {
		version, departure := o.Departures()
		c.send(o, n, func() {
			c.depart1(n, versioned{version: version, departure: departure})
		})
	})
}

// checkAlive requires that no process that still exists is confirmed gone.
func (c *cell) checkAlive() {
	for _, n := range c.nodes {
		if n.dead || n.paused {
			continue
		}
		for _, o := range c.nodes {
			if !o.dead && n.ConfirmedGone(o.holder, c.now) {
				c.fail("%s counts %s as gone, which exists", n.holder, o.holder)
			}
		}
	}
}

// checkGone requires that every process that ended is confirmed gone and given to no caller.
func (c *cell) checkGone() {
	for _, n := range c.live() {
		for h := range c.former {
			n.ConfirmedGone(h, c.now)
		}
		for _, o := range c.nodes {
			n.ConfirmedGone(o.holder, c.now)
		}
	}
	c.pass(int(goneTime / modelStep))
	for _, n := range c.live() {
		for _, o := range c.nodes {
			if o.dead && !n.ConfirmedGone(o.holder, c.now) {
				c.fail("%s does not count %s as gone", n.holder, o.holder)
			}
		}
		for h := range c.former {
			if !n.ConfirmedGone(h, c.now) {
				c.fail("%s does not count %s as gone, which was replaced", n.holder, h)
			}
		}
		for _, a := range n.Addresses("", 1, c.now) {
			if c.node(a.Instance).dead {
				c.fail("%s gives callers the address of %s, which is dead", n.holder, a.Instance)
			}
		}
	}
}

func (c *cell) checkDeparture() {
	for _, n := range c.live() {
		if version, _ := n.Departures(); version != c.departed.version {
			c.fail("%s has departures %d instead of %d in time", n.holder, version, c.departed.version)
		}
		for _, a := range n.Addresses("", 1, c.now) {
			if slices.Contains(c.departed.departure.DataCentres, a.DataCentre) {
				c.fail("%s gives callers an address in %s, which is out", n.holder, a.DataCentre)
			}
		}
	}
}

func (c *cell) live() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.dead })
}

func (c *cell) node(name namer.Instance) *node {
	return c.nodes[slices.IndexFunc(c.nodes, func(n *node) bool { return n.holder.Instance == name })]
}

func (c *cell) fail(format string, values ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf(format, values...)
	}
}
