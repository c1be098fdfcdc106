package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Format says how the objects of the store are named and read.
type Format struct {
	Rules       storer.Kind
	RulesName   string
	Targets     storer.Kind
	Evacuations storer.Kind
	// Leaders holds the object that names the leading instance.
	Leaders storer.Kind

	DecodeRules  func(value json.RawMessage) (matcher.Rules, error)
	DecodeTarget func(name string, value json.RawMessage, now time.Time) (cataloguer.Target, error)
}

// Options are what a coordinator is built from.
type Options struct {
	Self Member
	// Peers is where other instances connect.
	Peers net.Listener
	// Seeds are peer addresses to ask while the store is away.
	Seeds     []string
	Traffic   *messenger.Traffic
	Store     *storer.Client
	Format    Format
	Clock     timer.Clock
	Log       *log.Logger
	WatchWait time.Duration
	Catalogue cataloguer.Settings
	Scheduler scheduler.Settings
	Balancer  balancer.Settings
	Convener  convener.Settings
}

// View is what traffic goroutines read; it does not change.
type View struct {
	// Rules is nil until the first version is known.
	Rules     *matcher.Matcher
	Catalogue *cataloguer.Catalogue
	// Members are the instances that callers may use.
	Members []Member
	// Instances is the number of instances known to have served, also while this one reaches none of them.
	Instances int
	Leaving   bool
}

// Coordinator runs the control goroutine.
type Coordinator struct {
	options  Options
	messages chan message
	view     atomic.Pointer[View]

	rules     *matcher.Matcher
	catalogue *cataloguer.Cataloguer
	scheduler *scheduler.Scheduler
	balancer  *balancer.Balancer
	convener  *convener.Convener
	role      convener.Role
	// waiting and placed are the requests of this instance; owners names the followers whose requests a leader has.
	waiting map[namer.Request]submitted
	placed  map[namer.Request]*placed
	owners  map[namer.Request]*link
	// leader is nil unless this instance follows.
	leader     *link
	leaderName string
	followers  map[*link]struct{}
	// early are messages of peers that this instance neither follows nor leads yet.
	early map[*link][]inbound
	// members is what the leader has said last; told is what this instance has said as a leader.
	members []Member
	told    membersMessage
	// lostLeader is the leader that could not be reached last: it is no longer named to callers.
	lostLeader   string
	inheritUntil time.Time
	loadLogged   time.Time
	// restUntil is when the next decision may be made.
	restUntil time.Time
	// rank is this instance's place in the leader's line, -1 if it is not known.
	rank int
	// objects are the store's, as far as this instance knows them.
	objects map[storer.Kind]map[string]storer.Object
	// removed holds the versions at which objects were removed.
	removed map[objectKey]int64
	// unreported are changes that this instance has read and has yet to tell the leader.
	unreported []storer.Event
	// listed is when targets first appeared; unannounced is set while some are too new to be used by all.
	listed      map[namer.Target]time.Time
	unannounced bool
	// unfed are changes that a leader has yet to send on, fedAt is when it last did.
	unfed []storer.Event
	fedAt time.Time
	// whole describes all objects to a follower; it is nil if they have changed since.
	whole json.RawMessage
	// toldAt is when the members were last sent; untold is set if they may have changed since.
	toldAt time.Time
	untold bool
	// reach is what a leader answers to pings, as of the last round of upkeep.
	reach pongMessage
	// fed is set once the leader has described the store; leaderLostStore while the leader cannot ask it.
	fed             bool
	leaderLostStore bool
	// leaderLostAt is when that last changed; covered is set while another follower reads in its place.
	leaderLostAt time.Time
	covered      bool
	// stopWatching is nil while the store is not watched; watchWait is how long one watch waits.
	stopWatching context.CancelFunc
	watchWait    time.Duration
	// aloneSince is when the leader was lost; it is zero at the start, so that the store is asked at once.
	aloneSince time.Time
	lost       map[storer.Kind]bool
	// answered holds the kinds for which the store has answered since it is watched.
	answered map[storer.Kind]bool
	// failures counts the calls in a row that failed, by the kind of object.
	failures map[storer.Kind]int
	leaving  bool
	stale    bool
}

// messageBuffer lets traffic hand over messages without waiting for the control goroutine.
const messageBuffer = 1024

// New returns a coordinator; Run starts it.
func New(o Options) *Coordinator {
	c := &Coordinator{
		options:   o,
		messages:  make(chan message, messageBuffer),
		catalogue: cataloguer.New(o.Catalogue),
		scheduler: scheduler.New(o.Scheduler),
		balancer:  balancer.New(o.Balancer, o.Self.DataCentre),
		waiting:   map[namer.Request]submitted{},
		placed:    map[namer.Request]*placed{},
		owners:    map[namer.Request]*link{},
		followers: map[*link]struct{}{},
		early:     map[*link][]inbound{},
		objects:   map[storer.Kind]map[string]storer.Object{},
		removed:   map[objectKey]int64{},
		listed:    map[namer.Target]time.Time{},
		rank:      -1,
		lost:      map[storer.Kind]bool{},
		failures:  map[storer.Kind]int{},
		answered:  map[storer.Kind]bool{},
	}
	rank, line := turn(o)
	c.convener = convener.New(o.Convener, c.self(), rank, line)
	c.publish()
	return c
}

// turn returns this instance's rank when nobody leads, and the seeds as peers. Strong seeds come first, then other strong
// instances, then the weak ones.
func turn(o Options) (int, []convener.Peer) {
	half := o.Convener.MaxRank / 2
	rank := len(o.Seeds) + rand.IntN(half-len(o.Seeds)%half)
	line := make([]convener.Peer, 0, len(o.Seeds))
	for i, seed := range o.Seeds {
		if seed == o.Self.Peers {
			rank = i
		}
		line = append(line, convener.Peer{
			Name:    seed,
			Address: seed,
		})
	}
	if !o.Self.Strong {
		rank += half
	}
	return rank, line
}

// View returns the present state.
func (c *Coordinator) View() *View {
	return c.view.Load()
}

// Run follows the store and serves messages until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	go c.accept(ctx)
	upkeep := c.options.Clock.After(upkeepInterval)
	var decide <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages:
			c.handle(ctx, m)
			c.drain(ctx)
		case <-upkeep:
			upkeep = c.options.Clock.After(upkeepInterval)
			c.upkeep(ctx)
		case <-decide:
		}
		if c.stale {
			c.stale = false
			c.publish()
		}
		decide = c.decideNext()
	}
}

// decideNext decides if enough time has passed since the last decision, and returns when to do so again; nil means at the
// next message.
func (c *Coordinator) decideNext() <-chan time.Time {
	clock := c.options.Clock
	now := clock.Now()
	if wait := c.restUntil.Sub(now); wait > 0 {
		return clock.After(wait)
	}
	c.decide()
	after := clock.Now()
	c.restUntil = after.Add(decideShare * after.Sub(now))
	if c.scheduler.Queued() == 0 {
		return nil
	}
	return clock.After(max(decideInterval, c.restUntil.Sub(after)))
}

// drain handles the messages that have gathered, so that one decision covers them.
func (c *Coordinator) drain(ctx context.Context) {
	for {
		select {
		case m := <-c.messages:
			c.handle(ctx, m)
		default:
			return
		}
	}
}

func (c *Coordinator) watch(ctx context.Context, kind storer.Kind) {
	w := storer.NewWatcher(c.options.Store, storer.WatcherSettings{
		Kind:  kind,
		Wait:  c.watchWait,
		Known: maps.Clone(c.objects[kind]),
		Deliver: func(e storer.Event) {
			c.send(ctx, changed{
				event: e,
			})
		},
		Report: func(err error) {
			c.send(ctx, reported{
				kind: kind,
				err:  err,
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
	case changed:
		c.observe(now, m.event)
	case reported:
		c.report(now, m)
	case submitted:
		c.submit(now, m)
	case withdrawn:
		c.withdraw(now, m.request)
	case started:
		c.start(now, m.request)
	case ended:
		c.end(now, m)
	case inbound:
		c.takeInbound(now, m)
	case unlinked:
		c.takeUnlinked(ctx, now, m.link)
	case pointed:
		c.takePointed(ctx, now, m)
	case joined:
		c.takeJoined(ctx, now, m)
	case picked:
		target, found := c.balancer.Pick(now, m.service, m.exclude)
		m.reply <- pick{
			target: target,
			found:  found,
		}
	case done:
		c.balancer.Done(now, m.target, m.outcome)
	case leave:
		c.leave()
	}
}

// leave says at once that callers may no longer use this instance.
func (c *Coordinator) leave() {
	c.leaving = true
	c.stale = true
	if c.leader != nil {
		c.leader.notify(methodPing, pingMessage{})
	}
}

// submit has a request placed by the leader, or by this instance while it follows nobody.
func (c *Coordinator) submit(now time.Time, m submitted) {
	c.waiting[m.request.ID] = m
	if c.leader != nil {
		c.leader.notify(methodSubmit, encodeRequest(now, m.request))
		return
	}
	c.scheduler.Submit(m.request)
}

func (c *Coordinator) start(now time.Time, id namer.Request) {
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

func (c *Coordinator) end(now time.Time, m ended) {
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

// withdraw drops a request, whether it still waits or was placed meanwhile.
func (c *Coordinator) withdraw(now time.Time, id namer.Request) {
	delete(c.waiting, id)
	delete(c.placed, id)
	c.withdrawPlaced(now, id)
	if c.leader != nil {
		c.leader.notify(methodWithdraw, progressMessage{
			Request: id,
		})
	}
}

// lostAfter is how many calls in a row fail before the store counts as lost: a waiting watch may be cut off at any time, and
// targets that leave just then have not lapsed in an outage.
const lostAfter = 2

// report records whether the store answers, for each watcher.
func (c *Coordinator) report(now time.Time, m reported) {
	c.failures[m.kind]++
	if m.err == nil {
		c.failures[m.kind] = 0
		c.answered[m.kind] = true
	}
	down := c.failures[m.kind] >= lostAfter
	if m.err != nil && !down {
		return
	}
	if down == c.lost[m.kind] {
		return
	}
	c.lost[m.kind] = down
	c.noteOutage(now)
	if down {
		c.options.Log.Warn().Str("kind", string(m.kind)).Err(m.err).Msg("coordinator: store lost")
	} else {
		c.options.Log.Info().Str("kind", string(m.kind)).Msg("coordinator: store regained")
	}
}

// change applies a change of the store and reports whether it was new.
func (c *Coordinator) change(now time.Time, e storer.Event) bool {
	if !c.remember(e) {
		return false
	}
	if c.convener.Role() == convener.Leading {
		c.unfed = append(c.unfed, e)
	}
	put := e.Type == storer.EventPut
	switch e.Object.Kind {
	case c.options.Format.Rules:
		if put && e.Object.Name == c.options.Format.RulesName {
			c.changeRules(e.Object)
		}
	case c.options.Format.Targets:
		c.changeTarget(now, e.Object, put)
	case c.options.Format.Evacuations:
		c.catalogue.Evacuate(namer.DataCentre(e.Object.Name), put)
		c.options.Log.Info().Str("data_centre", e.Object.Name).Bool("out", put).Int64("version", e.Object.Version).
			Msg("coordinator: evacuation")
	}
	c.stale = true
	return true
}

func (c *Coordinator) changeRules(o storer.Object) {
	rules, err := c.options.Format.DecodeRules(o.Value)
	if err != nil {
		c.options.Log.Error().Err(err).Int64("version", o.Version).Msg("coordinator: rules not readable, the older ones stay")
		return
	}
	// Versions grow with each change; an older one must never return.
	if c.rules != nil && rules.Version < c.rules.Rules.Version {
		c.options.Log.Warn().Int64("version", rules.Version).Int64("in_force", c.rules.Rules.Version).
			Msg("coordinator: older rules ignored")
		return
	}
	c.rules = matcher.New(rules)
	c.options.Log.Info().Int64("version", rules.Version).Int("routes", len(rules.Routes)).
		Int("customers", len(rules.Customers)).Msg("coordinator: rules in force")
}

func (c *Coordinator) changeTarget(now time.Time, o storer.Object, put bool) {
	id := namer.Target(o.Name)
	if !put {
		c.catalogue.Remove(now, id)
		delete(c.listed, id)
		c.options.Log.Info().Str("target", o.Name).Int64("version", o.Version).Msg("coordinator: target removed")
		return
	}
	target, err := c.options.Format.DecodeTarget(o.Name, o.Value, now)
	if err != nil {
		c.options.Log.Warn().Err(err).Int64("version", o.Version).Msg("coordinator: entry names no target")
		c.catalogue.Remove(now, id)
		return
	}
	if known := c.catalogue.Target(id); known == nil || !known.Started.Equal(target.Started) {
		c.listed[id] = now
	}
	c.catalogue.Put(target)
	c.options.Log.Info().Str("target", o.Name).Str("address", target.Address).Str("service", string(target.Service)).
		Bool("leaving", target.Leaving).Int64("version", o.Version).Msg("coordinator: target listed")
}

func (c *Coordinator) upkeep(ctx context.Context) {
	now := c.options.Clock.Now()
	c.noteOutage(now)
	if c.catalogue.Tick(now) || c.unannounced {
		c.stale = true
	}
	c.act(ctx, c.convener.Tick(now))
	c.findSilent(now)
	c.tellMembers(now)
	c.followStore(ctx, now)
	c.tellLeader()
	c.feed(now)
	c.logLoad(now)
	if !c.inheritUntil.IsZero() && now.After(c.inheritUntil) {
		c.inheritUntil = time.Time{}
		c.stale = true
	}
}

// loadInterval is how often a busy scheduler logs its load.
const loadInterval = time.Second

func (c *Coordinator) logLoad(now time.Time) {
	load := c.scheduler.Load(now)
	if now.Sub(c.loadLogged) < loadInterval || load.Running+load.Queued == 0 || c.leader != nil {
		return
	}
	c.loadLogged = now
	c.options.Log.Info().Str("role", c.role.String()).Int("engines", load.Engines).Int("avoided", load.Avoided).
		Int("queued", load.Queued).Int("running", load.Running).Int("writing", load.Writing).
		Int("free_slots", load.FreeSlots).Int("free_tokens", load.FreeTokens).Dur("longest_pass", load.LongestPass).
		Float64("pressure", load.Pressure).
		Int("followers", len(c.followers)).Msg("coordinator: load")
}

func (c *Coordinator) decide() {
	now := c.options.Clock.Now()
	for _, d := range c.scheduler.Decide(now) {
		id := requestOf(d)
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

// sendDecision answers a follower.
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

// Place waits for the decision on a request; if the context ends first, the request is withdrawn. After a Place decision,
// Ended must follow.
func (c *Coordinator) Place(ctx context.Context, r scheduler.Request) (scheduler.Decision, error) {
	reply := make(chan scheduler.Decision, 1)
	c.messages <- submitted{
		request: r,
		reply:   reply,
	}
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
	}
	c.messages <- withdrawn{
		request: r.ID,
	}
	return nil, ctx.Err()
}

// Started reports the first event of a placed request.
func (c *Coordinator) Started(request namer.Request) {
	c.messages <- started{
		request: request,
	}
}

// Ended reports the end of a placed request; faulty names the engine that failed, if known.
func (c *Coordinator) Ended(request namer.Request, outcome scheduler.Outcome, faulty namer.Target) {
	c.messages <- ended{
		request: request,
		outcome: outcome,
		faulty:  faulty,
	}
}

// Pick chooses a target of a plain service; Done must follow.
func (c *Coordinator) Pick(service namer.Service, exclude []namer.Target) (balancer.Target, bool) {
	reply := make(chan pick, 1)
	c.messages <- picked{
		service: service,
		exclude: exclude,
		reply:   reply,
	}
	p := <-reply
	return p.target, p.found
}

// Done reports the end of a request at a plain service.
func (c *Coordinator) Done(target namer.Target, outcome balancer.Outcome) {
	c.messages <- done{
		target:  target,
		outcome: outcome,
	}
}

// Leave takes this instance out of the answers that callers get.
func (c *Coordinator) Leave() {
	c.messages <- leave{}
}
