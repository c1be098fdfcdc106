package coordinator

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const (
	// readers is the number of instances that watch the store, the leader included. They tell the leader what they read, and it
	// feeds the others, so that the calls do not grow with the deployment. The store may turn away half of the instances at a
	// time, silently: with three readers all of them were blind for 3 s while engines left (DRAIN).
	readers = 8
	// substituteStep is how many more instances ask in the readers' place in each round.
	substituteStep = 3
	// substituteInterval is how long those that ask in the readers' place have for an answer, which takes milliseconds or the
	// time of two failed calls.
	substituteInterval = time.Second
	// maxSubstitutes bounds them: the store may be down for all, and each call is priced.
	maxSubstitutes = 9
	// aloneTime is how long an instance that is not fed waits for a leader before it watches the store itself.
	aloneTime = 700 * time.Millisecond
	// feederWait is how long the watches of a leader wait that feeds others: it notices an outage before entries that lapsed in
	// it are reported as removed.
	feederWait = 600 * time.Millisecond
)

// followStore starts or stops the watches, according to this instance's role and place in line.
func (c *Coordinator) followStore(ctx context.Context, now time.Time) {
	following := c.convener.Role() == convener.Following
	substitute := c.leaderLostStore && (c.reads() || !c.covered && c.rank < readers+c.substitutes(now))
	if following && c.rank >= readers && c.fed && !substitute {
		if c.stopWatching != nil {
			c.stopWatching()
			c.stopWatching = nil
			clear(c.lost)
			clear(c.failures)
			clear(c.answered)
			c.options.Log.Info().Int("rank", c.rank).Msg("coordinator: fed by the leader")
		}
		c.aloneSince = now
		return
	}
	wait := c.options.WatchWait
	if c.convener.Role() == convener.Leading && c.large() {
		wait = min(wait, feederWait)
	}
	if c.stopWatching != nil && wait == c.watchWait || c.convener.Role() != convener.Leading && !c.due(now, following) {
		return
	}
	if c.stopWatching != nil {
		c.stopWatching()
	}
	c.watchWait = wait
	watching, stop := context.WithCancel(ctx)
	c.stopWatching = stop
	c.options.Log.Info().Int("rank", c.rank).Msg("coordinator: watching the store")
	for _, kind := range c.kinds() {
		c.watch(watching, kind)
	}
}

// large reports whether there are instances that do not watch the store.
func (c *Coordinator) large() bool {
	return max(len(c.followers)+1, len(c.members)) > readers
}

// takeLeaderStore notes whether the leader can ask the store; entries that lapse meanwhile may come back.
func (c *Coordinator) takeLeaderStore(now time.Time, lost bool) {
	if lost == c.leaderLostStore {
		return
	}
	c.leaderLostStore = lost
	c.leaderLostAt = now
	c.noteOutage(now)
	if c.stopWatching == nil {
		// It has taken up to a second and a half to notice; the store is asked at once.
		c.aloneSince = time.Time{}
	}
	c.options.Log.Info().Bool("lost", lost).Msg("coordinator: store of the leader")
}

// due reports whether an instance that does not lead should ask the store itself.
func (c *Coordinator) due(now time.Time, following bool) bool {
	if following && c.rank < readers && c.rank >= 0 {
		return true
	}
	return now.Sub(c.aloneSince) > aloneTime
}

// observe takes a change that this instance has read in the store, and keeps it for the leader.
func (c *Coordinator) observe(now time.Time, e storer.Event) {
	if c.change(now, e) && c.leader != nil {
		c.unreported = append(c.unreported, e)
	}
}

// tellLeader sends the leader what this instance has read.
func (c *Coordinator) tellLeader() {
	if len(c.unreported) == 0 {
		return
	}
	if c.leader != nil {
		if m := c.pack(c.unreported, false); m != nil {
			c.leader.notify(methodRead, m)
		}
	}
	c.unreported = nil
}

// reads reports whether this instance asks the store and is answered.
func (c *Coordinator) reads() bool {
	if c.stopWatching == nil {
		return false
	}
	for _, kind := range c.kinds() {
		if !c.answered[kind] || c.lost[kind] {
			return false
		}
	}
	return true
}

// storeReach says whether this leader and those that read for it reach the store. It goes over all followers, so it is worked
// out once in each round of upkeep and not for each ping: 330 instances send 1,300 pings a second.
func (c *Coordinator) storeReach() pongMessage {
	m := pongMessage{
		StoreLost: c.storeLost(),
	}
	for l := range c.followers {
		if l.reads && l.place < readers {
			m.StoreLost = false
		}
		if l.reads && l.place >= readers {
			m.Covered = true
		}
	}
	return m
}

// substitutes is how many of those that are fed ask the store themselves: the next in line each second, until one of them
// is answered.
func (c *Coordinator) substitutes(now time.Time) int {
	rounds := 1 + int(now.Sub(c.leaderLostAt)/substituteInterval)
	return min(rounds*substituteStep, maxSubstitutes)
}

// noteOutage tells the catalogue whether targets may lapse: they do while no instance reaches the store, and not while it
// turns this one away only.
func (c *Coordinator) noteOutage(now time.Time) {
	outage := c.storeLost()
	switch c.convener.Role() {
	case convener.Leading:
		c.reach = c.storeReach()
		outage = c.reach.StoreLost && !c.reach.Covered
	case convener.Following:
		outage = c.leaderLostStore && !c.covered && !c.reads()
	case convener.Searching:
	}
	c.catalogue.SetStore(now, !outage)
}

// storeLost reports whether any watch of this instance fails.
func (c *Coordinator) storeLost() bool {
	for _, kind := range c.kinds() {
		if c.lost[kind] {
			return true
		}
	}
	return false
}
