package coordinator

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const (
	// storeReaders is the number of instances that watch the store, including the leader. They report changes to the leader,
	// which forwards them to the others, so that the number of store calls doesn't grow with the deployment. The store may
	// silently reject half of the instances at a time: with three readers, all of them missed changes for 3 s while engines
	// left (DRAIN).
	storeReaders = 8
	// substituteStep is the number of substitutes that are added per round while the readers can't reach the store.
	substituteStep = 3
	// substituteInterval is the length of a round: within it, a substitute has reached the store, which takes milliseconds, or
	// has failed two calls.
	substituteInterval = time.Second
	// maxSubstitutes is the maximum number of substitutes: the store may be down for all instances, and each call has a
	// cost.
	maxSubstitutes = 9
	// watchDelay is how long an instance that receives no changes from a leader waits before it watches the store itself.
	watchDelay = 700 * time.Millisecond
	// weakWatchDelay replaces watchDelay for instances that aren't strong: hundreds may start at once, and a leader feeds them.
	weakWatchDelay = 2 * time.Second
	// feedingLeaderWait is the maximum long-poll time of a leader that forwards changes, so that it detects an outage before
	// entries that expired during the outage are reported as removed.
	feedingLeaderWait = 600 * time.Millisecond
)

// followStore starts or stops watching the store, depending on this instance's role and rank.
func (c *Coordinator) followStore(ctx context.Context, now time.Time) {
	following := c.convener.Role() == convener.Following
	substitute := c.leaderLostStore && (c.readsStore() || !c.covered && c.rank < storeReaders+c.substitutes(now))
	if following && c.rank >= storeReaders && c.hasSnapshot && !substitute {
		if c.stopWatching != nil {
			c.stopWatching()
			c.stopWatching = nil
			clear(c.lostKinds)
			clear(c.failures)
			clear(c.answeredKinds)
			c.options.Log.Info().Int("rank", c.rank).Msg("coordinator: receiving store changes from the leader")
		}
		c.unfedSince = now
		return
	}
	wait := c.options.WatchWait
	if c.convener.Role() == convener.Leading && c.hasFedFollowers() {
		wait = min(wait, feedingLeaderWait)
	}
	if c.stopWatching != nil && wait == c.watchWait || c.convener.Role() != convener.Leading && !c.shouldWatch(now, following) {
		return
	}
	if c.stopWatching != nil {
		c.stopWatching()
	}
	c.watchWait = wait
	watching, stop := context.WithCancel(ctx)
	c.stopWatching = stop
	c.options.Log.Info().Int("rank", c.rank).Msg("coordinator: watching the store")
	for _, kind := range c.watchedKinds() {
		c.watch(watching, kind)
	}
}

// hasFedFollowers reports whether the deployment has instances that don't watch the store.
func (c *Coordinator) hasFedFollowers() bool {
	return max(len(c.followers)+1, len(c.members), c.instances) > storeReaders
}

// handleLeaderStoreState records whether the leader or its readers reach the store. Targets whose entries expire during an outage
// are kept, since they may register again.
func (c *Coordinator) handleLeaderStoreState(now time.Time, lost bool) {
	if lost == c.leaderLostStore {
		return
	}
	c.leaderLostStore = lost
	c.leaderStoreChangedAt = now
	c.updateOutage(now)
	if c.stopWatching == nil {
		// Detection has already taken up to 1.5 s, so watch the store without further delay.
		c.unfedSince = time.Time{}
	}
	c.options.Log.Info().Bool("lost", lost).Msg("coordinator: leader's store connection changed")
}

// shouldWatch reports whether an instance that isn't the leader should watch the store.
func (c *Coordinator) shouldWatch(now time.Time, following bool) bool {
	if following && c.rank < storeReaders && c.rank >= 0 {
		return true
	}
	delay := watchDelay
	if !c.options.Self.Strong && !c.unfedSince.IsZero() {
		delay = weakWatchDelay
	}
	return now.Sub(c.unfedSince) > delay
}

// handleStoreChange applies a change that this instance has read from the store and queues it for the leader.
func (c *Coordinator) handleStoreChange(now time.Time, e storer.Event) {
	if c.applyChange(now, e) && c.leader != nil {
		c.unreported = append(c.unreported, e)
	}
}

// reportToLeader sends queued changes to the leader.
func (c *Coordinator) reportToLeader() {
	if len(c.unreported) == 0 {
		return
	}
	if c.leader != nil {
		if m := c.encodeObjects(c.unreported, false); m != nil {
			c.leader.notify(methodRead, m)
		}
	}
	c.unreported = nil
}

// readsStore reports whether this instance reads from the store successfully.
func (c *Coordinator) readsStore() bool {
	if c.stopWatching == nil {
		return false
	}
	for _, kind := range c.watchedKinds() {
		if !c.answeredKinds[kind] || c.lostKinds[kind] {
			return false
		}
	}
	return true
}

// aggregateStoreState returns whether this leader or any reader reaches the store, and whether a substitute
// does. It iterates over all followers, so it runs once per upkeep round and not per ping: 330 instances send 1,300 pings a
// second.
func (c *Coordinator) aggregateStoreState() pongMessage {
	m := pongMessage{
		StoreLost: c.storeLost(),
	}
	for l := range c.followers {
		if l.readsStore && l.rank < storeReaders {
			m.StoreLost = false
		}
		if l.readsStore && l.rank >= storeReaders {
			m.Covered = true
		}
	}
	return m
}

// substitutes returns the number of substitutes that may currently watch the store; it grows each round until one of them
// reaches the store.
func (c *Coordinator) substitutes(now time.Time) int {
	rounds := 1 + int(now.Sub(c.leaderStoreChangedAt)/substituteInterval)
	return min(rounds*substituteStep, maxSubstitutes)
}

// updateOutage tells the catalogue whether the store is available. Target entries may expire while no instance reaches the
// store, but not while the store rejects only this instance.
func (c *Coordinator) updateOutage(now time.Time) {
	outage := c.storeLost()
	switch c.convener.Role() {
	case convener.Leading:
		c.storeState = c.aggregateStoreState()
		outage = c.storeState.StoreLost && !c.storeState.Covered
	case convener.Following:
		outage = c.leaderLostStore && !c.covered && !c.readsStore()
	case convener.Searching:
	}
	c.catalogue.SetStoreAvailable(now, !outage)
}

// storeLost reports whether any watch of this instance has lost the store.
func (c *Coordinator) storeLost() bool {
	for _, kind := range c.watchedKinds() {
		if c.lostKinds[kind] {
			return true
		}
	}
	return false
}
