package controller

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/pkg/storer"
)

const (
	membersInterval   = 3 * time.Second
	targetsInterval   = 5 * time.Second
	tableInterval     = 3 * time.Second
	instancesInterval = 5 * time.Second
	loadInterval      = time.Second
	cacheInterval     = time.Second
	// departureInterval is how often an instance reads the departures again if there were none. Changes reach it sooner
	// from the instances of its cell that watch the store.
	departureInterval = 30 * time.Second
	// initialTargetsInterval is the interval between reads of the targets until some are known.
	initialTargetsInterval = 500 * time.Millisecond
)

// schedule holds the time at which each kind of I/O is next due.
type schedule struct {
	heartbeats time.Time
	members    time.Time
	targets    time.Time
	table      time.Time
	instances  time.Time
	reconcile  time.Time
	load       time.Time
	cache      time.Time
	departure  time.Time
}

// due reports whether the time has been reached and, if so, advances it by the interval.
func due(at *time.Time, now time.Time, interval time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(interval)
	return true
}

func (c *Controller) runSchedule(now time.Time) {
	s := &c.schedule
	times := c.options.Settings.Times
	if due(&s.heartbeats, now, times.Heartbeat) {
		c.grantOwnQuotas(now)
		c.sendHeartbeats(now, false)
	}
	if due(&s.members, now, membersInterval) {
		c.readMembers(now)
	}
	if due(&s.targets, now, c.targetsInterval()) {
		c.readTargets()
	}
	if due(&s.table, now, tableInterval) {
		c.readTable(now)
	}
	if due(&s.instances, now, instancesInterval) {
		c.readInstances(now)
	}
	if version, _ := c.tracker.Departures(); version == 0 && due(&s.departure, now, c.departureInterval()) {
		c.readDeparture(now)
	}
	if due(&s.reconcile, now, times.Reconcile) {
		c.readEngineRequests(now)
	}
	if due(&s.load, now, loadInterval) {
		c.readLoads()
	}
	if due(&s.cache, now, cacheInterval) {
		c.readCaches()
	}
}

func (c *Controller) targetsInterval() time.Duration {
	if len(c.targets) == 0 {
		return initialTargetsInterval
	}
	return targetsInterval
}

func (c *Controller) departureInterval() time.Duration {
	if c.departuresRead {
		return departureInterval
	}
	return membersInterval
}

func (c *Controller) storeTimeout() time.Duration {
	return c.options.Settings.Platform.Timeout
}

func (c *Controller) readMembers(now time.Time) {
	prefix := string(c.options.Settings.Cell) + "."
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		listing, err := c.options.Store.ListAll(ctx, storer.PriorityControl, storer.KindMember, prefix)
		return membersRead{
			requested: now,
			objects:   listing.Items,
			err:       err,
		}
	})
}

func (c *Controller) readTargets() {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		listing, err := c.options.Store.ListAll(ctx, storer.PriorityControl, storer.KindTarget, "")
		return targetsRead{
			objects: listing.Items,
			err:     err,
		}
	})
}

func (c *Controller) readInstances(now time.Time) {
	c.startIO(c.storeTimeout(), func(ctx context.Context) message {
		instances, err := c.options.Store.Instances(ctx)
		return instancesRead{
			requested: now,
			instances: instances,
			err:       err,
		}
	})
}
