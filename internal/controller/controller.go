package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/deduplicator"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reconciler"
	"bergamothollow.example/bergamothollow/pkg/recorder"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const (
	// inboxSize holds the messages of a burst while one is handled.
	inboxSize = 4096
	// controlWorkers bounds the I/O that the control goroutine has under way.
	controlWorkers = 64
	// tickInterval is the elector's tick; a pause shows as a late one.
	tickInterval = 250 * time.Millisecond
	// peerTimeout bounds a message to a peer: a connection that is open but dead must not hide a lost peer.
	peerTimeout = 800 * time.Millisecond
)

// Options are what a controller is built from.
type Options struct {
	Settings configurer.Settings
	Self     namer.Holder
	Store    *storer.Client
	Peers    *messenger.Client
	Engines  *streamer.Client
	Clock    timer.Clock
	Random   *rand.Rand
	Log      *log.Logger
	Metrics  *Metrics
}

// Controller owns the control state of one instance.
type Controller struct {
	options Options
	inbox   chan message
	pool    *ants.Pool
	done    chan struct{}
	ctx     context.Context

	// What follows belongs to the goroutine of Run.
	tracker  *tracker.Tracker
	elector  *elector.Elector
	follower *roller.Follower
	reserver *reserver.Reserver
	recorder *recorder.Recorder
	orders   *reconciler.Reconciler
	sweeper  *deduplicator.Sweeper
	owned    map[namer.Target]*allocator.Allocator
	// lapsed marks the targets over which this instance has no authority now. Their allocators are kept: should authority
	// return, a new one would not count the quotas that are still valid.
	lapsed    map[namer.Target]bool
	pastBoots map[string]bool
	targets   map[namer.Target]tracker.Target
	boots     map[namer.Target]string
	bundle    roller.Bundle
	bundled   bool
	number    int64
	member    memberState
	table     tableState
	schedule  schedule
	traffic   *traffic
	exchanges exchanges
	watch     context.CancelFunc
	answers   uint64
	exiting   bool
	exited    bool
	accepting bool
	// departureRead is whether the store has answered what is out of service.
	departureRead bool
}

// New returns a controller that works until the context ends; Run starts it.
func New(ctx context.Context, o Options) (*Controller, error) {
	pool, err := ants.NewPool(controlWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	now := o.Clock.Now()
	c := &Controller{
		options:   o,
		inbox:     make(chan message, inboxSize),
		pool:      pool,
		done:      make(chan struct{}),
		ctx:       ctx,
		tracker:   tracker.New(trackerSettings(o), now),
		elector:   elector.New(electorOptions(o), now),
		follower:  roller.NewFollower(followerSettings(o), now),
		reserver:  reserver.New(),
		recorder:  recorder.New(recorderSettings(o), now),
		orders:    newReconciler(now),
		sweeper:   newSweeper(now),
		owned:     map[namer.Target]*allocator.Allocator{},
		lapsed:    map[namer.Target]bool{},
		pastBoots: map[string]bool{},
		targets:   map[namer.Target]tracker.Target{},
		boots:     map[namer.Target]string{},
		accepting: true,
		exchanges: newExchanges(),
	}
	c.traffic = newTraffic(c)
	return c, nil
}

func trackerSettings(o Options) tracker.Settings {
	s := tracker.DefaultSettings(o.Self)
	s.Cell = o.Settings.Cell
	s.DataCentre = o.Settings.DataCentre
	s.CallerAddress = o.Settings.Advertise.Callers
	s.PeerAddress = o.Settings.Advertise.Peers
	s.Nearest = nearest(o.Settings)
	s.RecordInterval = o.Settings.Times.MemberRenewal
	s.IsolatedAfter = o.Settings.Times.Isolation
	s.AddressValidity = o.Settings.Times.AddressValidity
	s.AcceptWhileLeaving = o.Settings.Times.AddressValidity + o.Settings.Times.LeavingMargin
	return s
}

func electorOptions(o Options) elector.Options {
	s := elector.DefaultOptions(o.Self)
	s.TickEvery = tickInterval
	s.IsolatedAfter = o.Settings.Times.Isolation
	return s
}

func followerSettings(o Options) roller.Settings {
	return roller.DefaultSettings(o.Self.Instance, o.Settings.Approvers)
}

func recorderSettings(o Options) recorder.Settings {
	s := recorder.DefaultSettings(o.Self)
	s.FlushInterval = o.Settings.Times.RefusalFlush
	return s
}

// Done is closed when a planned stop has ended.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// Run handles messages until the context of New ends.
func (c *Controller) Run() {
	defer c.pool.Release()
	c.tick(c.options.Clock.Now())
	next := c.options.Clock.After(tickInterval)
	for {
		select {
		case m := <-c.inbox:
			c.handle(m, c.options.Clock.Now())
		case <-next:
			next = c.options.Clock.After(tickInterval)
			c.tick(c.options.Clock.Now())
		case <-c.ctx.Done():
			return
		}
	}
}

// post sends a message to the control goroutine unless it has ended.
func (c *Controller) post(ctx context.Context, m message) bool {
	select {
	case c.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends a message and waits for its reply.
func ask[A any](ctx context.Context, c *Controller, reply <-chan A, m message) (A, error) {
	var none A
	if !c.post(ctx, m) {
		return none, ctx.Err()
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// start runs I/O in the pool and posts its result; without a free worker the result is that of a failed call.
func (c *Controller) start(timeout time.Duration, io func(ctx context.Context) message) {
	err := c.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		if m := io(ctx); m != nil {
			c.post(c.ctx, m)
		}
	})
	if err != nil {
		// The schedule repeats every kind of I/O, so that a skipped one is only late.
		c.options.Metrics.SkippedIO.Inc()
	}
}

func (c *Controller) handle(m message, now time.Time) {
	switch m := m.(type) {
	case *admit, abandoned, firstToken, startWanted, interval, released, refused, callWanted, callEnded:
		c.handleTraffic(m, now)
	case beatHeard, beatAnswered, reserveHeard, reserveAnswered, releaseHeard, confirmHeard, confirmAnswered:
		c.handlePeer(m, now)
	case bundleWanted, departureWanted, departureFetched, bundleFetched, pointerRead, departureRead:
		c.handleDistribution(m, now)
	case membersRead, targetsRead, tableRead, tableWritten, instancesRead, memberWritten, batchWritten:
		c.handleStore(m, now)
	case orderAnswered, callsListed:
		c.handleOrder(m, now)
	case engineListed, engineLoaded, cacheRead, fenceAnswered:
		c.handleEngine(m, now)
	case addressesWanted:
		m.reply <- c.addresses(now)
	case readyWanted:
		m.reply <- c.closedToNewWork(now) == nil
	case leaveWanted:
		c.leave(now)
	}
}

// tick lets time pass for every part, and starts the I/O that has become due.
func (c *Controller) tick(now time.Time) {
	c.electorActions(c.elector.Handle(elector.Tick{}, now), now)
	c.reserverActions(c.reserver.Handle(reserver.Tick{}, now), now)
	for t, a := range c.owned {
		c.allocatorActions(t, a.Handle(allocator.Tick{}, now), now)
	}
	c.recorderActions(c.recorder.Tick(now))
	c.trackerActions(c.tracker.Tick(now), now)
	c.followerActions(c.follower.Tick(now), now)
	c.tickOrders(now)
	c.trafficTick(now)
	c.runSchedule(now)
	c.publish(now)
	c.trackerActions(c.tracker.SetRunning(c.duties(), now), now)
}

// duties counts what keeps this instance from exiting: requests, owned targets and unwritten refusal records.
func (c *Controller) duties() int {
	duties := c.traffic.running()
	if !c.table.handedOver {
		duties += len(c.holding())
	}
	if c.recorder.Pending() > 0 && c.storeAge(c.options.Clock.Now()) < c.options.Settings.Times.Isolation {
		duties++
	}
	return duties
}

func (c *Controller) addresses(now time.Time) AddressAnswer {
	c.answers++
	answer := AddressAnswer{
		ValidForMS: c.options.Settings.Times.AddressValidity.Milliseconds(),
	}
	for _, a := range c.tracker.Addresses(c.options.Settings.DataCentre, c.answers, now) {
		answer.Addresses = append(answer.Addresses, Address{
			Instance:   a.Instance,
			Address:    a.Address,
			DataCentre: a.DataCentre,
		})
	}
	return answer
}

func (c *Controller) leave(now time.Time) {
	c.options.Log.Info().Msg("controller: leaving")
	c.trackerActions(c.tracker.Leave(now), now)
	c.electorActions(c.elector.Handle(elector.Leave{}, now), now)
	c.recorderActions(c.recorder.Close(now))
	// Peers and callers learn of the departure with the next heartbeat, so it is sent now.
	c.sendHeartbeats(now, true)
}

// storeAge is the time since the store last answered.
func (c *Controller) storeAge(now time.Time) time.Duration {
	answered := c.options.Store.Answered()
	if answered.IsZero() {
		return -1
	}
	return now.Sub(answered)
}
