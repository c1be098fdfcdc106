package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/abstainer"
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/director"
	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/returner"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/sizer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// Format defines the names and the encoding of the objects in the store.
type Format struct {
	RulesKind      storer.Kind
	RulesName      string
	TargetKind     storer.Kind
	EvacuationKind storer.Kind
	// LeaderKind is the kind of the object that names the leader, and DutyKind that of the object that names the holder of the duties.
	LeaderKind storer.Kind
	DutyKind   storer.Kind

	DecodeRules  func(value json.RawMessage) (matcher.Rules, error)
	DecodeTarget func(name string, value json.RawMessage, now time.Time) (cataloguer.Target, error)
}

// Options are the parameters and dependencies of a coordinator.
type Options struct {
	Self Member
	// PeerListener is the listener for other instances.
	PeerListener net.Listener
	// Seeds are the addresses of peers to contact while the store is unavailable.
	Seeds     []string
	Traffic   *messenger.ByteCounters
	Store     *storer.Client
	Format    Format
	Clock     timer.Clock
	Log       *log.Logger
	WatchWait time.Duration
	Catalogue cataloguer.Settings
	Scheduler scheduler.Settings
	Balancer  balancer.Settings
	Convener  convener.Settings
	Director  director.Settings
	Isolator  isolator.Settings
	Sizer     sizer.Settings
	// Sizing counts what the duty to order engines does; it may be nil.
	Sizing *SizingMetrics
	// OnPanic is called for each step that a panic has ended, to count it; it may be nil.
	OnPanic func()
	// ProcessorTime returns the processor time that the process has used; nil means that it isn't known.
	ProcessorTime func() time.Duration
	// Duties is nil if the platform asks for none.
	Duties *DutyOptions
	// DutyMetrics may be nil.
	DutyMetrics *DutyMetrics
}

// View is an immutable snapshot of the state for traffic goroutines.
type View struct {
	// Rules is nil until the first version has been received.
	Rules     *matcher.Matcher
	Catalogue *cataloguer.Catalogue
	// Members are the instances that callers may use.
	Members []Member
	// Crowded lists the data centres whose callers use instances of others, too.
	Crowded []namer.DataCentre
	// Instances is the number of instances with which this one shares common limits, or an assumed one before any is known. It
	// includes instances that this one doesn't reach at present.
	Instances int
	Leaving   bool
	// Informed is set once this instance knows all objects of the kinds that it needs. Before that, what it lacks may exist.
	Informed bool
	// Began is when this instance started.
	Began time.Time
	// StoreLost is set while this instance's calls to the store fail.
	StoreLost bool
	// StoreEra is the newest era of the store that this instance has heard of, as the store states it; -1 if it states none.
	StoreEra int64
	// RulesRetained is set while the rules in force are newer than those of the store.
	RulesRetained bool
	// Isolated holds the parts of prompts that crash engines, and until when requests with them are refused.
	Isolated map[namer.Part]time.Time
}

// Coordinator runs the control goroutine.
type Coordinator struct {
	options  Options
	messages chan message
	view     atomic.Pointer[View]

	rules *matcher.Matcher
	// rulesObject is the object of the rules in force, and rulesRetained is set while the store has older rules or none.
	rulesObject   storer.Object
	rulesRetained bool
	catalogue     *cataloguer.Cataloguer
	scheduler     *scheduler.Scheduler
	balancer      *balancer.Balancer
	isolator      *isolator.Isolator
	// soundParts are the parts with which answers have begun and of which the leader hasn't heard yet.
	soundParts map[namer.Part]bool
	// soundSentAt is when the leader last heard of them.
	soundSentAt time.Time
	convener    *convener.Convener
	role        convener.Role
	// waiting and placed are the requests of this instance; owners holds, at a leader, the follower of each request from a
	// follower.
	waiting map[namer.Request]submitRequest
	placed  map[namer.Request]*placedRequest
	owners  map[namer.Request]*link
	// leader is nil unless this instance is a follower.
	leader     *link
	leaderName string
	followers  map[*link]struct{}
	// pendingMessages holds messages of peers that are neither the leader nor a follower yet.
	pendingMessages map[*link][]peerMessage
	// members is the last list received from the leader, and instances the number of all instances with it. sentMembers is the last
	// list that this instance sent as a leader, and encodedMembers its encoding.
	members []Member
	// crowded lists the data centres whose listed instances have too little processor capacity for their callers.
	crowded        []namer.DataCentre
	instances      int
	sentMembers    membersMessage
	encodedMembers json.RawMessage
	// sentPing is the last report to the leader.
	sentPing pingMessage
	// lostLeader is the last leader that became unreachable; it is no longer listed to callers.
	lostLeader           string
	previousMembersUntil time.Time
	loadLogged           time.Time
	// oddRanks are the services whose odd ranks have been logged.
	oddRanks map[namer.Service]bool
	// nextDecision is the earliest time of the next decision, and nextPublish that of the next view.
	nextDecision time.Time
	nextPublish  time.Time
	// rank is this instance's rank in the leader's succession, -1 if unknown.
	rank int
	// objects are the objects of the store that this instance knows.
	objects map[storer.Kind]map[string]storer.Object
	// removed holds the versions at which objects were removed.
	removed map[objectKey]versioner.Version
	// unreported are changes read from the store that have yet to be sent to the leader.
	unreported []storer.Event
	// firstListed holds when targets first appeared; hasUnannounced is set while some are so new that followers may not know
	// them.
	firstListed    map[namer.Target]time.Time
	hasUnannounced bool
	// unsentChanges are changes that a leader has yet to forward; changesSentAt is when it last forwarded any.
	unsentChanges []storer.Event
	changesSentAt time.Time
	// snapshot is the encoded message with all objects; it is nil if they have changed since.
	snapshot json.RawMessage
	// snapshotAt is when it was last encoded.
	snapshotAt time.Time
	// membersSentAt is when the members were last sent; membersChanged is set if they may have changed since.
	membersSentAt  time.Time
	membersChanged bool
	// storeState is a leader's answer to pings, as of the last round of upkeep.
	storeState pongMessage
	// hasSnapshot is set once the leader has sent objects of the store; leaderLostStore is set while neither the leader nor
	// the readers reach the store.
	hasSnapshot     bool
	leaderLostStore bool
	// leaderStoreChangedAt is when leaderLostStore last changed; covered is set while a substitute reads the store: a
	// follower whose rank is too high for a reader.
	leaderStoreChangedAt time.Time
	covered              bool
	// stopWatching is nil while the store isn't watched; watchWait is the long-poll time of a watch.
	stopWatching context.CancelFunc
	watchWait    time.Duration
	// unfedSince is since when no leader has sent this instance changes from the store; it is zero if the store
	// must be watched at once, as at the start.
	unfedSince time.Time
	// lostKinds holds the kinds whose watch has lost the store.
	lostKinds map[storer.Kind]bool
	// answeredKinds holds the kinds for which the store has answered since watching began.
	answeredKinds map[storer.Kind]bool
	// completeUpTo holds, for the kinds that this instance has listed, the version of the store up to which it knows all objects.
	completeUpTo map[storer.Kind]versioner.Version
	// completeEras holds the newest era of which this instance has known all objects of a kind, by itself or from a leader.
	completeEras map[storer.Kind]int64
	// era is the newest era of the store that this instance has heard of, 0 if the store states none.
	era int64
	// heard holds the kinds of which this instance has had all objects at some time, by itself or from a leader.
	heard map[storer.Kind]bool
	// informed is closed once the first view with View.Informed is published; began is when this instance was made.
	informed chan struct{}
	began    time.Time
	// held are the requests that wait since this instance isn't informed, with the time at which they are refused.
	held map[namer.Request]time.Time
	// returner paces the requests in returned, which have come back late, and plans when refused ones come back; submitted are those that
	// the scheduler has yet to decide on.
	returner  *returner.Returner
	returned  map[namer.Request]scheduler.Request
	submitted map[namer.Request]scheduler.Request
	// engines is the number of engines on which this instance places, or its share of them.
	engines       int
	returnCounts  ReturnCounts
	loggedReturns ReturnCounts
	sharedReturns atomic.Pointer[ReturnCounts]
	returnsLogged time.Time
	// failures counts consecutive failed calls by kind of object.
	failures     map[storer.Kind]int
	leaving      bool
	viewOutdated bool
	usage        usage
	sizing       sizing
	duties       duties
	// applyingSnapshot is set while a snapshot from the leader is applied; it is logged as a whole.
	applyingSnapshot bool
}

// messageBuffer is the size of the message queue, so that traffic goroutines rarely block on the control goroutine.
const messageBuffer = 1024

// New returns a coordinator; the caller must start Run.
func New(o Options) *Coordinator {
	c := &Coordinator{
		options:         o,
		messages:        make(chan message, messageBuffer),
		catalogue:       cataloguer.New(o.Catalogue),
		scheduler:       scheduler.New(o.Scheduler),
		balancer:        balancer.New(o.Balancer, o.Self.DataCentre),
		isolator:        isolator.New(o.Isolator),
		soundParts:      map[namer.Part]bool{},
		oddRanks:        map[namer.Service]bool{},
		waiting:         map[namer.Request]submitRequest{},
		placed:          map[namer.Request]*placedRequest{},
		owners:          map[namer.Request]*link{},
		followers:       map[*link]struct{}{},
		pendingMessages: map[*link][]peerMessage{},
		objects:         map[storer.Kind]map[string]storer.Object{},
		removed:         map[objectKey]versioner.Version{},
		firstListed:     map[namer.Target]time.Time{},
		rank:            -1,
		lostKinds:       map[storer.Kind]bool{},
		failures:        map[storer.Kind]int{},
		answeredKinds:   map[storer.Kind]bool{},
		completeUpTo:    map[storer.Kind]versioner.Version{},
		completeEras:    map[storer.Kind]int64{},
		duties:          newDuties(o),
		heard:           map[storer.Kind]bool{},
		informed:        make(chan struct{}),
		began:           o.Clock.Now(),
		held:            map[namer.Request]time.Time{},
		returner:        returner.New(returner.DefaultSettings()),
		returned:        map[namer.Request]scheduler.Request{},
		submitted:       map[namer.Request]scheduler.Request{},
	}
	rank, seedPeers := initialRank(o)
	c.convener = convener.New(o.Convener, c.self(), rank, seedPeers)
	if o.Self.Strong {
		c.convener.StartEagerly()
	}
	if !slices.Contains(o.Seeds, o.Self.Peers) && len(o.Seeds) > 0 {
		// A leader or a seed soon feeds this instance; in a large deployment, hundreds start at once.
		c.unfedSince = o.Clock.Now()
	}
	c.publish()
	return c
}

// initialRank returns this instance's rank while there is no leader, and the seeds as peers. Strong seeds come first, then
// other strong instances, then weak ones.
func initialRank(o Options) (int, []convener.Peer) {
	half := o.Convener.MaxRank / 2
	rank := len(o.Seeds) + rand.IntN(half-len(o.Seeds)%half)
	seedPeers := make([]convener.Peer, 0, len(o.Seeds))
	for i, seed := range o.Seeds {
		if seed == o.Self.Peers {
			rank = i
		}
		seedPeers = append(seedPeers, convener.Peer{
			Name:    seed,
			Address: seed,
		})
	}
	if !o.Self.Strong {
		rank += half
	}
	return rank, seedPeers
}

// View returns the latest published state.
func (c *Coordinator) View() *View {
	return c.view.Load()
}

// Run is the control goroutine: it watches the store and handles messages until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	go c.accept(ctx)
	upkeep := c.options.Clock.After(0)
	var decide <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			c.handleMessage(ctx, m)
			c.handlePending(ctx)
		case <-upkeep:
			upkeep = c.options.Clock.After(upkeepInterval)
			c.safely("upkeep", func() { c.upkeep(ctx) })
		case <-decide:
		}
		c.safely("publish", c.publishIfDue)
		decide = nil
		c.safely("decide", func() { decide = c.decideNext() })
	}
}

// safely calls f and reports whether it returned. An unexpected error in one step must not end the process and with it all requests.
func (c *Coordinator) safely(step string, f func()) (returned bool) {
	defer func() {
		if p := recover(); p != nil {
			c.options.Log.Error().Str("step", step).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).
				Msg("coordinator: step ended by a panic")
			if c.options.OnPanic != nil {
				c.options.OnPanic()
			}
		}
	}()
	f()
	return true
}

// handleMessage handles a message. If that panics, the connection to the peer that sent it is closed, since what it believes and what
// this instance believes may differ.
func (c *Coordinator) handleMessage(ctx context.Context, m message) {
	if c.safely(fmt.Sprintf("%T", m), func() { c.handle(ctx, m) }) {
		return
	}
	if p, ok := m.(peerMessage); ok && p.link != nil {
		p.link.close()
	}
}

// publishIfDue publishes the view if it is outdated and the pause since the last time is over; otherwise a round of upkeep does it
// soon. A list of thousands of targets arrives one by one, and each view contains them all.
func (c *Coordinator) publishIfDue() {
	clock := c.options.Clock
	now := clock.Now()
	if !c.viewOutdated || now.Before(c.nextPublish) {
		return
	}
	c.viewOutdated = false
	c.publish()
	after := clock.Now()
	c.nextPublish = after.Add(max(publishInterval, decidePauseFactor*after.Sub(now)))
}

// decideNext makes a decision if the pause since the last one is over, and returns a timer for the next one; nil means at
// the next message.
func (c *Coordinator) decideNext() <-chan time.Time {
	clock := c.options.Clock
	now := clock.Now()
	if wait := c.nextDecision.Sub(now); wait > 0 {
		return clock.After(wait)
	}
	c.decide()
	after := clock.Now()
	c.nextDecision = after.Add(decidePauseFactor * after.Sub(now))
	if c.scheduler.Queued() == 0 && c.returner.Held() == 0 {
		return nil
	}
	return clock.After(max(decideInterval, c.nextDecision.Sub(after)))
}

// handlePending handles all queued messages, so that one decision covers them.
func (c *Coordinator) handlePending(ctx context.Context) {
	for {
		select {
		case m := <-c.messages:
			c.handleMessage(ctx, m)
		default:
			return
		}
	}
}

func (c *Coordinator) watch(ctx context.Context, kind storer.Kind) {
	var w *storer.Watcher
	w = storer.NewWatcher(c.options.Store, storer.WatcherSettings{
		Kind:    kind,
		Wait:    c.watchWait,
		Initial: maps.Clone(c.objects[kind]),
		OnEvent: func(e storer.Event) {
			c.send(ctx, storeChange{
				event: e,
			})
		},
		OnResult: func(err error) {
			c.send(ctx, watchResult{
				kind:    kind,
				err:     err,
				version: w.Read().Version,
			})
		},
	})
	go w.Run(ctx)
}

func (c *Coordinator) send(ctx context.Context, m message) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

func (c *Coordinator) handle(ctx context.Context, m message) {
	now := c.options.Clock.Now()
	switch m := m.(type) {
	case storeChange:
		c.handleStoreChange(now, m.event)
	case watchResult:
		c.handleWatchResult(now, m)
	case submitRequest:
		c.handleSubmit(now, m)
	case withdrawRequest:
		c.handleWithdraw(now, m.request)
	case requestStarted:
		c.handleStarted(now, m.request)
	case requestEnded:
		c.handleEnded(now, m)
	case peerMessage:
		c.handlePeerMessage(now, m)
	case linkClosed:
		c.handleLinkClosed(ctx, now, m.link)
	case pointerResult:
		c.handlePointerResult(ctx, now, m)
	case joinResult:
		c.handleJoinResult(ctx, now, m)
	case targetLeaves:
		c.handleTargetLeaves(m.run, nil)
	case engineCrashed:
		c.handleCrash(now, m.crash)
	case partsSound:
		c.handleSound(now, m.parts)
	case pickRequest:
		target, found := c.balancer.Pick(now, m.service, m.exclude)
		m.reply <- pickResult{
			target: target,
			found:  found,
		}
	case plainRequestEnded:
		c.balancer.Done(now, m.target, m.outcome)
	case leaveService:
		c.handleLeave()
	case dutyCallEnded:
		c.duties.calls--
		m.finish(now, m.err)
	case quitDuties:
		c.duties.quitting = true
		c.holdDuties(ctx, now)
	case dutyRecordResult:
		c.handleDutyRecord(m)
	case requestBegan:
		c.duties.tallier.Count(c.trueTime(), m.customer)
	}
}

// handleLeave marks this instance as leaving and informs the leader at once.
func (c *Coordinator) handleLeave() {
	c.leaving = true
	c.viewOutdated = true
	c.nextPublish = time.Time{}
	c.ping()
}

// handleSubmit forwards a request to the leader, or to the own scheduler if this instance isn't a follower.
func (c *Coordinator) handleSubmit(now time.Time, m submitRequest) {
	c.waiting[m.request.ID] = m
	if c.leader != nil {
		c.leader.notify(methodSubmit, encodeRequest(now, m.request))
		return
	}
	c.submit(now, m.request)
}

func (c *Coordinator) handleStarted(now time.Time, id namer.Request) {
	c.scheduler.Started(now, id)
	if p := c.placed[id]; p != nil {
		p.started = true
	}
	if c.leader != nil {
		c.leader.notify(methodStarted, progressMessage{
			Request: id,
		})
	}
}

func (c *Coordinator) handleEnded(now time.Time, m requestEnded) {
	c.scheduler.Ended(now, m.request, m.outcome, m.faulty)
	delete(c.placed, m.request)
	if c.leader != nil {
		c.leader.notify(methodEnded, progressMessage{
			Request: m.request,
			Outcome: m.outcome,
			Faulty:  m.faulty,
		})
	}
}

// handleWithdraw removes a request, whether it is still waiting or already placed.
func (c *Coordinator) handleWithdraw(now time.Time, id namer.Request) {
	delete(c.waiting, id)
	delete(c.placed, id)
	c.dropRequest(now, id)
	if c.leader != nil {
		c.leader.notify(methodWithdraw, progressMessage{
			Request: id,
		})
	}
}

// lostAfterFailures is the number of consecutive failed calls after which the store counts as lost. A single watch may be
// interrupted at any time, and a target that leaves at that moment must not be kept as one whose entry expired in an outage.
const lostAfterFailures = 2

// handleWatchResult records whether the store is available, per kind of object.
func (c *Coordinator) handleWatchResult(now time.Time, m watchResult) {
	c.failures[m.kind]++
	if m.err == nil {
		c.enterEra(now, m.version)
		c.failures[m.kind] = 0
		c.answeredKinds[m.kind] = true
		c.recordComplete(m.kind, m.version)
	}
	down := c.failures[m.kind] >= lostAfterFailures
	if m.err != nil && !down {
		return
	}
	if down == c.lostKinds[m.kind] {
		return
	}
	c.lostKinds[m.kind] = down
	c.updateOutage(now)
	if down {
		c.options.Log.Warn().Str("kind", string(m.kind)).Err(m.err).Msg("coordinator: store lost")
	} else {
		c.options.Log.Info().Str("kind", string(m.kind)).Msg("coordinator: store available again")
	}
}

// applyChange applies a change from the store and reports whether it was new.
func (c *Coordinator) applyChange(now time.Time, e storer.Event) bool {
	c.enterEra(now, e.Object.Version)
	prior := c.prior(e.Object)
	if !c.recordObject(e) {
		return false
	}
	if c.convener.Role() == convener.Leading {
		c.unsentChanges = append(c.unsentChanges, e)
	}
	if prior.repeats(e) {
		return true
	}
	put := e.Type == storer.EventPut
	switch e.Object.Kind {
	case c.options.Format.RulesKind:
		if e.Object.Name != c.options.Format.RulesName {
			break
		}
		if put {
			c.changeRules(e.Object)
		} else {
			c.retainRules()
		}
	case c.options.Format.TargetKind:
		id := namer.Target(e.Object.Name)
		inUse := c.catalogue.Target(id) != nil
		c.changeTarget(now, e.Object, put)
		if prior.reappears(e) && !inUse {
			c.catalogue.Doubt(now, id)
		}
	case c.options.Format.EvacuationKind:
		c.changeEvacuation(now, e.Object, put, prior.lapses(e))
	}
	c.viewOutdated = true
	return true
}

func (c *Coordinator) changeRules(o storer.Object) {
	rules, err := c.options.Format.DecodeRules(o.Value)
	if err != nil {
		c.options.Log.Error().Err(err).Int64("version", o.Number).Msg("coordinator: rules not readable, keeping the previous version")
		return
	}
	// Versions increase with each change; never return to an older one.
	if c.rules != nil && rules.Version < c.rules.Rules.Version {
		c.options.Log.Warn().Int64("version", rules.Version).Int64("in_force", c.rules.Rules.Version).
			Msg("coordinator: older rules ignored")
		c.retainRules()
		return
	}
	c.putRulesInForce(o, rules)
	c.rulesRetained = false
}

func (c *Coordinator) putRulesInForce(o storer.Object, rules matcher.Rules) {
	c.rules = matcher.New(rules)
	c.rulesObject = o
	c.options.Log.Info().Int64("version", rules.Version).Int("routes", len(rules.Routes)).
		Int("customers", len(rules.Customers)).Msg("coordinator: rules in force")
	c.logInvalidScaling()
}

// changeEvacuation starts or ends an evacuation; lapsed is set if it ends only since a restored store lacks it.
func (c *Coordinator) changeEvacuation(now time.Time, o storer.Object, out, lapsed bool) {
	centre := namer.DataCentre(o.Name)
	if lapsed {
		c.catalogue.LapseEvacuation(now, centre)
		c.shareAllRetained()
	} else {
		c.catalogue.Evacuate(centre, out)
	}
	c.options.Log.Info().Str("data_centre", o.Name).Bool("out", out).Bool("lapsed", lapsed).Int64("version", o.Number).
		Msg("coordinator: evacuation")
}

func (c *Coordinator) changeTarget(now time.Time, o storer.Object, put bool) {
	id := namer.Target(o.Name)
	if !put {
		c.catalogue.Remove(now, id)
		delete(c.firstListed, id)
		c.options.Log.Info().Str("target", o.Name).Int64("version", o.Number).Msg("coordinator: target removed")
		return
	}
	target, err := c.options.Format.DecodeTarget(o.Name, o.Value, now)
	if err != nil {
		c.options.Log.Warn().Err(err).Int64("version", o.Number).Msg("coordinator: target entry cannot be decoded")
		c.catalogue.Remove(now, id)
		return
	}
	if known := c.catalogue.Target(id); c.heard[o.Kind] && (known == nil || !known.Started.Equal(target.Started)) {
		// What a first list shows is no news: followers get it with their first objects.
		c.firstListed[id] = now
	}
	c.catalogue.Put(target)
	if c.applyingSnapshot {
		return
	}
	c.options.Log.Info().Str("target", o.Name).Str("address", target.Address).Str("service", string(target.Service)).
		Bool("leaving", target.Leaving).Int64("version", o.Number).Msg("coordinator: target listed")
}

func (c *Coordinator) upkeep(ctx context.Context) {
	now := c.options.Clock.Now()
	c.updateOutage(now)
	if c.catalogue.Tick(now) || c.hasUnannounced || !c.View().Informed && c.isInformed(now) {
		c.viewOutdated = true
	}
	c.perform(ctx, c.convener.Tick(now))
	c.isolate(now)
	c.reportSound(now)
	c.measureUsage(now)
	c.closeSilentFollowers(now)
	c.sendMembers(now)
	if c.leader != nil && c.report() != c.sentPing {
		c.ping()
	}
	c.followStore(ctx, now)
	c.reportToLeader()
	c.feedFollowers(now)
	c.tendDuties(ctx, now)
	c.logReturns(now)
	c.logLoad(now)
	if !c.previousMembersUntil.IsZero() && now.After(c.previousMembersUntil) {
		c.previousMembersUntil = time.Time{}
		c.viewOutdated = true
	}
}

// loadInterval is the interval at which a scheduler with work logs its load.
const loadInterval = time.Second

func (c *Coordinator) logLoad(now time.Time) {
	load := c.scheduler.Load(now)
	if now.Sub(c.loadLogged) < loadInterval || load.Running+load.Queued == 0 || c.leader != nil {
		return
	}
	c.loadLogged = now
	c.logOddRanks(load.OddRanks)
	for _, r := range load.Ranks {
		c.options.Log.Info().Str("service", string(r.Service)).Int("rank", r.Rank).Float64("requests", r.Requests).
			Float64("engines", r.Engines).Int("kept", r.Kept).Dur("target", r.Target).Msg("coordinator: rank")
	}
	c.options.Log.Info().Str("role", c.role.String()).Int("engines", load.Engines).Int("avoided", load.Avoided).
		Int("queued", load.Queued).Int("running", load.Running).Int("writing", load.Decoding).
		Int("slow", load.Slow).Int("idle", load.Idle).Int("free_slots", load.FreeSlots).Int("free_tokens", load.FreeTokens).
		Dur("longest_pass", load.LongestPass).
		Float64("pressure", load.Pressure).Float64("listed_cores", c.listedUsage()).Strs("short", dataCentreNames(load.Short)).
		Int("followers", len(c.followers)).Msg("coordinator: load")
}

// logOddRanks logs each service once whose ranks say nothing about who can wait.
func (c *Coordinator) logOddRanks(services []namer.Service) {
	for _, service := range services {
		if c.oddRanks[service] {
			continue
		}
		c.oddRanks[service] = true
		c.options.Log.Warn().Str("service", string(service)).
			Msg("coordinator: ranks are negative or too many; all requests count as equal: correct the priorities of the routes")
	}
}

func (c *Coordinator) decide() {
	now := c.options.Clock.Now()
	decisions := c.overdueHeld(now)
	if c.View().Informed {
		c.releaseReturns(now)
		decisions = c.scheduler.Decide(now)
	}
	for _, d := range decisions {
		id := requestOf(d)
		d = c.planReturn(now, d)
		if owner := c.owners[id]; owner != nil {
			c.sendDecision(owner, id, d)
			continue
		}
		if _, waits := c.waiting[id]; !waits {
			c.scheduler.Ended(now, id, scheduler.Cancelled, "")
			continue
		}
		c.reply(id, d)
	}
}

// sendDecision sends a decision to the follower that submitted the request.
func (c *Coordinator) sendDecision(owner *link, id namer.Request, d scheduler.Decision) {
	message := decisionMessage{
		Request: id,
	}
	switch d := d.(type) {
	case scheduler.Place:
		message.Place = &d.Placement
	case scheduler.Refuse:
		message.Refuse = &d
		delete(c.owners, id)
	}
	owner.notify(methodDecision, message)
}

func requestOf(d scheduler.Decision) namer.Request {
	switch d := d.(type) {
	case scheduler.Place:
		return d.Request
	case scheduler.Refuse:
		return d.Request
	default:
		return ""
	}
}

// Place submits a request and waits for the decision; if the context ends first, it withdraws the request and returns the
// context's error. After a Place decision, the caller must call Ended.
//
// Parts are the shared parts of the prompt; a request with an isolated one is refused.
func (c *Coordinator) Place(ctx context.Context, r scheduler.Request, parts []namer.Part) (scheduler.Decision, error) {
	reply := make(chan scheduler.Decision, 1)
	r.DataCentre = c.options.Self.DataCentre
	c.messages <- submitRequest{
		request: r,
		parts:   parts,
		reply:   reply,
	}
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
	}
	c.messages <- withdrawRequest{
		request: r.ID,
	}
	return nil, ctx.Err()
}

// Started reports the first event of a placed request.
func (c *Coordinator) Started(request namer.Request) {
	c.messages <- requestStarted{
		request: request,
	}
}

// Ended reports the end of a placed request; faulty names the engine that failed, if known.
func (c *Coordinator) Ended(request namer.Request, outcome scheduler.Outcome, faulty namer.Target) {
	c.messages <- requestEnded{
		request: request,
		outcome: outcome,
		faulty:  faulty,
	}
}

// Leaves reports that a run of a target has said in an answer that it leaves.
func (c *Coordinator) Leaves(run abstainer.Run) {
	c.messages <- targetLeaves{
		run: run,
	}
}

// Crashed reports a request whose answer an engine was about to begin, or had begun, when it crashed.
func (c *Coordinator) Crashed(crash isolator.Crash) {
	c.messages <- engineCrashed{
		crash: crash,
	}
}

// Sound reports that an engine has begun an answer to a prompt with the given parts, and hasn't crashed.
func (c *Coordinator) Sound(parts []namer.Part) {
	c.messages <- partsSound{
		parts: parts,
	}
}

// Pick chooses a target of a plain service and reports whether there is one; the caller must then call Done.
func (c *Coordinator) Pick(service namer.Service, exclude []namer.Target) (balancer.Target, bool) {
	reply := make(chan pickResult, 1)
	c.messages <- pickRequest{
		service: service,
		exclude: exclude,
		reply:   reply,
	}
	p := <-reply
	return p.target, p.found
}

// Done reports the end of a request at a plain service.
func (c *Coordinator) Done(target namer.Target, outcome balancer.Outcome) {
	c.messages <- plainRequestEnded{
		target:  target,
		outcome: outcome,
	}
}

// Leave removes this instance from the members that callers are told to use.
func (c *Coordinator) Leave() {
	c.messages <- leaveService{}
}
