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
	// inboxSize is the number of messages that can queue up in a burst before senders block.
	inboxSize = 4096
	// controlWorkers limits the concurrent I/O calls started by the control goroutine.
	controlWorkers = 64
	// tickInterval is the period of the control loop; a late tick shows that the process was paused.
	tickInterval = 250 * time.Millisecond
	// peerTimeout limits a call to a peer: a connection that is open but dead must not hide the loss of the peer.
	peerTimeout = 800 * time.Millisecond
)

// Options holds the settings and dependencies of a controller.
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

	// The fields below are accessed only by the goroutine of Run.
	tracker    *tracker.Tracker
	elector    *elector.Elector
	follower   *roller.Follower
	reserver   *reserver.Reserver
	recorder   *recorder.Recorder
	orders     *reconciler.Reconciler
	sweeper    *deduplicator.Sweeper
	allocators map[namer.Target]*allocator.Allocator
	// lapsedTargets marks the targets in allocators over which this instance has lost its authority. Their allocators are
	// kept: if authority returns, a new allocator would not count the quotas that are still valid.
	lapsedTargets map[namer.Target]bool
	// pastBootIDs holds the boot ids of engine processes that have been replaced by a restart.
	pastBootIDs   map[string]bool
	targets       map[namer.Target]tracker.Target
	bootIDs       map[namer.Target]string
	bundle        roller.Bundle
	bundleInForce bool
	// number is the number of the last heartbeat, or of the last quotas that this instance granted to itself.
	number      int64
	member      memberState
	table       tableState
	schedule    schedule
	traffic     *traffic
	peerStates  peerStates
	cancelWatch context.CancelFunc
	// addressAnswers counts the answers to address requests; the tracker uses it to rotate the addresses.
	addressAnswers uint64
	pause          pause
	exiting        bool
	exited         bool
	accepting      bool
	// departuresRead is whether the departures have been read from the store at least once.
	departuresRead bool
}

// New returns a controller that works until the context is cancelled; Run starts it.
func New(ctx context.Context, o Options) (*Controller, error) {
	pool, err := ants.NewPool(controlWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	now := o.Clock.Now()
	c := &Controller{
		options:       o,
		inbox:         make(chan message, inboxSize),
		pool:          pool,
		done:          make(chan struct{}),
		ctx:           ctx,
		tracker:       tracker.New(trackerSettings(o), now),
		elector:       elector.New(electorOptions(o), now),
		follower:      roller.NewFollower(followerSettings(o), now),
		reserver:      reserver.New(),
		recorder:      recorder.New(recorderSettings(o), now),
		orders:        newReconciler(now),
		sweeper:       newSweeper(now),
		allocators:    map[namer.Target]*allocator.Allocator{},
		lapsedTargets: map[namer.Target]bool{},
		pastBootIDs:   map[string]bool{},
		targets:       map[namer.Target]tracker.Target{},
		bootIDs:       map[namer.Target]string{},
		accepting:     true,
		peerStates:    newPeerStates(),
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

// Run handles messages until the context passed to New is cancelled.
func (c *Controller) Run() {
	defer c.pool.Release()
	c.tick(c.options.Clock.Now())
	next := c.options.Clock.After(tickInterval)
	for {
		select {
		case m := <-c.inbox:
			now := c.options.Clock.Now()
			c.detectPause(now)
			c.handle(m, now)
		case <-next:
			next = c.options.Clock.After(tickInterval)
			now := c.options.Clock.Now()
			c.detectPause(now)
			c.tick(now)
		case <-c.ctx.Done():
			return
		}
	}
}

// post sends a message to the control goroutine; it returns false if the context is cancelled first.
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
	var zero A
	if !c.post(ctx, m) {
		return zero, ctx.Err()
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// startIO runs I/O in the worker pool and posts its result. If no worker is free, the call is skipped and counted.
func (c *Controller) startIO(timeout time.Duration, io func(ctx context.Context) message) {
	err := c.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		if m := io(ctx); m != nil {
			c.post(c.ctx, m)
		}
	})
	if err != nil {
		// The schedule repeats every kind of I/O, so a skipped call is only delayed.
		c.options.Metrics.SkippedIO.Inc()
	}
}

func (c *Controller) handle(m message, now time.Time) {
	if c.postpone(m) {
		return
	}
	switch m := m.(type) {
	case *admissionRequest, admissionCancelled, firstTokenReceived, startRequested, tokenIntervalMeasured, attemptReleased,
		requestRefused, callRequested, callEnded:
		c.handleTraffic(m, now)
	case heartbeatReceived, heartbeatAnswered, reserveReceived, reserveAnswered, releaseReceived, confirmReceived, confirmAnswered:
		c.handlePeer(m, now)
	case bundleRequested, departuresRequested, departuresFetched, bundleFetched, pointerRead, departuresRead:
		c.handleDistribution(m, now)
	case membersRead, targetsRead, tableRead, tableWritten, instancesRead, memberWritten, refusalsWritten:
		c.handleStore(m, now)
	case orderAnswered, callRecordsListed:
		c.handleOrder(m, now)
	case engineRequestsRead, engineLoadRead, cacheEventsRead, fenceAnswered:
		c.handleEngine(m, now)
	case addressesRequested:
		m.reply <- c.addresses(now)
	case readinessRequested:
		m.reply <- c.checkAccepting(now) == nil
	case leaveRequested:
		c.leave(now)
	}
}

// tick runs the timers of all components and starts the I/O that is due.
func (c *Controller) tick(now time.Time) {
	c.electorActions(c.elector.Handle(elector.Tick{}, now), now)
	c.reserverActions(c.reserver.Handle(reserver.Tick{}, now), now)
	for t, a := range c.allocators {
		c.allocatorActions(t, a.Handle(allocator.Tick{}, now), now)
	}
	c.recorderActions(c.recorder.Tick(now))
	c.trackerActions(c.tracker.Tick(now), now)
	c.followerActions(c.follower.Tick(now), now)
	c.tickOrders(now)
	c.refusePostponed(now)
	c.trafficTick(now)
	c.runSchedule(now)
	c.publish(now)
	c.trackerActions(c.tracker.SetPendingWork(c.pendingWork(), now), now)
}

// pendingWork counts what delays the exit of this instance: requests, owned targets that are not handed over yet and, while
// the store is reachable, unwritten refusal records.
func (c *Controller) pendingWork() int {
	pending := c.traffic.activeAttempts()
	if !c.table.handedOver {
		pending += len(c.ownedTargets())
	}
	if c.recorder.Pending() > 0 && c.storeAge(c.options.Clock.Now()) < c.options.Settings.Times.Isolation {
		pending++
	}
	return pending
}

func (c *Controller) addresses(now time.Time) AddressAnswer {
	c.addressAnswers++
	answer := AddressAnswer{
		ValidForMS: c.options.Settings.Times.AddressValidity.Milliseconds(),
	}
	for _, a := range c.tracker.Addresses(c.options.Settings.DataCentre, c.addressAnswers, now) {
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
	// Sent at once, because peers and callers learn of the planned stop from the next heartbeat.
	c.sendHeartbeats(now, true)
}

// storeAge returns the time since the store last answered; negative means never.
func (c *Controller) storeAge(now time.Time) time.Duration {
	lastResponse := c.options.Store.LastResponse()
	if lastResponse.IsZero() {
		return -1
	}
	return now.Sub(lastResponse)
}
