package tracker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/schedule"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// variant disables one mechanism, to show that the checked properties depend on it.
type variant int

const (
	complete variant = iota
	// acceptOlder: departures are applied in the order of arrival.
	acceptOlder
	// ignorePeers: versions in heartbeats are not used.
	ignorePeers
	// trustList: an instance that is absent from the platform's list counts as gone at once.
	trustList
	// keepLost: members are never counted as lost.
	keepLost
)

const (
	modelStep = 100 * time.Millisecond
	// recoveryTime covers the detection of dead members.
	recoveryTime = 15 * time.Second
	// goneTime covers the wait for a process that was never in the platform's list.
	goneTime = 70 * time.Second
	// departureTime is the time limit for a departure to be known to all instances.
	departureTime = 3 * time.Second
	members       = 5
)

var dataCentres = []namer.DataCentre{"north-pier", "fish-wharf", "cannery-row"}

// cell simulates a store, a platform list and five instances whose messages are delayed and lost.
type cell struct {
	draw            schedule.Draw
	variant         variant
	now             time.Time
	version         int64
	records         map[namer.Instance]versioned
	current         versioned
	history         []versioned
	list            []Listed
	nodes           []*node
	network         schedule.Network
	replacedHolders map[namer.Holder]bool
	repaired        bool
	violation       error
}

type versioned struct {
	version   int64
	member    Member
	departure Departure
}

type node struct {
	*Tracker
	holder      namer.Holder
	incarnation int
	applied     int64
	paused      bool
	dead        bool
	noStore     bool
	partition   int
}

func newCell(draw schedule.Draw, v variant) *cell {
	c := &cell{
		draw:            draw,
		variant:         v,
		now:             time.Unix(1000, 0),
		records:         map[namer.Instance]versioned{},
		replacedHolders: map[namer.Holder]bool{},
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
	if n.incarnation > 0 {
		c.replacedHolders[n.holder] = true
	}
	n.incarnation++
	n.holder.Incarnation = namer.Incarnation(fmt.Sprint(n.incarnation))
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

// run executes a random schedule, ends all faults except dead instances, and checks that the live instances agree in time.
func (c *cell) run(steps int) error {
	for range steps {
		c.injectFault()
		c.advance(c.draw("steps", 12))
	}
	c.repaired = true
	for i, n := range c.nodes {
		n.paused = false
		n.noStore = false
		n.partition = 0
		n.dead = n.dead && i < members-2
	}
	c.advance(int(recoveryTime / modelStep))
	c.checkGone()
	c.changeDeparture()
	c.advance(int(departureTime / modelStep))
	c.checkDeparture()
	return c.violation
}

func (c *cell) injectFault() {
	i := c.draw("node", len(c.nodes))
	n := c.nodes[i]
	switch c.draw("fault", 9) {
	case 1:
		c.changeDeparture()
	case 2:
		c.restart(n, i)
	case 3:
		n.dead = true
	case 4:
		n.paused = !n.paused
	case 5:
		n.noStore = !n.noStore
	case 6:
		n.partition = c.draw("group", 2)
	case 7:
		for _, o := range c.nodes {
			o.noStore = true
		}
	case 8:
		if len(c.history) > 0 {
			old := c.history[c.draw("old", len(c.history))]
			c.deliverDeparture(n, old)
		}
	}
}

// changeDeparture takes another data centre out of service, or brings all back, and notifies the two watching instances.
func (c *cell) changeDeparture() {
	c.version++
	c.current = versioned{
		version: c.version,
	}
	if n := int(c.version) % (len(dataCentres) + 1); n < len(dataCentres) {
		c.current.departure.DataCentres = dataCentres[n : n+1]
	}
	c.history = append(c.history, c.current)
	watchers := 0
	for _, n := range c.nodes {
		if !n.dead && !n.paused && !n.noStore && watchers < 2 {
			watchers++
			c.deliverDeparture(n, c.current)
		}
	}
}

func (c *cell) deliverDeparture(n *node, d versioned) {
	if n.dead || n.paused {
		return
	}
	if c.variant == acceptOlder {
		n.departureVersion = 0
	}
	c.do(n, n.ObserveDeparture(d.version, d.departure, c.now))
}

func (c *cell) advance(steps int) {
	for range steps {
		c.now = c.now.Add(modelStep)
		c.network.DeliverDue(c.now)
		step := int(c.now.UnixMilli()/modelStep.Milliseconds()) % 50
		if step == 49 {
			c.refreshList()
		}
		for i, n := range c.nodes {
			if step%10 == i && !n.dead && !n.paused {
				c.tick(n)
			}
		}
	}
	c.checkAlive()
}

// refreshList refreshes the platform's list, which lags by up to one interval and omits instance 0 until the faults end.
func (c *cell) refreshList() {
	c.list = nil
	for i, n := range c.nodes {
		if !n.dead && (i > 0 || c.repaired) {
			c.list = append(c.list, Listed{
				Instance: n.holder.Instance,
			})
		}
	}
}

// tick executes the work of an instance that is due once a second.
func (c *cell) tick(n *node) {
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
	heartbeat := Heartbeat{
		Sender:           n.holder,
		State:            n.State(),
		DataCentre:       n.settings.DataCentre,
		CallerAddress:    n.settings.CallerAddress,
		Number:           n.NextNumber(),
		DepartureVersion: version,
		Heard:            n.HeardNumbers(),
	}
	for _, o := range c.nodes {
		if o != n {
			c.send(n, o, func() { c.do(o, o.ObserveHeartbeat(heartbeat, c.now)) })
		}
	}
}

// send delivers a message after a random delay unless a fault prevents it; messages may be reordered.
func (c *cell) send(from, to *node, deliver func()) {
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
	n.ObserveStoreResponse(c.now)
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
			c.deliverDeparture(n, versioned{version: version, departure: departure})
		})
	})
}

// checkAlive requires that no existing process, paused or not, is confirmed gone.
func (c *cell) checkAlive() {
	for _, n := range c.nodes {
		if n.dead || n.paused {
			continue
		}
		for _, o := range c.nodes {
			if !o.dead && n.ConfirmedGone(o.holder, c.now) {
				c.fail("%s counts %s as gone, which still exists", n.holder, o.holder)
			}
		}
	}
}

// checkGone requires that every ended process is confirmed gone and that its address is not given to callers.
func (c *cell) checkGone() {
	for _, n := range c.live() {
		for h := range c.replacedHolders {
			n.ConfirmedGone(h, c.now)
		}
		for _, o := range c.nodes {
			n.ConfirmedGone(o.holder, c.now)
		}
	}
	c.advance(int(goneTime / modelStep))
	for _, n := range c.live() {
		for _, o := range c.nodes {
			if o.dead && !n.ConfirmedGone(o.holder, c.now) {
				c.fail("%s does not count %s as gone", n.holder, o.holder)
			}
		}
		for h := range c.replacedHolders {
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
		if version, _ := n.Departures(); version != c.current.version {
			c.fail("%s has departures %d instead of %d in time", n.holder, version, c.current.version)
		}
		for _, a := range n.Addresses("", 1, c.now) {
			if slices.Contains(c.current.departure.DataCentres, a.DataCentre) {
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
	if c.violation == nil {
		c.violation = fmt.Errorf(format, values...)
	}
}
