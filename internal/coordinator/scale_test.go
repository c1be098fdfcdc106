package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// joinedFleet is a leader with links that queue its messages instead of sending them.
type joinedFleet struct {
	leader *Coordinator
	clock  *manualClock
	links  []*link
}

// newFleetLeader returns a leader without followers that knows the rules and some targets.
func newFleetLeader(t *testing.T) *joinedFleet {
	t.Helper()
	clock := &manualClock{System: timer.System{}, now: time.Unix(1_000, 0)}
	o := startInstance(t, newStore(), 0).options
	o.Clock = clock
	o.Self.Cores = 0.8
	leader := New(o)
	leader.convener.PointerWritten(clock.now, versioner.Of(1))
	leader.updateRole()
	rules, _ := json.Marshal(rulesOf(1))
	leader.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindRules, Name: "main", Version: versioner.Of(1), Value: rules}})
	for i := range 120 {
		name := fmt.Sprint("engine-", i)
		entry := storer.Object{Kind: kindTargets, Name: name, Version: versioner.Of(int64(i + 2)), Value: json.RawMessage(fmt.Sprintf("{\"ID\":%q}", name))}
		leader.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: entry})
	}
	return &joinedFleet{leader: leader, clock: clock}
}

// join lets an instance join that is ready as soon as it has the rules.
func (f *joinedFleet) join(t *testing.T, i int) {
	t.Helper()
	l := &link{
		conn:      closedConn(t),
		closed:    make(chan struct{}),
		sendQueue: make(chan func() error, linkQueue),
	}
	member := Member{
		Name:       fmt.Sprintf("entry-%03d", i),
		Instance:   namer.Instance(fmt.Sprint(i)),
		Callers:    fmt.Sprintf("10.1.%d.%d:8227", i/250, i%250),
		Peers:      fmt.Sprintf("10.1.%d.%d:7340", i/250, i%250),
		DataCentre: namer.DataCentre(fmt.Sprint("dc-", i%5)),
		Strong:     i%20 == 0,
		Cores:      0.2,
	}
	if member.Strong {
		member.Cores = 0.8
	}
	params, err := json.Marshal(joinRequest{Member: member})
	if err != nil {
		t.Fatal(err)
	}
	f.leader.handlePeerMessage(f.clock.now, peerMessage{link: l, method: methodJoin, params: params, answer: func(any) {}})
	ping, _ := json.Marshal(pingMessage{Ready: true})
	f.leader.handlePeerMessage(f.clock.now, peerMessage{link: l, method: methodPing, params: ping})
	f.links = append(f.links, l)
}

// run lets the time pass in rounds of upkeep; followers send a ping in each second.
func (f *joinedFleet) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := f.clock.now.Add(d); f.clock.now.Before(end); f.clock.now = f.clock.now.Add(upkeepInterval) {
		for _, l := range f.links {
			l.lastSeen = f.clock.now
		}
		f.leader.measureUsage(f.clock.now)
		f.leader.publish()
		f.leader.sendMembers(f.clock.now)
		f.leader.feedFollowers(f.clock.now)
	}
}

// Guards against a cost of joining that grows with the square of the deployment: each instance that joined made the leader send the
// whole list of members to all, and encode all objects anew (pattern: hundreds of instances start at once; quiet-1 of the large site
// lost its leader in waves). A list may take 20 KB, and an instance may be sent 20 messages while all join.
func TestJoinsCostTheSameInLargeFleets(t *testing.T) {
	const maxListBytes, maxMessages = 20_000, 20
	for _, count := range []int{30, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newFleetLeader(t)
			const rounds = int(2 * time.Second / upkeepInterval)
			for i := range rounds {
				for n := count * i / rounds; n < count*(i+1)/rounds; n++ {
					f.join(t, n)
				}
				f.run(t, upkeepInterval)
			}
			f.run(t, time.Second)
			for _, l := range f.links {
				if got := len(l.sendQueue); got > maxMessages {
					t.Fatalf("%s was sent %d messages, want at most %d", l.member.Name, got, maxMessages)
				}
				if !l.hasMembers || !l.hasSnapshot {
					t.Fatalf("%s lacks the members or the objects", l.member.Name)
				}
			}
			if got := len(f.leader.encodedMembers); got > maxListBytes {
				t.Errorf("the list of members has %d bytes, want at most %d", got, maxListBytes)
			}
		})
	}
}

// Guards against instances that leave a slow leader all at once and join it again all at once, which silences it again: those that
// callers don't use notice a silent leader later, and join at different times (pattern: a leader of hundreds is busy for a second).
func TestStandbyInstancesJoinAgainAtDifferentTimes(t *testing.T) {
	now := time.Unix(1_000, 0)
	s := convener.DefaultSettings()
	joins := map[time.Duration]int{}
	const count = 280
	for i := range count {
		c := convener.New(s, convener.Peer{Name: fmt.Sprint("entry-", i)}, lineLength, nil)
		c.Joined(now, convener.Peer{Name: "leader", Address: "leader"})
		c.SetStandby(true)
		for _, a := range c.Tick(now.Add(s.Silence + 10*time.Millisecond)) {
			if _, left := a.(convener.Leave); left {
				t.Fatalf("entry-%d leaves after %s", i, s.Silence)
			}
		}
		actions := c.LeaderDisconnected(now)
		at := time.Duration(0)
		for ; at <= s.StandbySpread && !joinsLeader(actions); at += 10 * time.Millisecond {
			actions = c.Tick(now.Add(at))
		}
		if !joinsLeader(actions) {
			t.Fatalf("entry-%d doesn't join within %s", i, s.StandbySpread)
		}
		joins[at.Truncate(100*time.Millisecond)]++
	}
	for at, n := range joins {
		if n > count/4 {
			t.Errorf("%d of %d instances join within 100 ms, at %s", n, count, at)
		}
	}
}

func joinsLeader(actions []convener.Action) bool {
	for _, a := range actions {
		if _, joins := a.(convener.Join); joins {
			return true
		}
	}
	return false
}

// Guards against a choice of instances that doesn't follow the load: callers then queue at few busy instances while hundreds stand by
// (pattern: a burst beyond what the strong instances can serve).
func TestMoreInstancesAreListedUnderLoad(t *testing.T) {
	f := newFleetLeader(t)
	f.leader.options.ProcessorTime = func() time.Duration { return 0 }
	for i := range 200 {
		f.join(t, i)
	}
	f.run(t, time.Second)
	quiet := len(f.leader.sentMembers.Members)
	ping, _ := json.Marshal(pingMessage{Ready: true, Used: 0.7})
	for _, l := range f.links {
		f.leader.handlePeerMessage(f.clock.now, peerMessage{link: l, method: methodPing, params: ping})
	}
	f.run(t, 2*time.Second)
	if busy := len(f.leader.sentMembers.Members); busy <= quiet {
		t.Errorf("%d instances are listed under load, %d without", busy, quiet)
	}
	for _, l := range f.links {
		l.used = 0
	}
	f.run(t, 2*time.Minute)
	if after := len(f.leader.sentMembers.Members); after != quiet {
		t.Errorf("%d instances are listed after the load, want %d", after, quiet)
	}
}

// Guards against a view of all targets for each of thousands that a store's list brings, which kept an instance from serving for 14 s
// after a loss of power (pattern: all killed, 3,000 engines).
func TestManyTargetsArePublishedInBatches(t *testing.T) {
	f := newFleetLeader(t)
	const targets, spacing = 3000, 100 * time.Microsecond
	views := 0
	last := f.leader.View()
	for i := range targets {
		name := fmt.Sprint("new-", i)
		f.leader.handleStoreChange(f.clock.now, storer.Event{
			Type:   storer.EventPut,
			Object: storer.Object{Kind: kindTargets, Name: name, Version: versioner.Of(int64(1000 + i)), Value: json.RawMessage(fmt.Sprintf("{\"ID\":%q}", name))},
		})
		f.leader.publishIfDue()
		if v := f.leader.View(); v != last {
			views++
			last = v
		}
		f.clock.now = f.clock.now.Add(spacing)
	}
	if most := int(targets*spacing/publishInterval) + 1; views > most {
		t.Errorf("%d views of %d targets, want at most %d", views, targets, most)
	}
	f.clock.now = f.clock.now.Add(publishInterval)
	f.leader.publishIfDue()
	if got := len(f.leader.View().Catalogue.Targets); got != targets+120 {
		t.Errorf("the last view has %d targets, want %d", got, targets+120)
	}
}

// Guards against running work that is given up or started again because the instance that runs it was silent for a while: its follower
// keeps it, and reports it to the leader that it joins again (faults node_freeze, node_slow).
func TestWorkOfASilentFollowerIsKept(t *testing.T) {
	f := newFleetLeader(t)
	now := f.clock.now
	entry, _ := json.Marshal(cataloguer.Target{ID: "engine", Service: "scribe", Slots: 16})
	f.leader.applyChange(now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindTargets, Name: "engine", Version: versioner.Of(900), Value: entry}})
	f.clock.now = now.Add(announceDelay)
	f.leader.publish()

	follower := New(f.leader.options)
	request := scheduler.Request{ID: "r", Service: "scribe", PromptTokens: 1000, OutputTokens: 100, Arrived: now, TargetLatency: time.Second, Deadline: now.Add(10 * time.Second)}
	follower.placed["r"] = &placedRequest{request: request, placement: scheduler.Placement{Engine: "engine"}, started: true}
	reports := func() int {
		l := &link{conn: closedConn(t), closed: make(chan struct{}), sendQueue: make(chan func() error, linkQueue)}
		follower.follow(f.clock.now, joinResult{link: l, answer: joinAnswer{Accepted: true, Self: convener.Peer{Name: "leader"}}})
		return len(l.sendQueue)
	}
	if got := reports(); got != 1 {
		t.Fatalf("%d messages of running work, want 1", got)
	}
	follower.stopFollowing()
	if len(follower.placed) != 1 {
		t.Fatal("the follower gave up its running work with its leader")
	}
	if got := reports(); got != 1 {
		t.Errorf("%d messages of running work after joining again, want 1", got)
	}

	adopt, _ := json.Marshal(adoptMessage{Request: encodeRequest(now, request), Placement: scheduler.Placement{Engine: "engine"}, Started: true})
	for range 2 {
		f.join(t, len(f.links))
		l := f.links[len(f.links)-1]
		f.leader.handlePeerMessage(f.clock.now, peerMessage{link: l, method: methodAdopt, params: adopt})
		if got := f.leader.scheduler.Running(); got != 1 {
			t.Errorf("the leader counts %d running requests, want 1", got)
		}
		f.leader.handleLinkClosed(t.Context(), f.clock.now, l)
	}
}
