package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/jsonrpc2"

	"bergamothollow.example/bergamothollow/internal/emulator/keeper"
	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/director"
	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const (
	kindRules       storer.Kind = "rules"
	kindTargets     storer.Kind = "targets"
	kindEvacuations storer.Kind = "evacuations"
	kindLeaders     storer.Kind = "leaders"
	kindDuties      storer.Kind = "duties"
)

// watchableStore adds watches to an in-memory store and counts the calls.
type watchableStore struct {
	*keeper.Keeper
	calls *atomic.Int64
	down  *atomic.Bool
}

func newStore() watchableStore {
	return watchableStore{
		Keeper: keeper.New(),
		calls:  &atomic.Int64{},
		down:   &atomic.Bool{},
	}
}

func (w watchableStore) List(ctx context.Context, kind storer.Kind, prefix, after string, limit int) (storer.Listing, error) {
	w.calls.Add(1)
	if w.down.Load() {
		return storer.Listing{}, &storer.UnavailableError{Cause: io.ErrClosedPipe}
	}
	return w.Keeper.List(ctx, kind, prefix, after, limit)
}

func (w watchableStore) Watch(ctx context.Context, kind storer.Kind, after versioner.Version, wait time.Duration) (storer.Changes, error) {
	w.calls.Add(1)
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if w.down.Load() {
			return storer.Changes{}, &storer.UnavailableError{Cause: io.ErrClosedPipe}
		}
		listing, err := w.Keeper.List(ctx, kind, "", "", 1000)
		if err != nil {
			return storer.Changes{}, err
		}
		if listing.Era != after.Era {
			return storer.Changes{Version: listing.Version}, nil
		}
		var changes storer.Changes
		for _, o := range listing.Items {
			if o.After(after) {
				changes.Events = append(changes.Events, storer.Event{Type: storer.EventPut, Object: o})
				changes.Version = versioner.Latest(changes.Version, o.Version)
			}
		}
		if len(changes.Events) > 0 {
			return changes, nil
		}
	}
	return storer.Changes{Version: after}, ctx.Err()
}

func format() Format {
	return Format{
		RulesKind:      kindRules,
		RulesName:      "main",
		TargetKind:     kindTargets,
		EvacuationKind: kindEvacuations,
		LeaderKind:     kindLeaders,
		DutyKind:       kindDuties,
		DecodeRules: func(value json.RawMessage) (matcher.Rules, error) {
			var rules matcher.Rules
			return rules, json.Unmarshal(value, &rules)
		},
		DecodeTarget: func(_ string, value json.RawMessage, _ time.Time) (cataloguer.Target, error) {
			var target cataloguer.Target
			return target, json.Unmarshal(value, &target)
		},
	}
}

func putRules(store watchableStore, version int64) {
	store.Put(kindRules, "main", rulesOf(version))
}

func rulesOf(version int64) matcher.Rules {
	return matcher.Rules{
		Version: version,
		Services: []matcher.Service{{
			Name: "scribe",
			Engine: &matcher.Engine{
				MemoryTokens: 100_000,
				Step:         time.Millisecond,
				PrefillRate:  100_000,
				ChunkTokens:  2048,
				StepsPerPass: 40,
			},
		}},
	}
}

func putEngine(store watchableStore, name string) {
	store.Put(kindTargets, name, cataloguer.Target{
		ID:      namer.Target(name),
		Service: "scribe",
		Address: "127.0.0.1:1",
		Slots:   16,
	})
}

type instance struct {
	*Coordinator
	stop context.CancelFunc
}

func startInstance(t *testing.T, store watchableStore, i int, seeds ...string) instance {
	t.Helper()
	return startInstanceWith(t, store, i, nil, seeds...)
}

// startInstanceWith starts an instance with the given duties.
func startInstanceWith(t *testing.T, store watchableStore, i int, duties *DutyOptions, seeds ...string) instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	name := fmt.Sprintf("entry-%02d", i)
	address := listener.Addr().String()
	if len(seeds) == 0 {
		seeds = []string{address}
	}
	c := New(Options{
		Self: Member{
			Name:     name,
			Instance: namer.Instance(name),
			Callers:  name,
			Peers:    address,
			Strong:   true,
		},
		PeerListener: listener,
		Seeds:        seeds,
		Traffic:      &messenger.ByteCounters{},
		Store: storer.NewClient(store, storer.DefaultClientSettings(1000), timer.System{},
			rand.New(rand.NewPCG(1, uint64(i)))),
		Format:    format(),
		Clock:     timer.System{},
		Log:       &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		WatchWait: time.Second,
		Catalogue: cataloguer.Settings{ReregistrationTime: time.Second, EvacuationTime: time.Second},
		Scheduler: scheduler.DefaultSettings(),
		Balancer:  balancer.DefaultSettings(),
		Convener:  convener.DefaultSettings(),
		Director:  director.DefaultSettings(),
		Isolator:  isolator.DefaultSettings(),
		Duties:    duties,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stop := func() {
		cancel()
		_ = listener.Close()
	}
	t.Cleanup(stop)
	go c.Run(ctx)
	return instance{
		Coordinator: c,
		stop:        stop,
	}
}

// eventually waits for a condition that depends on messages between instances.
func eventually(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", within, what)
}

func (i instance) knows(version int64, members int) bool {
	view := i.View()
	return view.Rules != nil && view.Rules.Rules.Version == version && len(view.Members) == members
}

func place(t *testing.T, i instance, id string) scheduler.Placement {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	now := time.Now()
	decision, err := i.Place(ctx, scheduler.Request{
		ID:            namer.Request(id),
		Service:       "scribe",
		PromptTokens:  1000,
		OutputTokens:  100,
		Arrived:       now,
		TargetLatency: time.Second,
		Deadline:      now.Add(5 * time.Second),
	}, nil)
	placed, ok := decision.(scheduler.Place)
	if err != nil || !ok {
		t.Fatalf("%s: %v, %v", id, decision, err)
	}
	return placed.Placement
}

// Guards against instances that all choose the same engine, since each knows only its own work.
func TestLeaderPlacesForAll(t *testing.T) {
	store := newStore()
	putRules(store, 1)
	for _, name := range []string{"a", "b"} {
		putEngine(store, name)
	}
	first := startInstance(t, store, 0)
	second := startInstance(t, store, 1, first.options.Self.Peers)
	for _, i := range []instance{first, second} {
		eventually(t, 5*time.Second, "both know both", func() bool { return i.knows(1, 2) })
	}
	used := map[namer.Target]int{}
	for n := range 32 {
		used[place(t, []instance{first, second}[n%2], fmt.Sprint(n)).Engine]++
	}
	if used["a"] != 16 || used["b"] != 16 {
		t.Errorf("32 requests were not spread evenly over two engines of 16 slots: %v", used)
	}
}

// Guards against requests that stay queued at a leader that is gone.
func TestLeaderLost(t *testing.T) {
	store := newStore()
	putRules(store, 1)
	putEngine(store, "a")
	first := startInstance(t, store, 0)
	second := startInstance(t, store, 1, first.options.Self.Peers)
	eventually(t, 5*time.Second, "the follower has joined", func() bool { return first.knows(1, 2) && second.knows(1, 2) })
	first.stop()
	place(t, second, "after")
	eventually(t, 4*time.Second, "the lost leader is no longer named", func() bool {
		return !slices.ContainsFunc(second.View().Members, func(m Member) bool { return m.Instance == "entry-00" })
	})
}

// Guards against an instance that starts without rules while the store is unavailable, although a peer has them.
func TestRulesFromAPeer(t *testing.T) {
	store := newStore()
	putRules(store, 3)
	putEngine(store, "a")
	first := startInstance(t, store, 0)
	eventually(t, 5*time.Second, "rules", func() bool { return first.knows(3, 1) })
	away := newStore()
	away.down.Store(true)
	away.SetFaults(keeper.Faults{Down: true})
	second := startInstance(t, away, 1, first.options.Self.Peers)
	eventually(t, 5*time.Second, "rules from the leader", func() bool { return second.knows(3, 2) })
	place(t, second, "one")
}

// Guards against a number of store calls that grows with the deployment, and against forwarding outdated rules.
func TestManyInstancesAreFed(t *testing.T) {
	store := newStore()
	putRules(store, 1)
	putEngine(store, "a")
	const count = 14
	all := []instance{startInstance(t, store, 0)}
	for i := 1; i < count; i++ {
		all = append(all, startInstance(t, store, i, all[0].options.Self.Peers))
	}
	for _, i := range all {
		eventually(t, 8*time.Second, "all know all", func() bool { return i.knows(1, count) })
	}
	time.Sleep(1500 * time.Millisecond)
	before := store.calls.Load()
	time.Sleep(2 * time.Second)
	// Each reader runs one or two watches per second for each of three kinds.
	if calls := store.calls.Load() - before; calls > 3*3*(storeReaders+1) {
		t.Errorf("%d calls in two seconds", calls)
	}
	putRules(store, 2)
	for _, i := range all {
		eventually(t, 2*time.Second, "new rules", func() bool { return i.View().Rules.Rules.Version == 2 })
	}
}

// Guards against a return to an older version of the rules, sent by a lagging leader or in an answer that arrives out of
// order.
func TestOlderRulesAreIgnored(t *testing.T) {
	store := newStore()
	putRules(store, 5)
	c := startInstance(t, store, 0)
	eventually(t, 5*time.Second, "rules", func() bool { return c.knows(5, 1) })
	putRules(store, 4)
	time.Sleep(300 * time.Millisecond)
	if version := c.View().Rules.Rules.Version; version != 5 {
		t.Errorf("version %d is current, want 5", version)
	}
}

// Guards against leaking slots when a caller disconnects while its request is queued or being placed.
func TestWithdrawnRequests(t *testing.T) {
	store := newStore()
	putRules(store, 1)
	putEngine(store, "a")
	c := startInstance(t, store, 0)
	eventually(t, 5*time.Second, "engine", func() bool { return c.knows(1, 1) && len(c.View().Catalogue.Targets) == 1 })
	for n := range 40 {
		ctx, cancel := context.WithCancel(context.Background())
		if n%2 == 0 {
			cancel()
		}
		_, err := c.Place(ctx, scheduler.Request{
			ID: namer.Request(fmt.Sprint(n)), Service: "scribe", PromptTokens: 1000, OutputTokens: 10, Arrived: time.Now(),
			TargetLatency: time.Second, Deadline: time.Now().Add(time.Second),
		}, nil)
		if err == nil {
			c.Ended(namer.Request(fmt.Sprint(n)), scheduler.Cancelled, "")
		}
		cancel()
	}
	for n := range 16 {
		place(t, c, fmt.Sprint("last-", n))
	}
}

// Guards against work for targets that have left, at an instance that receives changes from the leader. When the leader had
// lost the store, the instance watched the store itself but took removed entries for expired ones. The store rejects some
// machines while targets leave (scenario platform_down, nodes leader drain).
func TestTargetsLeaveWhileTheLeaderHasLostTheStore(t *testing.T) {
	c := New(startInstance(t, newStore(), 0).options)
	now := time.Unix(1_000, 0)
	entry := storer.Object{Kind: kindTargets, Name: "a", Version: versioner.Of(3), Value: json.RawMessage(`{"ID":"a"}`)}
	c.applyChange(now, storer.Event{Type: storer.EventPut, Object: entry})
	c.handleLeaderStoreState(now, true)
	c.handleWatchResult(now, watchResult{kind: kindTargets})
	later := now.Add(c.options.Catalogue.ReregistrationTime + time.Second)
	entry.Version = versioner.Of(4)
	c.applyChange(later, storer.Event{Type: storer.EventDelete, Object: entry})
	if c.catalogue.Catalogue().Usable("a") {
		t.Error("a target that has left is still usable")
	}
}

// Guards against instances that miss changes because the store rejects the leader that forwards them, while it still serves
// others (scenarios platform_down, nodes leader; core_cut, leader).
func TestReadersReportToLeader(t *testing.T) {
	var instances []instance
	shared := newStore()
	putRules(shared, 1)
	putEngine(shared, "a")
	// The leader's store has the same objects but can fail independently.
	own := watchableStore{Keeper: shared.Keeper, calls: &atomic.Int64{}, down: &atomic.Bool{}}
	instances = append(instances, startInstance(t, own, 0))
	for i := 1; i < storeReaders+4; i++ {
		instances = append(instances, startInstance(t, shared, i, instances[0].options.Self.Peers))
	}
	eventually(t, 10*time.Second, "all know all", func() bool {
		return !slices.ContainsFunc(instances, func(i instance) bool { return !i.knows(1, len(instances)) })
	})
	own.down.Store(true)
	time.Sleep(100 * time.Millisecond)
	calls := shared.calls.Load()
	putRules(shared, 2)
	eventually(t, time.Second, "all know the new rules", func() bool {
		return !slices.ContainsFunc(instances, func(i instance) bool { return !i.knows(2, len(instances)) })
	})
	time.Sleep(2 * time.Second)
	// Each reader except the leader watches three kinds, for a second each.
	if made, most := shared.calls.Load()-calls, int64(3*3*(storeReaders-1)); made > most {
		t.Errorf("%d calls in 2 s, want at most %d", made, most)
	}
}

// Guards against a whole deployment calling a store that is down for all. A platform_down of 3 s led to 7,000 calls a day,
// which cost 0.07 of the score.
func TestFewSubstitutesWatchTheStore(t *testing.T) {
	now := time.Unix(1_000, 0)
	for name, test := range map[string]struct {
		rank    int
		after   time.Duration
		covered bool
		watches bool
	}{
		"next in line":               {rank: storeReaders + 1, watches: true},
		"later in line":              {rank: storeReaders + 4},
		"later in line, after 1.1 s": {rank: storeReaders + 4, after: 1100 * time.Millisecond, watches: true},
		"a substitute reads":         {rank: storeReaders + 1, covered: true},
		"last in line, after 10 s":   {rank: 80, after: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(startInstance(t, newStore(), 0).options)
			c.convener.Joined(now, convener.Peer{Name: "leader"})
			c.hasSnapshot, c.rank, c.covered = true, test.rank, test.covered
			c.followStore(t.Context(), now)
			c.handleLeaderStoreState(now, true)
			c.followStore(t.Context(), now.Add(test.after))
			if watches := c.stopWatching != nil; watches != test.watches {
				t.Errorf("watches the store: %t, want %t", watches, test.watches)
			}
		})
	}
}

// Guards against instances that receive no changes because no reader reaches the store: it may silently reject half of a
// small deployment. Scenario: platform_down (nodes drain) for half of the instances while engines leave (DRAIN on quetzal,
// deploy/days/leaving_around_store_outages.toml --vary --seed 485175011537).
func TestAllInstancesOfSmallDeploymentsWatchTheStore(t *testing.T) {
	now := time.Unix(1_000, 0)
	for rank := range 8 {
		c := New(startInstance(t, newStore(), 0).options)
		c.convener.Joined(now, convener.Peer{Name: "leader"})
		c.hasSnapshot, c.rank = true, rank
		c.followStore(t.Context(), now)
		if c.stopWatching == nil {
			t.Errorf("the instance with rank %d of 8 does not watch the store", rank)
		}
	}
}

// Guards against restoring a target that has left because a slow reader reports an older version of its entry.
func TestOlderReportsAreIgnored(t *testing.T) {
	c := New(startInstance(t, newStore(), 0).options)
	now := time.Unix(1_000, 0)
	entry := storer.Object{Kind: kindTargets, Name: "a", Version: versioner.Of(3), Value: json.RawMessage(`{"ID":"a"}`)}
	c.applyChange(now, storer.Event{Type: storer.EventPut, Object: entry})
	gone := entry
	gone.Version = versioner.Of(5)
	c.applyChange(now, storer.Event{Type: storer.EventDelete, Object: gone})
	entry.Version = versioner.Of(4)
	if c.applyChange(now, storer.Event{Type: storer.EventPut, Object: entry}) || c.catalogue.Catalogue().Usable("a") {
		t.Error("a target that has left was restored")
	}
}

// Guards against work for a target that left while one watch was interrupted: a single failed call is no outage in which
// entries expire. Watches are interrupted while engines drain (DRAIN on quetzal with platform_down and scale_in).
func TestInterruptedWatchIsNoOutage(t *testing.T) {
	entry := storer.Object{Kind: kindTargets, Name: "a", Version: versioner.Of(3), Value: json.RawMessage(`{"ID":"a"}`)}
	lost := watchResult{kind: kindTargets, err: &storer.UnavailableError{Cause: io.ErrUnexpectedEOF}}
	for name, test := range map[string]struct {
		failures int
		kept     bool
	}{
		"one failed call":  {failures: 1},
		"two failed calls": {failures: 2, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(startInstance(t, newStore(), 0).options)
			now := time.Unix(1_000, 0)
			c.applyChange(now, storer.Event{Type: storer.EventPut, Object: entry})
			for range test.failures {
				c.handleWatchResult(now, lost)
			}
			gone := entry
			gone.Version = versioner.Of(4)
			c.applyChange(now, storer.Event{Type: storer.EventDelete, Object: gone})
			c.handleWatchResult(now, watchResult{kind: kindTargets})
			if got := c.catalogue.Catalogue().Usable("a"); got != test.kept {
				t.Errorf("a target whose entry vanished is usable: %t, want %t", got, test.kept)
			}
		})
	}
}

// Guards against placing work on engines that followers don't know yet: they reject it, and the request starts again.
// Engines return while others leave (scenarios cold_return and release); this affected 31 requests.
func TestNewEngineIsAnnouncedFirst(t *testing.T) {
	clock := &manualClock{System: timer.System{}, now: time.Unix(1_000, 0)}
	o := startInstance(t, newStore(), 0).options
	o.Clock = clock
	c := New(o)
	c.convener.PointerWritten(clock.now, versioner.Of(1))
	c.members = make([]Member, storeReaders+1)
	c.recordComplete(kindTargets, versioner.Of(1))
	rules, _ := json.Marshal(rulesOf(1))
	c.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindRules, Name: "main", Version: versioner.Of(1), Value: rules}})
	entry, _ := json.Marshal(cataloguer.Target{ID: "a", Service: "scribe", Slots: 16})
	c.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindTargets, Name: "a", Version: versioner.Of(2), Value: entry}})
	c.publish()
	if got := c.scheduler.Load(clock.now).Engines; got != 0 {
		t.Errorf("%d engines are used before the followers know them", got)
	}
	clock.now = clock.now.Add(announceDelay)
	c.publish()
	if got := c.scheduler.Load(clock.now).Engines; got != 1 {
		t.Errorf("%d engines are used once the followers know them, want 1", got)
	}
}

// manualClock is a clock whose time is set by a test.
type manualClock struct {
	timer.System
	now time.Time
}

// Now returns the time set by the test.
func (m *manualClock) Now() time.Time {
	return m.now
}

// Guards against each instance using all of a shared limit. All instances lose power and start at once, without a leader and
// with cold engines (final faults; BUDGET and FAILBACK on scaled-up quetzal days).
func TestInstanceCountWithoutLeader(t *testing.T) {
	c := New(startInstance(t, newStore(), 0).options)
	c.publish()
	if got := c.View().Instances; got != assumedInstances {
		t.Errorf("%d instances are assumed before any is known", got)
	}
	c.members = make([]Member, 8)
	c.publish()
	if got := c.View().Instances; got != 8 {
		t.Errorf("%d instances after a leader has announced 8", got)
	}
}

// Guards against followers that still refer callers to a leader that is gone.
func TestLostLeaderIsNotListed(t *testing.T) {
	c := New(startInstance(t, newStore(), 0).options)
	c.members = []Member{{Name: "leader"}, {Name: "other"}}
	c.leaderName = "leader"
	c.leader = &link{
		conn:   closedConn(t),
		closed: make(chan struct{}),
	}
	c.stopFollowing()
	c.publish()
	if got := c.View().Members; len(got) != 1 || got[0].Name != "other" {
		t.Errorf("members listed to callers: %v", got)
	}
}

func closedConn(t *testing.T) *jsonrpc2.Conn {
	t.Helper()
	a, b := net.Pipe()
	_ = b.Close()
	conn := jsonrpc2.NewConn(context.Background(), messenger.NewStream(a, &messenger.ByteCounters{}, nil), nil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against losing the leader's first messages, which are sent only once and may arrive before the control goroutine
// knows that the leader has accepted. TestRulesFromAPeer once failed in CI for this reason.
func TestMessagesBeforeJoinResult(t *testing.T) {
	c := New(startInstance(t, newStore(), 0).options)
	l := &link{
		conn:      closedConn(t),
		closed:    make(chan struct{}),
		sendQueue: make(chan func() error, linkQueue),
	}
	now := time.Unix(1_000, 0)
	rules := c.encodeObjects([]storer.Event{{
		Type:   storer.EventPut,
		Object: storer.Object{Kind: kindRules, Name: "main", Version: versioner.Of(2), Value: json.RawMessage(`{"Version":7}`)},
	}}, true)
	c.handlePeerMessage(now, peerMessage{link: l, method: methodObjects, params: rules})
	if c.rules != nil {
		t.Fatal("rules of a peer that is not the leader were applied")
	}
	c.handleJoinResult(context.Background(), now, joinResult{
		link:   l,
		answer: joinAnswer{Accepted: true, Self: convener.Peer{Name: "leader"}},
	})
	if c.rules == nil || c.rules.Rules.Version != 7 {
		t.Error("the rules were lost")
	}
}

// Guards against a process that ends because of one malformed message of a peer, or an unexpected error while it is handled.
func TestPanicDropsOneMessage(t *testing.T) {
	store := newStore()
	putRules(store, 1)
	putEngine(store, "a")
	c := startInstance(t, store, 0)
	eventually(t, 5*time.Second, "rules and the engine", func() bool {
		return c.knows(1, 1) && c.View().Catalogue.Usable("a")
	})
	// A message without a link can't be handled.
	c.messages <- peerMessage{method: methodJoin}
	place(t, c, "after")
}
