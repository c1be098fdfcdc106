package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/returner"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

const (
	// recoveryPeriod is how long after its start an instance paces what returns: callers of streams that broke return within seconds.
	recoveryPeriod = 10 * time.Second
	// heldReturnShare is the share of the time without a loss for which a returned request is held.
	heldReturnShare = 0.5
	// waitedLong is the time from which a returned request counts as held: the way to the leader takes less.
	waitedLong = 50 * time.Millisecond
	// honouredShare is the share of the time left up to which callers honour a retry delay.
	honouredShare = 1.0 / 3
)

// ReturnCounts count what became of requests that return.
type ReturnCounts struct {
	// Planned counts the refusals whose retry delay was planned, Come the requests that came back during a recovery, and Waited those of
	// them that were held.
	Planned int
	Come    int
	Waited  int
}

// Returns returns the counts of returning requests.
func (c *Coordinator) Returns() ReturnCounts {
	if counts := c.sharedReturns.Load(); counts != nil {
		return *counts
	}
	return ReturnCounts{}
}

// returns reports whether a request comes back while this instance recovers: many come at the same moment, most of them too late to have
// their full value, and new requests would be late because of them.
func (c *Coordinator) returns(now time.Time, r scheduler.Request) bool {
	return r.Resubmitted && !r.Retried && now.Sub(c.began) < recoveryPeriod
}

// holdReturn holds a returned request until the engines have room for it.
func (c *Coordinator) holdReturn(r scheduler.Request) {
	c.returnCounts.Come++
	c.returned[r.ID] = r
	c.returner.Add(returner.Return{
		ID:       r.ID,
		Priority: r.Priority,
		Work:     c.work(r),
		Arrived:  r.Arrived,
		Latest:   r.Arrived.Add(time.Duration(heldReturnShare * float64(holdable(r)))),
	})
}

// holdable returns the time after which a returned request would lose by waiting: until its target latency is over, or, if it is late
// already, until its caller leaves.
func holdable(r scheduler.Request) time.Duration {
	if left := r.TargetLatency - r.Age; left > 0 {
		return left
	}
	left := r.Deadline.Sub(r.Arrived)
	if r.Patience > 0 {
		left = min(left, r.Patience)
	}
	return left
}

// releaseReturns gives the scheduler the returned requests for which the engines have room.
func (c *Coordinator) releaseReturns(now time.Time) {
	if c.returner.Held() == 0 {
		return
	}
	for _, id := range c.returner.Release(now, c.engines) {
		r := c.returned[id]
		delete(c.returned, id)
		// It has waited here for what the limit of the queue time is for.
		r.Retried = true
		c.submitted[id] = r
		c.scheduler.Submit(r)
		if now.Sub(r.Arrived) > waitedLong {
			c.returnCounts.Waited++
		}
	}
}

// planReturn sets the retry delay of a refusal to a time at which the engines have room for the request.
func (c *Coordinator) planReturn(now time.Time, d scheduler.Decision) scheduler.Decision {
	id := requestOf(d)
	r, known := c.submitted[id]
	delete(c.submitted, id)
	refusal, refused := d.(scheduler.Refuse)
	if !known || !refused || refusal.RetryAfter <= 0 {
		return d
	}
	latest := time.Duration(honouredShare * float64(r.Deadline.Sub(now)))
	refusal.RetryAfter = c.returner.Plan(now, returner.Return{
		Priority: r.Priority,
		Work:     c.work(r),
	}, c.engines, refusal.RetryAfter, latest)
	c.returnCounts.Planned++
	return refusal
}

// work returns how long an engine takes to read a prompt; 0 if the service isn't known.
func (c *Coordinator) work(r scheduler.Request) time.Duration {
	if c.rules == nil {
		return 0
	}
	service := c.rules.Service(r.Service)
	if service == nil || service.Engine == nil {
		return 0
	}
	return scheduler.ReadingTime(service.Engine, r.PromptTokens)
}

// logReturns logs the counts of returning requests if they have changed.
func (c *Coordinator) logReturns(now time.Time) {
	if c.returnCounts == c.loggedReturns || now.Sub(c.returnsLogged) < loadInterval {
		return
	}
	c.returnsLogged = now
	c.loggedReturns = c.returnCounts
	counts := c.returnCounts
	c.sharedReturns.Store(&counts)
	c.options.Log.Info().Int("planned", counts.Planned).Int("come", counts.Come).Int("waited", counts.Waited).
		Int("held", c.returner.Held()).Msg("recovery: returns")
}
