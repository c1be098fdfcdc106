package admitter

import (
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Admitter holds the queues, the customers' use of their limits and the running requests.
type Admitter struct {
	settings  Settings
	placer    Placer
	instances int
	customers map[namer.Customer]*customer
	models    map[namer.Model]*modelQueues
	running   map[namer.Request]*run
}

type customer struct {
	limits Limits
	// permits is the number of requests that the rate limit's bucket held at refilledAt.
	permits    float64
	refilledAt time.Time
	// active is the number of running and queued requests.
	active     int
	configured bool
}

// SetCustomers replaces the customers and their limits; running requests are not affected.
func (a *Admitter) SetCustomers(limits map[namer.Customer]Limits) {
	for name, c := range a.customers {
		if _, stays := limits[name]; !stays {
			c.configured = false
			if c.active == 0 {
				delete(a.customers, name)
			}
		}
	}
	for name, limit := range limits {
		c := a.customers[name]
		if c == nil {
			c = &customer{}
			a.customers[name] = c
		}
		c.configured = true
		c.limits = limit
	}
}

// SetInstances sets the number of live entry instances among which the customers' limits are divided.
func (a *Admitter) SetInstances(live int) {
	a.instances = max(live, 1)
}

// Queued returns the number of queued requests of a model.
func (a *Admitter) Queued(name namer.Model) int {
	if queues := a.models[name]; queues != nil {
		return queues.length
	}
	return 0
}

// Running returns the number of admitted requests that have not finished.
func (a *Admitter) Running() int {
	return len(a.running)
}

func (a *Admitter) queuesOf(name namer.Model) *modelQueues {
	queues := a.models[name]
	if queues == nil {
		queues = &modelQueues{
			finishTags: map[namer.Customer]float64{},
		}
		a.models[name] = queues
	}
	return queues
}

// Submit admits, queues or refuses a new request.
func (a *Admitter) Submit(now time.Time, r Request) Action {
	if !r.Deadline.After(now) {
		return a.refuse(r, refuser.DeadlinePast, 0, "the deadline has passed: allow more time", refuser.Figures{})
	}
	if refused := a.checkLimits(now, r); refused != nil {
		return refused
	}
	action := a.decide(now, r)
	if _, refused := action.(Refuse); !refused {
		a.customers[r.Customer].active++
	}
	return action
}

// checkLimits refuses a request that exceeds this instance's share of its customer's limits; nil means accepted.
func (a *Admitter) checkLimits(now time.Time, r Request) Action {
	c := a.customers[r.Customer]
	if c == nil || !c.configured {
		return a.refuse(r, refuser.UnknownCustomer, 0, "the customer is not in the bundle: check the name", refuser.Figures{})
	}
	if c.limits.Concurrency > 0 {
		share := max(c.limits.Concurrency/a.instances, 1)
		if c.active >= share {
			return a.refuse(r, refuser.ConcurrencyLimited, a.earliestEnd(now, r.Customer),
				fmt.Sprintf("%d requests of the customer are active here: wait for one to end", c.active),
				refuser.Figures{
					Limit: float64(share),
				})
		}
	}
	if c.limits.RequestsPerSecond <= 0 {
		return nil
	}
	share := max(c.limits.RequestsPerSecond/float64(a.instances), 1)
	if c.refilledAt.IsZero() {
		c.permits = share
	}
	// The bucket holds at most the requests of one second.
	c.permits = min(share, c.permits+share*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	if c.permits < 1 {
		wait := time.Duration((1 - c.permits) / share * float64(time.Second))
		return a.refuse(r, refuser.RateLimited, wait, "the customer's rate limit is reached: send more slowly",
			refuser.Figures{
				Limit: share,
			})
	}
	c.permits--
	return nil
}

// earliestEnd predicts the time until the first of a customer's running requests ends, at most RetryAfterMaximum.
func (a *Admitter) earliestEnd(now time.Time, name namer.Customer) time.Duration {
	earliest := a.settings.RetryAfterMaximum
	for _, r := range a.running {
		if r.request.Customer == name {
			earliest = min(earliest, r.predictedEnd.Sub(now))
		}
	}
	return earliest
}

func (a *Admitter) decide(now time.Time, r Request) Action {
	queues := a.queuesOf(r.Model)
	r.TimeLeft = r.Deadline.Sub(now)
	switch d := a.placer.Place(now, r.Request).(type) {
	case placer.Unplaceable:
		return a.refuseUnplaceable(r, d)
	case placer.SingleTarget:
		if refused := a.checkDeadline(now, r, 0, d.Estimate, placer.NoRoom{}); refused != nil {
			return refused
		}
		if queues.classes[d.Class].length > 0 {
			return a.enqueue(now, r, d.Class, d.Estimate, placer.NoRoom{
				FreeTokens: r.Tokens(),
			})
		}
		return a.admit(now, queues, r, d, d.Class, d.Estimate)
	case placer.Group:
		if refused := a.checkDeadline(now, r, 0, d.Estimate, placer.NoRoom{}); refused != nil {
			return refused
		}
		return a.admit(now, queues, r, d, placer.Long, d.Estimate)
	case placer.NoRoom:
		return a.enqueue(now, r, d.Class, d.Estimate, d)
	}
	return a.refuse(r, refuser.NoTarget, 0, "no target was chosen", refuser.Figures{})
}

func (a *Admitter) refuseUnplaceable(r Request, d placer.Unplaceable) Action {
	figures := refuser.Figures{
		NeededTokens: d.NeededTokens,
	}
	if d.Targets == 0 {
		return a.refuse(r, refuser.NoTarget, a.settings.RetryAfterMinimum,
			"no target serves the model at present: try again later", figures)
	}
	return a.refuse(r, refuser.PromptExceedsTargets, 0,
		"the prompt exceeds the memory of all targets that could hold it together: shorten it", figures)
}

// checkDeadline refuses a request that is predicted to miss its deadline if it starts after wait; nil means in time.
func (a *Admitter) checkDeadline(now time.Time, r Request, wait time.Duration, e estimator.Estimate,
	room placer.NoRoom,
) Action {
	if !now.Add(wait + a.runTime(e)).After(r.Deadline) {
		return nil
	}
	return a.refuse(r, refuser.DeadlineUnreachable, wait+e.Wait,
		"the request would not finish in time: allow more time or try again later", refuser.Figures{
			PredictedWait: wait + e.Wait,
			FreeTokens:    room.FreeTokens,
			NeededTokens:  r.Tokens(),
		})
}

// runTime returns the predicted run time multiplied by RunTimeFactor, for the comparison with a deadline.
func (a *Admitter) runTime(e estimator.Estimate) time.Duration {
	return time.Duration(a.settings.RunTimeFactor * float64(e.Total))
}

// predict returns the predicted wait of a request behind the queued requests of its class. oneRun is the predicted run
// time of the request itself.
func (a *Admitter) predict(now time.Time, r Request, class placer.Class, oneRun time.Duration,
	room placer.NoRoom,
) time.Duration {
	queues := a.queuesOf(r.Model)
	queue := &queues.classes[class]
	needed := r.Tokens() + queue.tokens - room.FreeTokens
	if class == placer.Long {
		// The memory comes from requests of all instances, but only those of this instance are known here.
		needed /= a.instances
	}
	memory := queues.timeToRelease(now, needed, oneRun, a.settings.RetryAfterMaximum)
	if queue.length < a.settings.QuotaQueue {
		// At light load, memory comes from the next quota rather than from requests that end on this instance.
		memory = min(memory, a.settings.QuotaWait)
	}
	head := time.Duration(float64(queue.length) * queue.headTime * float64(time.Second))
	return min(max(memory, head), a.settings.RetryAfterMaximum)
}

func (a *Admitter) enqueue(now time.Time, r Request, class placer.Class, e estimator.Estimate,
	room placer.NoRoom,
) Action {
	queues := a.queuesOf(r.Model)
	wait := a.predict(now, r, class, e.Total, room)
	if refused := a.checkDeadline(now, r, wait, e, room); refused != nil {
		return refused
	}
	if queues.length >= a.settings.QueueLength {
		return a.refuse(r, refuser.QueueFull, wait, "the queue is full: try again later", refuser.Figures{
			PredictedWait: wait,
			FreeTokens:    room.FreeTokens,
			NeededTokens:  r.Tokens(),
			Limit:         float64(a.settings.QueueLength),
		})
	}
	queues.push(now, &item{
		request:     r,
		class:       class,
		latestStart: r.Deadline.Add(-a.runTime(e)),
	})
	return Queue{
		Request:       r,
		PredictedWait: wait,
	}
}

func (a *Admitter) admit(now time.Time, queues *modelQueues, r Request, d placer.Decision, class placer.Class,
	e estimator.Estimate,
) Action {
	c := a.customers[r.Customer]
	weight := c.limits.Weight
	if weight <= 0 {
		weight = 1
	}
	queues.charge(r.Customer, r.Tokens(), weight)
	started := &run{
		request:      r,
		admitted:     now,
		predictedEnd: now.Add(e.Total),
		tokens:       r.Tokens(),
	}
	a.running[r.ID] = started
	queues.start(started)
	slack := r.Deadline.Sub(now) - a.runTime(e)
	return Admit{
		Request:     r,
		Decision:    d,
		Priority:    a.Priority(now, r, class),
		ReserveWait: max(0, min(slack, a.settings.MaxReserveWait)),
	}
}

// Priority returns the current engine priority of a request: that of its class, or one level higher from RaiseShare on.
func (a *Admitter) Priority(now time.Time, r Request, class placer.Class) int {
	if class > 0 && r.usedShare(now) >= a.settings.RaiseShare {
		return int(class) - 1
	}
	return int(class)
}

// Next returns the next queued request to admit or refuse, or nil if there is none at present.
func (a *Admitter) Next(now time.Time, name namer.Model) Action {
	queues := a.models[name]
	if queues == nil || queues.length == 0 {
		return nil
	}
	for _, raised := range []bool{true, false} {
		for class := range queues.classes {
			if action := a.nextOfClass(now, queues, &queues.classes[class], raised); action != nil {
				return action
			}
		}
	}
	return nil
}

func (a *Admitter) nextOfClass(now time.Time, queues *modelQueues, queue *classQueue, raised bool) Action {
	queue.sortFlows(queues)
	tried := 0
	for _, f := range queue.flows {
		head := f.items[0]
		if now.After(head.latestStart) && now.After(head.notBefore) {
			return a.expire(now, queues, head)
		}
		if head.isRaised(now, a.settings.RaiseShare) != raised || head.notBefore.After(now) {
			continue
		}
		if tried >= a.settings.FlowsTried {
			break
		}
		tried++
		if action := a.tryHead(now, queues, queue, head); action != nil {
			return action
		}
	}
	return nil
}

// tryHead places the first request of a flow; nil means that it stays queued.
func (a *Admitter) tryHead(now time.Time, queues *modelQueues, queue *classQueue, head *item) Action {
	r := head.request
	slack := head.latestStart.Sub(r.Arrived)
	r.MayWait = now.Sub(r.Arrived) >= time.Duration(a.settings.WaitShare*float64(slack))
	r.TimeLeft = r.Deadline.Sub(now)
	var estimate estimator.Estimate
	class := placer.Long
	decision := a.placer.Place(now, r.Request)
	switch d := decision.(type) {
	case placer.SingleTarget:
		estimate = d.Estimate
		class = d.Class
	case placer.Group:
		estimate = d.Estimate
	case placer.Unplaceable:
		queues.remove(head)
		a.releaseSlot(r.Customer)
		return a.refuseUnplaceable(r, d)
	default:
		return nil
	}
	if now.Add(estimate.Total).After(r.Deadline) {
		return nil // another target, or the same one later, may still meet the deadline
	}
	queue.observeHeadTime(now)
	queues.remove(head)
	return a.admit(now, queues, r, decision, class, estimate)
}

func (a *Admitter) expire(now time.Time, queues *modelQueues, head *item) Action {
	queues.remove(head)
	a.releaseSlot(head.request.Customer)
	wait := a.predict(now, head.request, head.class, head.request.Deadline.Sub(head.latestStart), placer.NoRoom{})
	return a.refuse(head.request, refuser.DeadlineUnreachable, wait,
		"no target had room in time: allow more time or try again later", refuser.Figures{
			PredictedWait: wait,
			NeededTokens:  head.request.Tokens(),
		})
}

// Requeue queues an admitted request again after its reservation was declined and before anything was sent.
func (a *Admitter) Requeue(now time.Time, id namer.Request, class placer.Class) {
	requeued := a.running[id]
	if requeued == nil {
		return
	}
	delete(a.running, id)
	queues := a.queuesOf(requeued.request.Model)
	queues.finish(now, requeued)
	queues.releasedTokens = max(0, queues.releasedTokens-float64(requeued.tokens)) // finish counted memory that was never in use
	r := requeued.request
	r.MayWait = false
	queues.push(now, &item{
		request:     r,
		class:       class,
		latestStart: r.Deadline.Add(-a.settings.runTime(requeued)),
		notBefore:   now.Add(a.settings.Backoff),
	})
}

// runTime returns the run time predicted on admission, multiplied by RunTimeFactor.
func (s Settings) runTime(r *run) time.Duration {
	return time.Duration(s.RunTimeFactor * float64(max(r.predictedEnd.Sub(r.admitted), 0)))
}

// Finish records the end of an admitted request, successful or not; unknown ids are ignored.
func (a *Admitter) Finish(now time.Time, id namer.Request) {
	ended := a.running[id]
	if ended == nil {
		return
	}
	delete(a.running, id)
	a.queuesOf(ended.request.Model).finish(now, ended)
	a.releaseSlot(ended.request.Customer)
}

// Cancel removes a queued request whose caller has disconnected, and reports whether it was queued.
func (a *Admitter) Cancel(r Request) bool {
	queues := a.models[r.Model]
	if queues == nil {
		return false
	}
	for class := range queues.classes {
		for _, f := range queues.classes[class].flows {
			if f.customer != r.Customer {
				continue
			}
			for _, queued := range f.items {
				if queued.request.ID == r.ID {
					queues.remove(queued)
					a.releaseSlot(r.Customer)
					return true
				}
			}
		}
	}
	return false
}

// releaseSlot decrements the customer's number of active requests. It drops a customer without any that is no longer
// configured.
func (a *Admitter) releaseSlot(name namer.Customer) {
	c := a.customers[name]
	if c == nil {
		return
	}
	c.active--
	if c.active == 0 && !c.configured {
		delete(a.customers, name)
	}
}

func (a *Admitter) refuse(r Request, reason refuser.Reason, wait time.Duration, message string,
	figures refuser.Figures,
) Action {
	retryAfter := time.Duration(0)
	if wait > 0 {
		retryAfter = min(max(wait, a.settings.RetryAfterMinimum), a.settings.RetryAfterMaximum)
	}
	return Refuse{
		Request: r,
		Refusal: &refuser.Refusal{
			Reason:     reason,
			Ran:        refuser.RanNo,
			Message:    message,
			RetryAfter: retryAfter,
			Figures:    figures,
		},
	}
}
