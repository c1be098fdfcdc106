package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const (
	// informTime is how long an instance that has objects of the needed kinds waits for the complete lists: a store that refuses it
	// one kind must not keep it from serving.
	informTime = time.Second
	// heldShare is the share of a request's target latency for which it is held while this instance isn't informed, and maxHeldTime
	// the longest such time.
	heldShare   = 0.25
	maxHeldTime = 250 * time.Millisecond
	// maxHeld is the maximum number of requests that are held.
	maxHeld = 2048
	// uninformedRetry is the retry delay of requests that were held in vain.
	uninformedRetry = 300 * time.Millisecond
)

// Uninformed is the reason of a refusal by an instance that doesn't know all engines yet.
const Uninformed scheduler.RefuseReason = "not_informed"

// hear records that this instance has had all objects of a kind.
func (c *Coordinator) hear(kind storer.Kind) {
	if !c.heard[kind] {
		c.heard[kind] = true
		c.viewOutdated = true
		// Requests wait for this view.
		c.nextPublish = time.Time{}
	}
}

// hearWhole records what a leader's snapshot contains. A leader sends one only once it is informed.
func (c *Coordinator) hearWhole() {
	if c.rules == nil || len(c.objects[c.options.Format.TargetKind]) == 0 {
		return
	}
	for _, kind := range c.watchedKinds() {
		c.hear(kind)
	}
}

// isInformed reports whether this instance knows what it needs to say that there is no engine or no route.
func (c *Coordinator) isInformed(now time.Time) bool {
	for _, kind := range c.watchedKinds() {
		if !c.heard[kind] {
			return c.rules != nil && len(c.objects[c.options.Format.TargetKind]) > 0 && now.Sub(c.began) > informTime
		}
	}
	return true
}

// announceInformed lets waiting requests go on when the first view of an informed instance is published.
func (c *Coordinator) announceInformed(view *View) {
	if !view.Informed {
		return
	}
	select {
	case <-c.informed:
	default:
		close(c.informed)
		c.options.Log.Info().Dur("after", c.options.Clock.Now().Sub(c.began)).Int("held", len(c.held)).
			Int("targets", len(view.Catalogue.Targets)).Msg("recovery: informed")
	}
}

// Informed returns a channel that is closed once this instance knows all objects that it needs.
func (c *Coordinator) Informed() <-chan struct{} {
	return c.informed
}

// submit gives a request to the scheduler. While this instance isn't informed, it holds the request.
func (c *Coordinator) submit(now time.Time, r scheduler.Request) {
	if c.returns(now, r) {
		c.holdReturn(r)
		return
	}
	c.submitted[r.ID] = r
	c.scheduler.Submit(r)
	if c.View().Informed {
		return
	}
	limit := min(maxHeldTime, time.Duration(heldShare*float64(r.TargetLatency)))
	if len(c.held) >= maxHeld {
		limit = 0
	}
	c.held[r.ID] = now.Add(limit)
}

// overdueHeld returns refusals of the requests that have been held in vain.
func (c *Coordinator) overdueHeld(now time.Time) []scheduler.Decision {
	if len(c.held) == 0 {
		return nil
	}
	if c.View().Informed {
		clear(c.held)
		return nil
	}
	var decisions []scheduler.Decision
	for id, until := range c.held {
		if now.Before(until) {
			continue
		}
		delete(c.held, id)
		if !c.scheduler.Withdraw(id) {
			continue
		}
		decisions = append(decisions, scheduler.Refuse{
			Request:    id,
			Reason:     Uninformed,
			RetryAfter: uninformedRetry,
			Queued:     len(c.held),
		})
	}
	return decisions
}

// release forgets a request that has been withdrawn.
func (c *Coordinator) release(id namer.Request) {
	delete(c.held, id)
	delete(c.submitted, id)
	if _, returned := c.returned[id]; returned {
		delete(c.returned, id)
		c.returner.Remove(id)
	}
}
