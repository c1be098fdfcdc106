package admitter

import (
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Admitter keeps the queues, the customers' use of their limits and the running requests.
type Admitter struct {
	settings  Settings
	places    Placer
	instances int
	customers map[namer.Customer]*customer
	models    map[namer.Model]*model
	running   map[namer.Request]*run
}

type customer struct {
	limits Limits
	// permits is the token bucket of the rate limit at the time filled.
	permits float64
	filled  time.Time
	// active counts running and queued requests.
	active int
	known  bool
}

// SetCustomers replaces the customers and their limits; running requests are not affected.
func (a *Admitter) SetCustomers(limits map[namer.Customer]Limits) {
	for name, one := range a.customers {
		if _, stays := limits[name]; !stays {
			one.known = false
			if one.active == 0 {
				delete(a.customers, name)
			}
		}
	}
	for name, limit := range limits {
		one := a.customers[name]
		if one == nil {
			one = &customer{}
			a.customers[name] = one
		}
		one.known = true
		one.limits = limit
	}
}

// SetInstances sets the number of live entry instances that share the limits.
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

// Running returns the number of admitted requests that have not ended.
func (a *Admitter) Running() int {
	return len(a.running)
}

func (a *Admitter) model(name namer.Model) *model {
	known := a.models[name]
	if known == nil {
		known = &model{
			served: map[namer.Customer]float64{},
		}
		a.models[name] = known
	}
	return known
}

// Submit decides about a new request.
func (a *Admitter) Submit(now time.Time, r Request) Action {
	if !r.Deadline.After(now) {
		return a.refuse(r, refuser.DeadlinePast, 0, "the deadline has passed: allow more time", refuser.Figures{})
	}
	if refused := a.limit(now, r); refused != nil {
		return refused
	}
	action := a.decide(now, r)
	if _, refused := action.(Refuse); !refused {
		a.customers[r.Customer].active++
	}
	return action
}

// limit applies the customer's share of its limits.
func (a *Admitter) limit(now time.Time, r Request) Action {
	one := a.customers[r.Customer]
	if one == nil || !one.known {
		return a.refuse(r, refuser.UnknownCustomer, 0, "the customer is not in the bundle: check the name", refuser.Figures{})
	}
	if one.limits.Concurrency > 0 {
		share := max(one.limits.Concurrency/a.instances, 1)
		if one.active >= share {
			return a.refuse(r, refuser.ConcurrencyLimited, a.firstEnd(now, r.Customer),
				fmt.Sprintf("%d requests of the customer are active here: wait for one to end", one.active),
				refuser.Figures{
					Limit: float64(share),
				})
		}
	}
	if one.limits.RequestsPerSecond <= 0 {
		return nil
	}
	share := max(one.limits.RequestsPerSecond/float64(a.instances), 1)
	if one.filled.IsZero() {
		one.permits = share
	}
	// The bucket holds one second's requests.
	one.permits = min(share, one.permits+share*now.Sub(one.filled).Seconds())
	one.filled = now
	if one.permits < 1 {
		wait := time.Duration((1 - one.permits) / share * float64(time.Second))
		return a.refuse(r, refuser.RateLimited, wait, "the customer's rate limit is reached: send more slowly",
			refuser.Figures{
				Limit: share,
			})
	}
	one.permits--
	return nil
}

// firstEnd predicts when the first running request of a customer ends.
func (a *Admitter) firstEnd(now time.Time, name namer.Customer) time.Duration {
	first := a.settings.RetryAfterMaximum
	for _, one := range a.running {
		if one.request.Customer == name {
			first = min(first, one.ends.Sub(now))
		}
	}
	return first
}

func (a *Admitter) decide(now time.Time, r Request) Action {
	queues := a.model(r.Model)
	r.Within = r.Deadline.Sub(now)
	switch d := a.places.Place(now, r.Request).(type) {
	case placer.Never:
		return a.never(r, d)
	case placer.Chosen:
		if refused := a.unreachable(now, r, 0, d.Estimate, placer.NoRoom{}); refused != nil {
			return refused
		}
		if queues.classes[d.Class].length > 0 {
			return a.enqueue(now, r, d.Class, d.Estimate, placer.NoRoom{
				FreeTokens: r.Tokens(),
			})
		}
		return a.admit(now, queues, r, d, d.Class, d.Estimate)
	case placer.Group:
		if refused := a.unreachable(now, r, 0, d.Estimate, placer.NoRoom{}); refused != nil {
			return refused
		}
		return a.admit(now, queues, r, d, placer.Long, d.Estimate)
	case placer.NoRoom:
		return a.enqueue(now, r, d.Class, d.Estimate, d)
	}
	return a.refuse(r, refuser.NoTarget, 0, "no target was chosen", refuser.Figures{})
}

func (a *Admitter) never(r Request, d placer.Never) Action {
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

// unreachable refuses a request that can't end in time even if it starts after wait.
func (a *Admitter) unreachable(now time.Time, r Request, wait time.Duration, e estimator.Estimate,
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

func (a *Admitter) runTime(e estimator.Estimate) time.Duration {
	return time.Duration(a.settings.Margin * float64(e.Total))
}

// predict returns the wait until a request of a class can be placed behind those queued.
func (a *Admitter) predict(now time.Time, r Request, class placer.Class, oneRun time.Duration,
	room placer.NoRoom,
) time.Duration {
	queues := a.model(r.Model)
	queue := &queues.classes[class]
	needed := r.Tokens() + queue.tokens - room.FreeTokens
	if class == placer.Long {
		// Owners reserve from what all instances release, and only this one's releases are known.
		needed /= a.instances
	}
	memory := queues.releaseAfter(now, needed, oneRun, a.settings.RetryAfterMaximum)
	if queue.length < a.settings.QuotaQueue {
		// At light load this instance's releases say little: memory comes with the next quotas.
		memory = min(memory, a.settings.QuotaWait)
	}
	head := time.Duration(float64(queue.length) * queue.headTime * float64(time.Second))
	return min(max(memory, head), a.settings.RetryAfterMaximum)
}

func (a *Admitter) enqueue(now time.Time, r Request, class placer.Class, e estimator.Estimate,
	room placer.NoRoom,
) Action {
	queues := a.model(r.Model)
	wait := a.predict(now, r, class, e.Total, room)
	if refused := a.unreachable(now, r, wait, e, room); refused != nil {
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

func (a *Admitter) admit(now time.Time, queues *model, r Request, d placer.Decision, class placer.Class,
	e estimator.Estimate,
) Action {
	one := a.customers[r.Customer]
	weight := one.limits.Weight
	if weight <= 0 {
		weight = 1
	}
	queues.charge(r.Customer, r.Tokens(), weight)
	started := &run{
		request:  r,
		admitted: now,
		ends:     now.Add(e.Total),
		tokens:   r.Tokens(),
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

// Priority returns the engine priority of a request now; late requests are raised by one level.
func (a *Admitter) Priority(now time.Time, r Request, class placer.Class) int {
	if class > 0 && r.used(now) >= a.settings.RaiseShare {
		return int(class) - 1
	}
	return int(class)
}

// Next returns the next queued request to admit or refuse, or nil when none can go now.
func (a *Admitter) Next(now time.Time, name namer.Model) Action {
	queues := a.models[name]
	if queues == nil || queues.length == 0 {
		return nil
	}
	for _, raised := range []bool{true, false} {
		for class := range queues.classes {
			if action := a.nextOf(now, queues, &queues.classes[class], raised); action != nil {
				return action
			}
		}
	}
	return nil
}

func (a *Admitter) nextOf(now time.Time, queues *model, queue *classQueue, raised bool) Action {
	queue.order(queues)
	tried := 0
	for _, one := range queue.flows {
		head := one.items[0]
		if now.After(head.latestStart) && now.After(head.notBefore) {
			return a.expire(now, queues, head)
		}
		if head.raised(now, a.settings.RaiseShare) != raised || head.notBefore.After(now) {
			continue
		}
		if tried >= a.settings.FlowsTried {
			break
		}
		tried++
		if action := a.try(now, queues, queue, head); action != nil {
			return action
		}
	}
	return nil
}

// try places the head of a flow.
func (a *Admitter) try(now time.Time, queues *model, queue *classQueue, head *item) Action {
	r := head.request
	slack := head.latestStart.Sub(r.Arrived)
	r.MayWait = now.Sub(r.Arrived) >= time.Duration(a.settings.WaitShare*float64(slack))
	r.Within = r.Deadline.Sub(now)
	var estimate estimator.Estimate
	class := placer.Long
	decision := a.places.Place(now, r.Request)
	switch d := decision.(type) {
	case placer.Chosen:
		estimate = d.Estimate
		class = d.Class
	case placer.Group:
		estimate = d.Estimate
	case placer.Never:
		queues.remove(head)
		a.leave(r.Customer)
		return a.never(r, d)
	default:
		return nil
	}
	if now.Add(estimate.Total).After(r.Deadline) {
		return nil // another target, or a later moment, may still be fast enough
	}
	queue.took(now)
	queues.remove(head)
	return a.admit(now, queues, r, decision, class, estimate)
}

func (a *Admitter) expire(now time.Time, queues *model, head *item) Action {
	queues.remove(head)
	a.leave(head.request.Customer)
	wait := a.predict(now, head.request, head.class, head.request.Deadline.Sub(head.latestStart), placer.NoRoom{})
	return a.refuse(head.request, refuser.DeadlineUnreachable, wait,
		"no target had room in time: allow more time or try again later", refuser.Figures{
			PredictedWait: wait,
			NeededTokens:  head.request.Tokens(),
		})
}

// Requeue takes back an admitted request whose reservation was declined before anything was sent.
func (a *Admitter) Requeue(now time.Time, id namer.Request, class placer.Class) {
	back := a.running[id]
	if back == nil {
		return
	}
	delete(a.running, id)
	queues := a.model(back.request.Model)
	queues.finish(now, back)
	queues.released = max(0, queues.released-float64(back.tokens)) // nothing was released
	r := back.request
	r.MayWait = false
	queues.push(now, &item{
		request: r,
		class:   class,
		// The run time as it was predicted at the admission.
		latestStart: r.Deadline.Add(-a.settings.runTime(back)),
		notBefore:   now.Add(a.settings.Backoff),
	})
}

func (s Settings) runTime(r *run) time.Duration {
	return time.Duration(s.Margin * float64(max(r.ends.Sub(r.admitted), 0)))
}

// Finish records that an admitted request has ended in any way; unknown ids are ignored.
func (a *Admitter) Finish(now time.Time, id namer.Request) {
	ended := a.running[id]
	if ended == nil {
		return
	}
	delete(a.running, id)
	a.model(ended.request.Model).finish(now, ended)
	a.leave(ended.request.Customer)
}

// Cancel removes a queued request whose caller has gone, and reports whether it was queued.
func (a *Admitter) Cancel(r Request) bool {
	queues := a.models[r.Model]
	if queues == nil {
		return false
	}
	for class := range queues.classes {
		for _, one := range queues.classes[class].flows {
			if one.customer != r.Customer {
				continue
			}
			for _, queued := range one.items {
				if queued.request.ID == r.ID {
					queues.remove(queued)
					a.leave(r.Customer)
					return true
				}
			}
		}
	}
	return false
}

func (a *Admitter) leave(name namer.Customer) {
	one := a.customers[name]
	if one == nil {
		return
	}
	one.active--
	if one.active == 0 && !one.known {
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
