package bencher

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// The requests per engine of the baselines with a fixed limit; at the design load an engine runs
// about 40. The first-come queue keeps waiting requests out of the engines and has the lower limit.
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

// baseline is a simple policy. Each instance knows its own requests; lengths are ignored.
type baseline struct {
	world *world
	kind  baselineKind
	ins   []*simple
	calls map[namer.Request]*simpleCall
}

type simple struct {
	centre      namer.DataCentre
	next        int
	outstanding []int // by engine
	queue       []*request
	out         namer.DataCentre
}

type simpleCall struct {
	in     *simple
	engine int
	job    *job
	ended  bool
}

func newBaseline(w *world, kind baselineKind) *baseline {
	b := &baseline{
		world: w,
		kind:  kind,
		calls: map[namer.Request]*simpleCall{},
	}
	for i := range instanceCount {
		b.ins = append(b.ins, &simple{
			centre:      w.instanceCentre(i),
			next:        i,
			outstanding: make([]int, len(w.engines)),
		})
	}
	return b
}

func (b *baseline) submit(r *request) {
	if r.prompt+r.bound > engineTokens {
		r.refused = "prompt_exceeds_targets"
		return
	}
	in := b.ins[r.instance]
	in.queue = append(in.queue, r)
	b.pump(in)
}

func (b *baseline) pump(in *simple) {
	for len(in.queue) > 0 {
		target := b.choose(in)
		if target < 0 {
			return
		}
		r := in.queue[0]
		in.queue = in.queue[1:]
		b.start(in, r, target)
	}
}

// choose returns an engine below the limit, or -1.
func (b *baseline) choose(in *simple) int {
	limit := roundRobinLimit / instanceCount
	switch b.kind {
	case leastOutstanding:
		limit = math.MaxInt
	case firstCome:
		limit = firstComeLimit / instanceCount
	}
	best := -1
	for offset := range b.world.engines {
		i := (in.next + offset) % len(b.world.engines)
		if b.world.engines[i].centre == in.out || in.outstanding[i] >= limit {
			continue
		}
		if best < 0 || (b.kind != roundRobin && in.outstanding[i] < in.outstanding[best]) {
			best = i
		}
	}
	if best >= 0 {
		in.next = best + 1
	}
	return best
}

func (b *baseline) start(in *simple, r *request, target int) {
	e := b.world.engines[target]
	delay := b.world.delay(in.centre, e.centre)
	c := &simpleCall{
		in:     in,
		engine: target,
	}
	c.job = &job{
		request: r,
		prompt:  r.prompt,
		onToken: func(index int) {
			if index == 0 {
				b.world.loop.after(delay, func() { b.world.token(r, index) })
			}
		},
		onEnd: func(failed bool) {
			b.world.loop.after(delay, func() {
				if !c.ended {
					b.world.end(r, failed)
					b.stop(r, c)
				}
			})
		},
	}
	r.admitted = true
	b.calls[r.id] = c
	in.outstanding[target]++
	b.world.loop.after(delay, func() {
		if !c.ended {
			b.world.send(e, c.job)
		}
	})
}

func (b *baseline) stop(r *request, c *simpleCall) {
	c.ended = true
	delete(b.calls, r.id)
	c.in.outstanding[c.engine]--
	b.pump(c.in)
}

func (b *baseline) cancel(r *request) {
	c := b.calls[r.id]
	if c == nil {
		r.refused = "caller_gone"
		in := b.ins[r.instance]
		in.queue = slices.DeleteFunc(in.queue, func(queued *request) bool { return queued == r })
		return
	}
	b.world.engines[c.engine].cancel(c.job)
	b.stop(r, c)
}

func (b *baseline) depart(centre namer.DataCentre) {
	for _, in := range b.ins {
		b.world.loop.after(time.Duration(b.world.random.Int64N(int64(learnTime))), func() {
			in.out = centre
			b.pump(in)
		})
	}
}

func (b *baseline) left() int {
	return len(b.calls)
}
