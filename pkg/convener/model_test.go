package convener

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// cluster simulates the store and the connections between conveners; a call takes one step of time.
type cluster struct {
	now     time.Time
	pointer Pointer
	down    bool
	nodes   []*node
	pending []call
	// storeCalls counts the reads and writes of the pointer.
	storeCalls int
}

type node struct {
	*Convener
	self Peer
	// started counts the processes that have run at the address.
	started int
	alive   bool
	// partitioned is set if the node reaches no other node.
	partitioned bool
}

type call struct {
	due    time.Time
	from   *node
	action Action
}

const step = 10 * time.Millisecond

// seeds is the number of instances that all others know from their settings.
const seeds = 3

func newCluster(nodes int) *cluster {
	w := &cluster{
		now: time.Unix(1_000, 0),
	}
	var seedPeers []Peer
	for i := range seeds {
		seedPeers = append(seedPeers, peer(fmt.Sprint("node-", i)))
	}
	for i := range nodes {
		w.add(fmt.Sprint("node-", i), i, seedPeers)
	}
	return w
}

func (w *cluster) add(address string, rank int, seedPeers []Peer) {
	n := &node{}
	n.start(address, rank, seedPeers)
	w.nodes = append(w.nodes, n)
}

// start simulates a new process at an address, with a new name.
func (n *node) start(address string, rank int, seedPeers []Peer) {
	n.started++
	n.self = Peer{
		Name:    fmt.Sprint(address, ".", n.started),
		Address: address,
	}
	n.Convener = New(DefaultSettings(), n.self, rank, seedPeers)
	n.alive = true
}

// peer returns an instance as the settings name it: by its address only.
func peer(address string) Peer {
	return Peer{
		Name:    address,
		Address: address,
	}
}

func (w *cluster) find(p Peer) *node {
	for _, n := range w.nodes {
		if n.self.Address == p.Address {
			return n
		}
	}
	return nil
}

func (w *cluster) run(d time.Duration) {
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
				w.deliverHeartbeat(n)
				w.queue(n, n.Tick(w.now))
			}
		}
	}
}

// deliverHeartbeat delivers a message from the leader to its follower if the leader is running and reachable.
func (w *cluster) deliverHeartbeat(n *node) {
	leader := w.find(n.Leader())
	if leader != nil && leader.self == n.Leader() && w.reachable(n, leader) && leader.Role() == Leading {
		n.LeaderHeard(w.now)
	}
}

func (w *cluster) reachable(a, b *node) bool {
	return a.alive && b.alive && (a == b || !a.partitioned && !b.partitioned)
}

func (w *cluster) queue(n *node, actions []Action) {
	for _, a := range actions {
		w.pending = append(w.pending, call{
			due:    w.now.Add(step),
			from:   n,
			action: a,
		})
	}
}

func (w *cluster) perform(n *node, action Action) []Action {
	switch action.(type) {
	case ReadPointer, WritePointer:
		w.storeCalls++
	}
	switch a := action.(type) {
	case ReadPointer:
		if w.down {
			return n.StoreUnavailable(w.now)
		}
		return n.PointerRead(w.now, w.pointer)
	case WritePointer:
		if w.down {
			return n.StoreUnavailable(w.now)
		}
		if a.Version != w.pointer.Version {
			return n.PointerRead(w.now, w.pointer)
		}
		w.pointer = Pointer{
			Leader:  n.self,
			Version: w.pointer.Version,
		}
		w.pointer.Version.Number++
		n.PointerWritten(w.now, w.pointer.Version)
	case Join:
		other := w.find(a.Peer)
		switch {
		case other == nil || other == n || !w.reachable(n, other):
			return n.JoinFailed(w.now, a.Peer)
		case other.Role() == Leading:
			n.Joined(w.now, other.self)
		default:
			return n.Redirected(w.now, a.Peer, other.self, other.Leader())
		}
	}
	return nil
}

// assertOneLeader checks that all running nodes that aren't partitioned have the same leader.
func (w *cluster) assertOneLeader(t interface {
	Helper()
	Fatalf(format string, arguments ...any)
},
) {
	t.Helper()
	leaders := map[string]bool{}
	for _, n := range w.nodes {
		if !n.alive || n.partitioned {
			continue
		}
		switch n.Role() {
		case Leading:
			leaders[n.self.Name] = true
		case Following:
			leaders[n.Leader().Name] = true
		case Searching:
			t.Fatalf("%s is still searching", n.self.Name)
		}
	}
	if len(leaders) != 1 {
		t.Fatalf("%d leaders: %v", len(leaders), leaders)
	}
}

// Guards against no leader, or several, after a simultaneous start.
func TestStart(t *testing.T) {
	for _, nodes := range []int{1, 3, 8, 85} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newCluster(nodes)
			w.run(3 * time.Second)
			w.assertOneLeader(t)
		})
	}
}

// Guards against a number of calls to the store that grows with the deployment when all instances start at once, and when they start
// again after a loss of power; each call has a cost. A tenth of the instances may need one.
func TestStartOfManyNeedsFewStoreCalls(t *testing.T) {
	const nodes = 300
	w := newCluster(nodes)
	w.run(3 * time.Second)
	w.assertOneLeader(t)
	seedPeers := w.nodes[0].succession
	if w.storeCalls > nodes/10 {
		t.Errorf("%d calls to the store at the start of %d instances", w.storeCalls, nodes)
	}
	w.storeCalls = 0
	for i, n := range w.nodes {
		n.start(n.self.Address, i, seedPeers)
	}
	w.pending = nil
	w.run(3 * time.Second)
	w.assertOneLeader(t)
	if w.storeCalls > nodes/10 {
		t.Errorf("%d calls to the store at the start of %d instances after a loss of power", w.storeCalls, nodes)
	}
}

// Guards against a long time without a leader after the leader, the last process to write the pointer conditionally, is
// killed (scenario node_kill, leader).
func TestLeaderKilled(t *testing.T) {
	w := newCluster(8)
	w.run(3 * time.Second)
	leader := w.find(w.pointer.Leader)
	leader.alive = false
	w.run(2 * time.Second)
	w.assertOneLeader(t)
	if w.pointer.Leader.Name == leader.self.Name {
		t.Error("the store still names the dead leader")
	}
}

// Guards against replacing a running leader, which loses a part of the state of work on engines. Connections are reset
// (scenario reset_conns, which led to three leaders within 3 s).
func TestConnectionsReset(t *testing.T) {
	w := newCluster(8)
	w.run(3 * time.Second)
	leader := w.pointer.Leader
	for _, n := range w.nodes {
		if n.Role() == Following {
			w.queue(n, n.LeaderDisconnected(w.now))
		}
	}
	w.run(100 * time.Millisecond)
	w.assertOneLeader(t)
	if w.pointer.Leader != leader {
		t.Errorf("the leader is %s, want %s", w.pointer.Leader.Name, leader.Name)
	}
}

// Guards against a long time without a leader after all processes are killed at once: the pointer names a process that is
// gone, while a new one runs at its address (scenario kill_all, which took 1 s).
func TestAllRestarted(t *testing.T) {
	w := newCluster(8)
	w.run(3 * time.Second)
	seedPeers := w.nodes[0].succession
	for i, n := range w.nodes {
		n.start(n.self.Address, i, seedPeers)
	}
	w.pending = nil
	w.run(200 * time.Millisecond)
	w.assertOneLeader(t)
}

// Guards against instances without a leader while the store is unavailable, from the start or after the leader is lost.
func TestStoreUnavailable(t *testing.T) {
	w := newCluster(8)
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

// Guards against two leaders that remain after a network partition has healed.
func TestPartitionedLeader(t *testing.T) {
	w := newCluster(8)
	w.run(3 * time.Second)
	w.nodes[0].partitioned = true
	w.run(3 * time.Second)
	w.assertOneLeader(t)
	w.nodes[0].partitioned = false
	w.run(8 * time.Second)
	w.assertOneLeader(t)
}

// Guards against a state from which no single leader is elected: kills, partitions and store outages in any order, followed
// by a stable period.
func TestOneLeaderAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(rapid.IntRange(2, 9).Draw(t, "nodes"))
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				n.alive = false
			case 1:
				n.partitioned = !n.partitioned
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
			n.partitioned = false
		}
		w.add("last", 10, nil)
		w.run(12 * time.Second)
		w.assertOneLeader(t)
	})
}

// Guards against a second without a leader after a loss of power: the seeds start last, and the strong instances that started before
// them waited for them.
func TestStrongInstancesLeadBeforeTheSeedsStart(t *testing.T) {
	const strong, nodes = 3, 30
	w := newCluster(nodes)
	w.run(3 * time.Second)
	seedPeers := w.nodes[0].succession
	for i, n := range w.nodes {
		n.start(n.self.Address, i, seedPeers)
		if i >= seeds && i < seeds+strong {
			n.StartEagerly()
		}
		n.alive = i >= seeds
	}
	w.pending = nil
	w.storeCalls = 0
	w.run(200 * time.Millisecond)
	if leader := w.find(w.pointer.Leader); leader == nil || leader.Role() != Leading {
		t.Errorf("no instance leads 200 ms after the start: %+v", w.pointer)
	}
	for _, n := range w.nodes[:seeds] {
		n.alive = true
	}
	w.run(3 * time.Second)
	w.assertOneLeader(t)
	if limit := 3 * (strong + seeds); w.storeCalls > limit {
		t.Errorf("%d calls to the store, want %d at most", w.storeCalls, limit)
	}
}

// Guards against an instance that stays alone after a start without the store, though the seeds know the leader.
func TestStrongInstanceAsksSeedsWithoutTheStore(t *testing.T) {
	w := newCluster(8)
	w.run(3 * time.Second)
	w.down = true
	last := w.nodes[7]
	last.start(last.self.Address, 7, w.nodes[0].succession)
	last.StartEagerly()
	w.run(time.Second)
	w.assertOneLeader(t)
}

// Guards against a gap in the leadership, or two leaders, after the store was restored from a copy that names a former leader or none.
func TestRestoredPointer(t *testing.T) {
	for _, name := range []string{"a former leader", "none"} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(5)
			w.run(5 * time.Second)
			leader := w.nodes[0]
			for _, n := range w.nodes {
				if n.Role() == Leading {
					leader = n
				}
			}
			w.pointer = Pointer{Version: versioner.Version{Era: 2}}
			if name != "none" {
				w.pointer.Version.Number = 1
				w.pointer.Leader = w.nodes[4].self
				if leader == w.nodes[4] {
					w.pointer.Leader = w.nodes[3].self
				}
			}
			leader.CheckNow(w.now)
			for range 1000 {
				w.run(step)
				if leader.Role() != Leading {
					t.Fatalf("the leader is %s", leader.Role())
				}
			}
			for _, n := range w.nodes {
				if n != leader && n.Leader() != leader.self {
					t.Errorf("%s follows %q", n.self.Name, n.Leader().Name)
				}
			}
			if w.pointer.Leader != leader.self {
				t.Errorf("the store names %q", w.pointer.Leader.Name)
			}
		})
	}
}
