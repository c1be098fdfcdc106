package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bergamothollow.example/bergamothollow/pkg/admitter"
	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/holder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

const (
	// Instances poll the engines for cache events and lose a share of them.
	cachePollInterval   = 500 * time.Millisecond
	cacheEventLossShare = 0.05
	// tokensPerObservation is the number of tokens after which a stream reports its token interval to
	// the estimator.
	tokensPerObservation = 16
	tokenEventBytes      = 160 // size of a server-sent event with one token
	tickInterval         = 100 * time.Millisecond
)

// servingLayer is the system under test: instances that share targets through the targets' owners.
// Metric names call it "ours".
type servingLayer struct {
	sim         *simulation
	instances   []*instance
	owners      map[namer.Target]*owner
	cacheEvents map[namer.Target][]cacheEvent
}

// cacheEvent reports that a block was stored in or evicted from the prefix cache of an engine.
type cacheEvent struct {
	block   uint64
	evicted bool
}

// instance is one instance of the serving layer; it wires the decision packages together.
type instance struct {
	layer          *servingLayer
	number         int
	centre         namer.DataCentre
	estimator      *estimator.Estimator
	placer         *placer.Placer
	admitter       *admitter.Admitter
	holder         *holder.Holder
	departedCentre namer.DataCentre
	pendingPrefill map[namer.Target]int
	eventsRead     map[namer.Target]int
	calls          map[namer.Request]*call
}

// call is a request that is queued or running on its instance.
type call struct {
	request        *request
	admission      admitter.Admit
	jobs           []*job
	sendAt         time.Time
	quotaOwner     *owner // set if the call uses the quota of its target
	grantedOwners  []*owner
	sentAt         time.Time
	firstTokenAt   time.Time
	observedAt     time.Time
	uncachedTokens int
	ended          bool
}

func newServingLayer(s *simulation) *servingLayer {
	l := &servingLayer{
		sim:         s,
		owners:      map[namer.Target]*owner{},
		cacheEvents: map[namer.Target][]cacheEvent{},
	}
	for i := range instanceCount {
		l.instances = append(l.instances, newInstance(l, i))
	}
	for i, e := range s.engines {
		ow := &owner{
			engine:       e,
			host:         l.instances[i%instanceCount],
			quotas:       make([]int, instanceCount),
			used:         make([]int, instanceCount),
			reservations: map[namer.Request]reservation{},
			polledAt:     s.loop.now(),
		}
		l.owners[e.id] = ow
		e.onStored = func(block uint64) {
			l.cacheEvents[e.id] = append(l.cacheEvents[e.id], cacheEvent{
				block: block,
			})
		}
		e.onEvicted = func(block uint64) {
			l.cacheEvents[e.id] = append(l.cacheEvents[e.id], cacheEvent{
				block:   block,
				evicted: true,
			})
		}
		s.loop.every(time.Duration(s.random.Int64N(int64(pollInterval))), pollInterval, ow.pollEngine)
		for _, in := range l.instances {
			in.addTarget(e)
			first := time.Duration(s.random.Int64N(int64(heartbeatInterval)))
			ow.renewQuota(in.number)
			in.placer.Update(ow.summary())
			s.loop.every(first, heartbeatInterval, func() {
				ow.renewQuota(in.number)
				summary := ow.summary()
				s.loop.after(s.delay(in.centre, ow.host.centre), func() {
					in.placer.Update(summary)
					in.processQueue()
				})
			})
		}
	}
	return l
}

func newInstance(l *servingLayer, number int) *instance {
	in := &instance{
		layer:          l,
		number:         number,
		centre:         l.sim.instanceCentre(number),
		estimator:      estimator.New(estimator.DefaultSettings()),
		holder:         holder.New(holder.DefaultBounds()),
		pendingPrefill: map[namer.Target]int{},
		eventsRead:     map[namer.Target]int{},
		calls:          map[namer.Request]*call{},
	}
	in.placer = placer.New(placer.DefaultSettings(), in.estimator, in, func(centre namer.DataCentre) time.Duration {
		return l.sim.delay(in.centre, centre)
	}, rand.New(rand.NewPCG(l.sim.random.Uint64(), uint64(number))))
	in.admitter = admitter.New(admitter.DefaultSettings(), in.placer)
	in.admitter.SetInstances(instanceCount)
	limits := map[namer.Customer]admitter.Limits{}
	for i := range customerShares {
		limits[customerName(i)] = admitter.Limits{
			Weight: 1,
		}
	}
	in.admitter.SetCustomers(limits)
	l.sim.loop.every(time.Duration(number)*time.Millisecond, tickInterval, in.tick)
	l.sim.loop.every(time.Duration(number)*time.Millisecond, cachePollInterval, in.pollCaches)
	return in
}

func (in *instance) addTarget(e *engine) {
	in.estimator.SetTarget(estimator.Target{
		ID:             e.id,
		Model:          model,
		CapacityTokens: engineMemoryTokens,
		PrefillRate:    prefillTokensPerSecond,
		TokenInterval:  stepBase + stepPerSequence,
	})
	in.placer.SetTarget(placer.Target{
		ID:             e.id,
		Model:          model,
		DataCentre:     e.centre,
		CapacityTokens: engineMemoryTokens,
		GroupContext:   true,
	})
}

// Unused returns the unused part of the instance's quota of a target, in tokens of memory and of prefill.
func (in *instance) Unused(target namer.Target) (memory, prefill int) {
	ow := in.layer.owners[target]
	return ow.quotas[in.number] - ow.used[in.number], prefillQuotaTokens/instanceCount - in.pendingPrefill[target]
}

func (in *instance) now() time.Time {
	return in.layer.sim.loop.now()
}

func (in *instance) tick() {
	in.placer.Tick(in.now())
	in.applyHolderActions(in.holder.Tick(in.now()))
	in.layer.sim.peakBufferedBytes = max(in.layer.sim.peakBufferedBytes, in.holder.Total())
	in.processQueue()
}

func (in *instance) pollCaches() {
	for _, e := range in.layer.sim.engines {
		events := in.layer.cacheEvents[e.id]
		for _, event := range events[in.eventsRead[e.id]:] {
			switch {
			case in.layer.sim.random.Float64() < cacheEventLossShare:
			case event.evicted:
				in.placer.RemoveHint(e.id, event.block)
			default:
				in.placer.AddHint(in.now(), e.id, event.block)
			}
		}
		in.eventsRead[e.id] = len(events)
	}
}

// processQueue admits or refuses queued requests until the admitter has no further action.
func (in *instance) processQueue() {
	for {
		action := in.admitter.Next(in.now(), model)
		if action == nil {
			return
		}
		in.execute(action)
	}
}

func (l *servingLayer) submit(r *request) {
	in := l.instances[r.instance]
	start := time.Now()
	action := in.admitter.Submit(in.now(), admitter.Request{
		Request: placer.Request{
			ID:           r.id,
			Model:        model,
			PromptTokens: r.promptTokens,
			OutputTokens: r.maxOutputTokens,
			Prefix:       r.prefixBlocks,
		},
		Customer: customerName(r.customer),
		Arrived:  epoch.Add(r.arrival),
		Deadline: epoch.Add(r.arrival + r.timeout),
	})
	elapsed := time.Since(start)
	if _, refused := action.(admitter.Refuse); refused {
		l.sim.refusalTimes = append(l.sim.refusalTimes, elapsed)
	}
	in.calls[r.id] = &call{
		request: r,
	}
	in.execute(action)
}

func (in *instance) execute(action admitter.Action) {
	switch a := action.(type) {
	case admitter.Refuse:
		c := in.calls[a.Request.ID]
		c.request.refusalReason = string(a.Refusal.Reason)
		delete(in.calls, a.Request.ID)
	case admitter.Admit:
		c := in.calls[a.Request.ID]
		c.admission = a
		in.placer.Start(in.now(), a.Request.ID, a.Decision)
		in.startCall(c)
	}
}

func (in *instance) startCall(c *call) {
	switch d := c.admission.Decision.(type) {
	case placer.SingleTarget:
		ow := in.layer.owners[d.Target]
		c.uncachedTokens = d.UncachedTokens
		c.sendAt = in.now().Add(d.Notice)
		if d.NeedsReservation {
			wait := time.Duration(0)
			if d.Waits {
				wait = c.admission.ReserveWait
			}
			in.reserve(c, []placer.Member{{
				Target: d.Target,
				Tokens: d.Estimate.Tokens,
			}}, d.Class, wait)
			return
		}
		c.quotaOwner = ow
		ow.used[in.number] += d.Estimate.Tokens
		in.pendingPrefill[d.Target] += c.uncachedTokens
		in.sendJobs(c, []*engine{ow.engine})
	case placer.Group:
		c.sendAt = in.now().Add(d.Notice)
		wait := time.Duration(0)
		if d.Waits {
			wait = c.admission.ReserveWait
		}
		in.reserve(c, d.Members, placer.Long, wait)
	}
}

// reserve asks the owners of the members for reservations one after the other, one round trip each,
// and sends the jobs when all have granted them. If an owner refuses, the request returns to the queue.
func (in *instance) reserve(c *call, members []placer.Member, class placer.Class, wait time.Duration) {
	if c.ended {
		return
	}
	if len(c.grantedOwners) == len(members) {
		engines := make([]*engine, 0, len(members))
		for _, ow := range c.grantedOwners {
			engines = append(engines, ow.engine)
		}
		in.layer.sim.loop.after(max(0, c.sendAt.Sub(in.now())), func() {
			if !c.ended {
				in.sendJobs(c, engines)
			}
		})
		return
	}
	next := members[len(c.grantedOwners)]
	ow := in.layer.owners[next.Target]
	loop := in.layer.sim.loop
	delay := in.layer.sim.delay(in.centre, ow.host.centre)
	loop.after(delay, func() {
		ow.reserve(c.request.id, reservation{
			tokens:      next.Tokens,
			nonShort:    class != placer.Short,
			longPrefill: class == placer.Long,
		}, wait, func(granted bool) {
			loop.after(delay, func() {
				switch {
				case c.ended && granted:
					ow.release(c.request.id)
				case c.ended:
				case granted && ow.engine.centre == in.departedCentre:
					ow.release(c.request.id)
					in.requeue(c, class)
				case granted:
					c.grantedOwners = append(c.grantedOwners, ow)
					in.reserve(c, members, class, wait)
				default:
					in.requeue(c, class)
				}
			})
		})
	})
}

// requeue releases the reservations of a call and returns its request to the admission queue.
func (in *instance) requeue(c *call, class placer.Class) {
	for _, ow := range c.grantedOwners {
		ow.release(c.request.id)
	}
	c.grantedOwners = nil
	in.placer.Finish(c.request.id)
	in.admitter.Requeue(in.now(), c.request.id, class)
	in.processQueue()
}

// sendJobs sends one job to each of the request's engines.
func (in *instance) sendJobs(c *call, engines []*engine) {
	s := in.layer.sim
	r := c.request
	r.admitted = true
	c.sentAt = in.now()
	in.holder.Open(r.id, customerName(r.customer))
	var partGroup *group
	if len(engines) > 1 {
		partGroup = &group{
			pendingPrefills: len(engines),
		}
	}
	for rank, e := range engines {
		delay := s.delay(in.centre, e.centre)
		j := &job{
			request:      r,
			priority:     c.admission.Priority,
			promptTokens: (r.promptTokens + len(engines) - 1) / len(engines),
			group:        partGroup,
			memoryOnly:   rank > 0,
			paused:       func() bool { return r.paused },
		}
		if partGroup != nil {
			j.onPrefill = func() {
				for _, other := range c.jobs {
					other.engine.startStep()
				}
			}
		}
		if rank == 0 {
			j.onToken = func(index int) {
				if index == 0 {
					s.loop.after(delay, func() { in.handleToken(c, index) })
					return
				}
				// Later tokens skip the delay: it would change no decision but double the events of a run.
				in.handleToken(c, index)
			}
		}
		j.onEnd = func(failed bool) {
			s.loop.after(delay, func() { in.handleJobEnd(c, failed) })
		}
		c.jobs = append(c.jobs, j)
		s.loop.after(delay, func() {
			if !c.ended {
				s.sendJob(e, j)
			}
		})
	}
}

func (in *instance) handleToken(c *call, index int) {
	if c.ended {
		return
	}
	r := c.request
	in.layer.sim.recordToken(r, index)
	switch {
	case index == 0:
		in.handleFirstToken(c)
		c.observedAt = in.now()
	case index%tokensPerObservation == 0:
		in.observeInterval(c)
	}
	bytes := min(tokenEventBytes, in.holder.Allowance(r.id))
	in.applyHolderActions(in.holder.Add(in.now(), r.id, bytes))
	if !r.stalledReader {
		in.applyHolderActions(in.holder.RecordRead(in.now(), r.id, bytes))
	}
}

func (in *instance) handleFirstToken(c *call) {
	c.firstTokenAt = in.now()
	in.placer.EndPrefill(c.request.id)
	if c.quotaOwner != nil {
		in.pendingPrefill[c.quotaOwner.engine.id] -= c.uncachedTokens
	}
	if d, single := c.admission.Decision.(placer.SingleTarget); single {
		in.estimator.Observe(estimator.Observation{
			Target:        d.Target,
			PrefillTokens: d.Estimate.QueueTokens + d.UncachedTokens,
			Prefill:       c.firstTokenAt.Sub(c.sentAt),
		})
	}
	in.processQueue()
}

// applyHolderActions carries out the actions that the holder returned.
func (in *instance) applyHolderActions(actions []holder.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case holder.Pause:
			in.calls[a.Request].request.paused = true
		case holder.Continue:
			c := in.calls[a.Request]
			c.request.paused = false
			for _, j := range c.jobs {
				j.engine.startStep()
			}
		case holder.End:
			c := in.calls[a.Request]
			c.request.refusalReason = "reader_too_slow"
			in.endCall(c)
		}
	}
}

func (in *instance) handleJobEnd(c *call, failed bool) {
	if c.ended {
		return
	}
	in.layer.sim.recordEnd(c.request, failed)
	in.endCall(c)
}

// observeInterval reports the time between tokens to the estimator while the stream is running,
// because a target's speed can change during one stream.
func (in *instance) observeInterval(c *call) {
	d, single := c.admission.Decision.(placer.SingleTarget)
	if !single || c.request.paused {
		return
	}
	in.estimator.Observe(estimator.Observation{
		Target:         d.Target,
		TokenInterval:  in.now().Sub(c.observedAt) / tokensPerObservation,
		IntervalTokens: tokensPerObservation,
	})
	c.observedAt = in.now()
}

// endCall ends a call, whether it finished or was cancelled, and releases everything it holds.
func (in *instance) endCall(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	r := c.request
	s := in.layer.sim
	delete(in.calls, r.id)
	for _, j := range c.jobs {
		if j.engine != nil {
			s.loop.after(s.delay(in.centre, j.engine.centre), func() { j.engine.removeJob(j) })
		}
	}
	if c.quotaOwner != nil {
		c.quotaOwner.used[in.number] -= r.promptTokens + r.maxOutputTokens
		if c.firstTokenAt.IsZero() {
			in.pendingPrefill[c.quotaOwner.engine.id] -= c.uncachedTokens
		}
	}
	for _, ow := range c.grantedOwners {
		ow.release(r.id)
	}
	in.applyHolderActions(in.holder.Close(r.id))
	in.placer.Finish(r.id)
	in.admitter.Finish(in.now(), r.id)
	in.processQueue()
}

func (l *servingLayer) cancel(r *request) {
	in := l.instances[r.instance]
	c := in.calls[r.id]
	if c == nil {
		return
	}
	queued := in.admitter.Cancel(admitter.Request{
		Request: placer.Request{
			ID:    r.id,
			Model: model,
		},
		Customer: customerName(r.customer),
	})
	if queued {
		r.refusalReason = "caller_gone"
	}
	in.endCall(c)
}

func (l *servingLayer) setDepartedCentre(centre namer.DataCentre) {
	for _, in := range l.instances {
		l.sim.loop.after(time.Duration(l.sim.random.Int64N(int64(maxDepartureDelay))), func() {
			in.departedCentre = centre
			in.placer.SetOutOfService([]namer.DataCentre{centre}, nil)
		})
	}
}

func (l *servingLayer) leakCount() int {
	count := 0
	for _, in := range l.instances {
		count += len(in.calls) + in.placer.Running() + in.admitter.Running() + in.admitter.Queued(model) + in.holder.Total()
	}
	for _, ow := range l.owners {
		count += len(ow.reservations) + len(ow.waiters)
		for _, used := range ow.used {
			count += used
		}
	}
	return count
}

// String implements fmt.Stringer.
func (l *servingLayer) String() string {
	return fmt.Sprintf("bergamothollow with %d instances", len(l.instances))
}
