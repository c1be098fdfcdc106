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
	// Cache events are polled and some are lost.
	cachePoll = 500 * time.Millisecond
	cacheGaps = 0.05
	// observeTokens is how often a stream teaches the time between tokens.
	observeTokens = 16
	tokenBytes    = 160 // one server-sent event with one token
	tickTime      = 100 * time.Millisecond
)

// ours is the system under test: instances that share targets through owners.
type ours struct {
	world     *world
	instances []*instance
	owners    map[namer.Target]*owner
	events    map[namer.Target][]cacheEvent
}

type cacheEvent struct {
	prefix  uint64
	evicted bool
}

// instance connects the decision packages of one entry instance.
type instance struct {
	system    *ours
	number    int
	centre    namer.DataCentre
	estimates *estimator.Estimator
	places    *placer.Placer
	admits    *admitter.Admitter
	holds     *holder.Holder
	out       namer.DataCentre
	prefill   map[namer.Target]int
	seen      map[namer.Target]int
	calls     map[namer.Request]*call
}

// call is one admitted request.
type call struct {
	request  *request
	admit    admitter.Admit
	jobs     []*job
	sendAt   time.Time
	quota    *owner // where the quota is used
	granted  []*owner
	sent     time.Time
	first    time.Time
	observed time.Time
	uncached int
	ended    bool
}

func newOurs(w *world) *ours {
	o := &ours{
		world:  w,
		owners: map[namer.Target]*owner{},
		events: map[namer.Target][]cacheEvent{},
	}
	for i := range instanceCount {
		o.instances = append(o.instances, newInstance(o, i))
	}
	for i, e := range w.engines {
		one := &owner{
			engine:   e,
			home:     o.instances[i%instanceCount],
			quotas:   make([]int, instanceCount),
			used:     make([]int, instanceCount),
			reserved: map[namer.Request]grant{},
			polledAt: w.loop.now(),
		}
		o.owners[e.id] = one
		e.onStored = func(prefix uint64) {
			o.events[e.id] = append(o.events[e.id], cacheEvent{
				prefix: prefix,
			})
		}
		e.onEvicted = func(prefix uint64) {
			o.events[e.id] = append(o.events[e.id], cacheEvent{
				prefix:  prefix,
				evicted: true,
			})
		}
		w.loop.every(time.Duration(w.random.Int64N(int64(pollInterval))), pollInterval, one.poll)
		for _, in := range o.instances {
			in.addTarget(e)
			first := time.Duration(w.random.Int64N(int64(heartbeat)))
			one.renew(in.number)
			in.places.Update(one.summary())
			w.loop.every(first, heartbeat, func() {
				one.renew(in.number)
				summary := one.summary()
				w.loop.after(w.delay(in.centre, one.home.centre), func() {
					in.places.Update(summary)
					in.pump()
				})
			})
		}
	}
	return o
}

func newInstance(o *ours, number int) *instance {
	in := &instance{
		system:    o,
		number:    number,
		centre:    o.world.instanceCentre(number),
		estimates: estimator.New(estimator.DefaultSettings()),
		holds:     holder.New(holder.DefaultBounds()),
		prefill:   map[namer.Target]int{},
		seen:      map[namer.Target]int{},
		calls:     map[namer.Request]*call{},
	}
	in.places = placer.New(placer.DefaultSettings(), in.estimates, in, func(centre namer.DataCentre) time.Duration {
		return o.world.delay(in.centre, centre)
	}, rand.New(rand.NewPCG(o.world.random.Uint64(), uint64(number))))
	in.admits = admitter.New(admitter.DefaultSettings(), in.places)
	in.admits.SetInstances(instanceCount)
	limits := map[namer.Customer]admitter.Limits{}
	for i := range weights {
		limits[customerName(i)] = admitter.Limits{
			Weight: 1,
		}
	}
	in.admits.SetCustomers(limits)
	o.world.loop.every(time.Duration(number)*time.Millisecond, tickTime, in.tick)
	o.world.loop.every(time.Duration(number)*time.Millisecond, cachePoll, in.pollCaches)
	return in
}

func (in *instance) addTarget(e *engine) {
	in.estimates.SetTarget(estimator.Target{
		ID:             e.id,
		Model:          model,
		CapacityTokens: engineTokens,
		PrefillRate:    prefillPerSecond,
		TokenInterval:  stepBase + stepPerSequence,
	})
	in.places.SetTarget(placer.Target{
		ID:             e.id,
		Model:          model,
		DataCentre:     e.centre,
		CapacityTokens: engineTokens,
		GroupContext:   true,
	})
}

// Room returns what is left of the quota of a target.
func (in *instance) Room(target namer.Target) (memory, prefill int) {
	o := in.system.owners[target]
	return o.quotas[in.number] - o.used[in.number], prefillAuthority/instanceCount - in.prefill[target]
}

func (in *instance) now() time.Time {
	return in.system.world.loop.now()
}

func (in *instance) tick() {
	in.places.Tick(in.now())
	in.apply(in.holds.Tick(in.now()))
	in.system.world.heldPeak = max(in.system.world.heldPeak, in.holds.Total())
	in.pump()
}

func (in *instance) pollCaches() {
	for _, e := range in.system.world.engines {
		events := in.system.events[e.id]
		for _, one := range events[in.seen[e.id]:] {
			switch {
			case in.system.world.random.Float64() < cacheGaps:
			case one.evicted:
				in.places.Evicted(e.id, one.prefix)
			default:
				in.places.Stored(in.now(), e.id, one.prefix)
			}
		}
		in.seen[e.id] = len(events)
	}
}

// pump admits queued requests while any can go.
func (in *instance) pump() {
	for {
		action := in.admits.Next(in.now(), model)
		if action == nil {
			return
		}
		in.execute(action)
	}
}

func (o *ours) submit(r *request) {
	in := o.instances[r.instance]
	begun := time.Now()
	action := in.admits.Submit(in.now(), admitter.Request{
		Request: placer.Request{
			ID:           r.id,
			Model:        model,
			PromptTokens: r.prompt,
			OutputTokens: r.bound,
			Prefix:       r.prefix,
		},
		Customer: customerName(r.customer),
		Arrived:  epoch.Add(r.at),
		Deadline: epoch.Add(r.at + r.patience),
	})
	spent := time.Since(begun)
	if _, refused := action.(admitter.Refuse); refused {
		o.world.refusals = append(o.world.refusals, spent)
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
		c.request.refused = string(a.Refusal.Reason)
		delete(in.calls, a.Request.ID)
	case admitter.Admit:
		c := in.calls[a.Request.ID]
		c.admit = a
		in.places.Start(in.now(), a.Request.ID, a.Decision)
		in.start(c)
	}
}

func (in *instance) start(c *call) {
	switch d := c.admit.Decision.(type) {
	case placer.Chosen:
		one := in.system.owners[d.Target]
		c.uncached = d.UncachedTokens
		c.sendAt = in.now().Add(d.Notice)
		if d.NeedsReservation {
			wait := time.Duration(0)
			if d.Waits {
				wait = c.admit.ReserveWait
			}
			in.reserve(c, []placer.Member{{
				Target: d.Target,
				Tokens: d.Estimate.Tokens,
			}}, d.Class, wait)
			return
		}
		c.quota = one
		one.used[in.number] += d.Estimate.Tokens
		in.prefill[d.Target] += c.uncached
		in.send(c, []*engine{one.engine})
	case placer.Group:
		c.sendAt = in.now().Add(d.Notice)
		wait := time.Duration(0)
		if d.Waits {
			wait = c.admit.ReserveWait
		}
		in.reserve(c, d.Members, placer.Long, wait)
	}
}

// reserve asks the owners in order, one round trip each, and sends when all have granted.
func (in *instance) reserve(c *call, members []placer.Member, class placer.Class, wait time.Duration) {
	if c.ended {
		return
	}
	if len(c.granted) == len(members) {
		engines := make([]*engine, 0, len(members))
		for _, one := range c.granted {
			engines = append(engines, one.engine)
		}
		in.system.world.loop.after(max(0, c.sendAt.Sub(in.now())), func() {
			if !c.ended {
				in.send(c, engines)
			}
		})
		return
	}
	next := members[len(c.granted)]
	one := in.system.owners[next.Target]
	loop := in.system.world.loop
	delay := in.system.world.delay(in.centre, one.home.centre)
	loop.after(delay, func() {
		one.reserve(c.request.id, grant{
			tokens:   next.Tokens,
			nonShort: class != placer.Short,
			long:     class == placer.Long,
		}, wait, func(granted bool) {
			loop.after(delay, func() {
				switch {
				case c.ended && granted:
					one.release(c.request.id)
				case c.ended:
				case granted && one.engine.centre == in.out:
					one.release(c.request.id)
					in.requeue(c, class)
				case granted:
					c.granted = append(c.granted, one)
					in.reserve(c, members, class, wait)
				default:
					in.requeue(c, class)
				}
			})
		})
	})
}

func (in *instance) requeue(c *call, class placer.Class) {
	for _, one := range c.granted {
		one.release(c.request.id)
	}
	c.granted = nil
	in.places.Finish(c.request.id)
	in.admits.Requeue(in.now(), c.request.id, class)
	in.pump()
}

// send starts the request on its engines.
func (in *instance) send(c *call, engines []*engine) {
	w := in.system.world
	r := c.request
	r.admitted = true
	c.sent = in.now()
	in.holds.Open(r.id, customerName(r.customer))
	var joined *group
	if len(engines) > 1 {
		joined = &group{
			waiting: len(engines),
		}
	}
	for rank, e := range engines {
		delay := w.delay(in.centre, e.centre)
		j := &job{
			request:  r,
			priority: c.admit.Priority,
			prompt:   (r.prompt + len(engines) - 1) / len(engines),
			group:    joined,
			silent:   rank > 0,
			paused:   func() bool { return r.held },
		}
		if joined != nil {
			j.onPrefill = func() {
				for _, other := range c.jobs {
					other.engine.wake()
				}
			}
		}
		if rank == 0 {
			j.onToken = func(index int) {
				if index == 0 {
					w.loop.after(delay, func() { in.token(c, index) })
					return
				}
				// The delay of later tokens changes no decision and would double the events of a run.
				in.token(c, index)
			}
		}
		j.onEnd = func(failed bool) {
			w.loop.after(delay, func() { in.finish(c, failed) })
		}
		c.jobs = append(c.jobs, j)
		w.loop.after(delay, func() {
			if !c.ended {
				w.send(e, j)
			}
		})
	}
}

func (in *instance) token(c *call, index int) {
	if c.ended {
		return
	}
	r := c.request
	in.system.world.token(r, index)
	switch {
	case index == 0:
		in.firstToken(c)
		c.observed = in.now()
	case index%observeTokens == 0:
		in.observeInterval(c)
	}
	bytes := min(tokenBytes, in.holds.Allowance(r.id))
	in.apply(in.holds.Add(in.now(), r.id, bytes))
	if !r.reader {
		in.apply(in.holds.Read(in.now(), r.id, bytes))
	}
}

func (in *instance) firstToken(c *call) {
	c.first = in.now()
	in.places.FirstToken(c.request.id)
	if c.quota != nil {
		in.prefill[c.quota.engine.id] -= c.uncached
	}
	if d, single := c.admit.Decision.(placer.Chosen); single {
		in.estimates.Observe(estimator.Observation{
			Target:        d.Target,
			PrefillTokens: d.Estimate.QueueTokens + d.UncachedTokens,
			Prefill:       c.first.Sub(c.sent),
		})
	}
	in.pump()
}

// apply executes the actions of the holder.
func (in *instance) apply(actions []holder.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case holder.Pause:
			in.calls[a.Request].request.held = true
		case holder.Continue:
			c := in.calls[a.Request]
			c.request.held = false
			for _, j := range c.jobs {
				j.engine.wake()
			}
		case holder.End:
			c := in.calls[a.Request]
			c.request.refused = "reader_too_slow"
			in.stop(c)
		}
	}
}

func (in *instance) finish(c *call, failed bool) {
	if c.ended {
		return
	}
	in.system.world.end(c.request, failed)
	in.stop(c)
}

// observeInterval teaches the time between tokens while a stream runs, since a target's speed
// changes within the time of one stream.
func (in *instance) observeInterval(c *call) {
	d, single := c.admit.Decision.(placer.Chosen)
	if !single || c.request.held {
		return
	}
	in.estimates.Observe(estimator.Observation{
		Target:         d.Target,
		TokenInterval:  in.now().Sub(c.observed) / observeTokens,
		IntervalTokens: observeTokens,
	})
	c.observed = in.now()
}

// stop ends a call in any way and gives back all it holds.
func (in *instance) stop(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	r := c.request
	w := in.system.world
	delete(in.calls, r.id)
	for _, j := range c.jobs {
		if j.engine != nil {
			w.loop.after(w.delay(in.centre, j.engine.centre), func() { j.engine.cancel(j) })
		}
	}
	if c.quota != nil {
		c.quota.used[in.number] -= r.prompt + r.bound
		if c.first.IsZero() {
			in.prefill[c.quota.engine.id] -= c.uncached
		}
	}
	for _, one := range c.granted {
		one.release(r.id)
	}
	in.apply(in.holds.Close(r.id))
	in.places.Finish(r.id)
	in.admits.Finish(in.now(), r.id)
	in.pump()
}

func (o *ours) cancel(r *request) {
	in := o.instances[r.instance]
	c := in.calls[r.id]
	if c == nil {
		return
	}
	queued := in.admits.Cancel(admitter.Request{
		Request: placer.Request{
			ID:    r.id,
			Model: model,
		},
		Customer: customerName(r.customer),
	})
	if queued {
		r.refused = "caller_gone"
	}
	in.stop(c)
}

func (o *ours) depart(centre namer.DataCentre) {
	for _, in := range o.instances {
		o.world.loop.after(time.Duration(o.world.random.Int64N(int64(learnTime))), func() {
			in.out = centre
			in.places.SetDeparture([]namer.DataCentre{centre}, nil)
		})
	}
}

func (o *ours) left() int {
	count := 0
	for _, in := range o.instances {
		count += len(in.calls) + in.places.Running() + in.admits.Running() + in.admits.Queued(model) + in.holds.Total()
	}
	for _, one := range o.owners {
		count += len(one.reserved) + len(one.waiting)
		for _, used := range one.used {
			count += used
		}
	}
	return count
}

// String names the system in the output.
func (o *ours) String() string {
	return fmt.Sprintf("bergamothollow with %d instances", len(o.instances))
}
