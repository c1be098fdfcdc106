package convener

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world plays the store and the connections between conveners; calls take one step of time.
type world struct {
	now     time.Time
	pointer Pointer
	down    bool
	nodes   []*node
	pending []call
}

type node struct {
	*Convener
	self Peer
	// started counts the processes that have run at the address.
	started int
	alive   bool
	// cut nodes reach no other node.
	cut bool
}

type call struct {
	due    time.Time
	from   *node
	action Action
}

const step = 10 * time.Millisecond

// seeds is the number of instances that all know from their settings.
const seeds = 3

func newWorld(nodes int) *world {
	w := &world{
		now: time.Unix(1_000, 0),
	}
	var line []Peer
	for i := range seeds {
		line = append(line, peer(fmt.Sprint("node-", i)))
	}
	for i := range nodes {
		w.add(fmt.Sprint("node-", i), i, line)
	}
	return w
}

func (w *world) add(address string, rank int, line []Peer) {
	n := &node{}
	n.start(address, rank, line)
	w.nodes = append(w.nodes, n)
}

// start runs a new process at an address: its name is new.
func (n *node) start(address string, rank int, line []Peer) {
	n.started++
	n.self = Peer{
		Name:    fmt.Sprint(address, ".", n.started),
		Address: address,
	}
	n.Convener = New(DefaultSettings(), n.self, rank, line)
	n.alive = true
}

// peer is an instance as the settings name it: by its address only.
func peer(address string) Peer {
	return Peer{
		Name:    address,
		Address: address,
	}
}

func (w *world) find(p Peer) *node {
	for _, n := range w.nodes {
		if n.self.Address == p.Address {
			return n
		}
	}
	return nil
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		due := w.pending
		w.pending = nil
		for _, c := range due {
			if w.now.Before(c.due) {
				w.pending = append(w.pending, c)
				continue
			}
			if c.from.alive {
				w.queue(c.from, w.perform(c.from, c.action))
			}
		}
		for _, n := range w.nodes {
			if n.alive {
				w.hear(n)
				w.queue(n, n.Tick(w.now))
			}
		}
	}
}

// hear lets followers of a leader that lives and can be reached hear of it.
func (w *world) hear(n *node) {
	leader := w.find(n.Leader())
	if leader != nil && leader.self == n.Leader() && w.reachable(n, leader) && leader.Role() == Leading {
		n.Heard(w.now)
	}
}

func (w *world) reachable(a, b *node) bool {
	return a.alive && b.alive && (a == b || !a.cut && !b.cut)
}

func (w *world) queue(n *node, actions []Action) {
	for _, a := range actions {
		w.pending = append(w.pending, call{
			due:    w.now.Add(step),
			from:   n,
			action: a,
		})
	}
}

func (w *world) perform(n *node, action Action) []Action {
	switch a := action.(type) {
	case ReadPointer:
		if w.down {
			return n.Unavailable(w.now)
		}
		return n.Read(w.now, w.pointer)
	case WritePointer:
		if w.down {
			return n.Unavailable(w.now)
		}
		if a.Version != w.pointer.Version {
			return n.Read(w.now, w.pointer)
		}
		w.pointer = Pointer{
			Leader:  n.self,
			Version: w.pointer.Version + 1,
		}
		n.Written(w.now, w.pointer.Version)
	case Join:
		other := w.find(a.Peer)
		switch {
		case other == nil || other == n || !w.reachable(n, other):
			return n.Refused(w.now, a.Peer)
		case other.Role() == Leading:
			n.Joined(w.now, other.self)
		default:
			return n.Redirected(w.now, a.Peer, other.self, other.Leader())
		}
	}
	return nil
}

// assertOneLeader checks that all that live and are not cut off follow one of them.
func (w *world) assertOneLeader(t interface {
	Helper()
	Fatalf(format string, arguments ...any)
},
) {
	t.Helper()
	leaders := map[string]bool{}
	for _, n := range w.nodes {
		if !n.alive || n.cut {
			continue
		}
		switch n.Role() {
		case Leading:
			leaders[n.self.Name] = true
		case Following:
			leaders[n.Leader().Name] = true
		case Searching:
			t.Fatalf("%s still searches", n.self.Name)
		}
	}
	if len(leaders) != 1 {
		t.Fatalf("%d leaders: %v", len(leaders), leaders)
	}
}

// Guards against instances that find no leader, or several, after a start at the same time.
func TestStart(t *testing.T) {
	for _, nodes := range []int{1, 3, 8, 85} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(nodes)
			w.run(3 * time.Second)
			w.assertOneLeader(t)
		})
	}
}

// Guards against a long time without a leader. Pattern: the process that last wrote to the store under a condition is
// killed first (node_kill, leader).
func TestLeaderKilled(t *testing.T) {
	w := newWorld(8)
	w.run(3 * time.Second)
	leader := w.find(w.pointer.Leader)
	leader.alive = false
	w.run(2 * time.Second)
	w.assertOneLeader(t)
	if w.pointer.Leader.Name == leader.self.Name {
		t.Error("the store still names the dead leader")
	}
}

// Guards against a leader that is replaced although it lives: each change of leader forgets a part of the work on engines.
// Pattern: connections are reset (reset_conns; quetzal grown trouble-1 had three leaders within 3 s).
func TestConnectionsReset(t *testing.T) {
	w := newWorld(8)
	w.run(3 * time.Second)
	leader := w.pointer.Leader
	for _, n := range w.nodes {
		if n.Role() == Following {
			w.queue(n, n.Lost(w.now))
		}
	}
	w.run(100 * time.Millisecond)
	w.assertOneLeader(t)
	if w.pointer.Leader != leader {
		t.Errorf("%s leads instead of %s", w.pointer.Leader.Name, leader.Name)
	}
}

// Guards against a long time without a leader after all processes were killed at once: the object in the store names a
// process that is gone, while a new one answers at its address. Pattern: final faults (kill_all, quetzal scale-1: 1 s).
func TestAllRestarted(t *testing.T) {
	w := newWorld(8)
	w.run(3 * time.Second)
	line := w.nodes[0].line
	for i, n := range w.nodes {
		n.start(n.self.Address, i, line)
	}
	w.pending = nil
	w.run(200 * time.Millisecond)
	w.assertOneLeader(t)
}

// Guards against instances that stay alone while the store is away, from the start or when the leader is lost.
func TestStoreAway(t *testing.T) {
	w := newWorld(8)
	w.down = true
	w.run(4 * time.Second)
	w.assertOneLeader(t)
	w.nodes[0].alive = false
	w.run(4 * time.Second)
	w.assertOneLeader(t)
	w.down = false
	w.run(6 * time.Second)
	w.assertOneLeader(t)
}

// Guards against two groups that never meet again after a cut.
func TestCutLeader(t *testing.T) {
	w := newWorld(8)
	w.run(3 * time.Second)
	w.nodes[0].cut = true
	w.run(3 * time.Second)
	w.assertOneLeader(t)
	w.nodes[0].cut = false
	w.run(8 * time.Second)
	w.assertOneLeader(t)
}

// Guards against a state from which no leader is found: kills, cuts and outages of the store in any order, then calm.
func TestFindsOneLeaderAfterAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 9).Draw(t, "nodes"))
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				n.alive = false
			case 1:
				n.cut = !n.cut
			case 2:
				w.down = !w.down
			case 4:
				n.start(n.self.Address, 5, []Peer{peer("node-0"), peer("node-1")})
			case 3:
				w.add(fmt.Sprint("late-", i), 10, []Peer{peer("node-0"), peer("node-1")})
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.down = false
		for _, n := range w.nodes {
			n.cut = false
		}
		w.add("last", 10, nil)
		w.run(12 * time.Second)
		w.assertOneLeader(t)
	})
}
