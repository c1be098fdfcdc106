package bencher

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// The highest number of concurrent requests per engine, summed over all instances, for the baselines
// with a fixed limit. At the design load an engine runs about 40. The first-come baseline has the
// lower limit because it keeps waiting requests in its own queue rather than in the engines.
const (
	roundRobinLimit = 64
	firstComeLimit  = 48
)

type baselineKind string

const (
	roundRobin       baselineKind = "round_robin"
	leastOutstanding baselineKind = "least_outstanding"
	firstCome        baselineKind = "first_come"
)

var baselineKinds = []baselineKind{roundRobin, leastOutstanding, firstCome}

// baseline is a simple placement policy to compare with. Each instance counts only its own requests,
// and prompt lengths play no part in the choice of an engine.
type baseline struct {
	sim       *simulation
	kind      baselineKind
	instances []*baselineInstance
	calls     map[namer.Request]*baselineCall
}

// baselineInstance is an instance that places requests by a baseline policy.
type baselineInstance struct {
	centre         namer.DataCentre
	nextEngine     int
	outstanding    []int // requests by engine
	queue          []*request
	departedCentre namer.DataCentre
}

// baselineCall is a request that an instance has assigned to an engine.
type baselineCall struct {
	instance *baselineInstance
	engine   int
	job      *job
	ended    bool
}

func newBaseline(s *simulation, kind baselineKind) *baseline {
	b := &baseline{
		sim:   s,
		kind:  kind,
		calls: map[namer.Request]*baselineCall{},
	}
	for i := range instanceCount {
		b.instances = append(b.instances, &baselineInstance{
			centre:      s.instanceCentre(i),
			nextEngine:  i,
			outstanding: make([]int, len(s.engines)),
		})
	}
	return b
}

func (b *baseline) submit(r *request) {
	if r.promptTokens+r.maxOutputTokens > engineMemoryTokens {
		r.refusalReason = "prompt_exceeds_targets"
		return
	}
	in := b.instances[r.instance]
	in.queue = append(in.queue, r)
	b.dispatch(in)
}

func (b *baseline) dispatch(in *baselineInstance) {
	for len(in.queue) > 0 {
		engineIndex := b.chooseEngine(in)
		if engineIndex < 0 {
			return
		}
		r := in.queue[0]
		in.queue = in.queue[1:]
		b.start(in, r, engineIndex)
	}
}

// chooseEngine returns the index of an engine below the limit, or -1 if there is none.
func (b *baseline) chooseEngine(in *baselineInstance) int {
	limit := roundRobinLimit / instanceCount
	switch b.kind {
	case leastOutstanding:
		limit = math.MaxInt
	case firstCome:
		limit = firstComeLimit / instanceCount
	}
	chosen := -1
	for offset := range b.sim.engines {
		i := (in.nextEngine + offset) % len(b.sim.engines)
		if b.sim.engines[i].centre == in.departedCentre || in.outstanding[i] >= limit {
			continue
		}
		if chosen < 0 || (b.kind != roundRobin && in.outstanding[i] < in.outstanding[chosen]) {
			chosen = i
		}
	}
	if chosen >= 0 {
		in.nextEngine = chosen + 1
	}
	return chosen
}

func (b *baseline) start(in *baselineInstance, r *request, engineIndex int) {
	e := b.sim.engines[engineIndex]
	delay := b.sim.delay(in.centre, e.centre)
	c := &baselineCall{
		instance: in,
		engine:   engineIndex,
	}
	c.job = &job{
		request:      r,
		promptTokens: r.promptTokens,
		onToken: func(index int) {
			if index == 0 {
				b.sim.loop.after(delay, func() { b.sim.recordToken(r, index) })
			}
		},
		onEnd: func(failed bool) {
			b.sim.loop.after(delay, func() {
				if !c.ended {
					b.sim.recordEnd(r, failed)
					b.endCall(r, c)
				}
			})
		},
	}
	r.admitted = true
	b.calls[r.id] = c
	in.outstanding[engineIndex]++
	b.sim.loop.after(delay, func() {
		if !c.ended {
			b.sim.sendJob(e, c.job)
		}
	})
}

func (b *baseline) endCall(r *request, c *baselineCall) {
	c.ended = true
	delete(b.calls, r.id)
	c.instance.outstanding[c.engine]--
	b.dispatch(c.instance)
}

func (b *baseline) cancel(r *request) {
	c := b.calls[r.id]
	if c == nil {
		r.refusalReason = "caller_gone"
		in := b.instances[r.instance]
		in.queue = slices.DeleteFunc(in.queue, func(queued *request) bool { return queued == r })
		return
	}
	b.sim.engines[c.engine].removeJob(c.job)
	b.endCall(r, c)
}

func (b *baseline) setDepartedCentre(centre namer.DataCentre) {
	for _, in := range b.instances {
		b.sim.loop.after(time.Duration(b.sim.random.Int64N(int64(maxDepartureDelay))), func() {
			in.departedCentre = centre
			b.dispatch(in)
		})
	}
}

func (b *baseline) leakCount() int {
	return len(b.calls)
}
