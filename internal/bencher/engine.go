package bencher

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// The fake engine: continuous batching in steps.
const (
	engineTokens     = 450_000
	prefillPerSecond = 60_000
	chunkTokens      = 2_048
	stepBase         = 15 * time.Millisecond
	stepPerSequence  = 200 * time.Microsecond
	// cacheTokens bounds the prefix cache, oldest use first out.
	cacheTokens = 200_000
	blockTokens = 512
	// restartTime is how long a crashed engine is away.
	restartTime = 10 * time.Second
)

// job is one request, or one part of a group, on an engine.
type job struct {
	request  *request
	priority int
	prompt   int
	prefill  int // uncached tokens left
	uncached int
	produced int
	order    int
	engine   *engine
	group    *group
	// silent members of a group hold memory and produce nothing.
	silent    bool
	paused    func() bool
	onToken   func(index int)
	onEnd     func(failed bool)
	onPrefill func()
	prefilled bool
}

// group joins the jobs of one prompt; rank 0 generates when all parts are processed.
type group struct {
	waiting int
}

type engine struct {
	loop    *loop
	id      namer.Target
	centre  namer.DataCentre
	jobs    []*job
	held    int
	number  int
	active  bool
	down    bool
	crashes int
	peak    int
	gaps    *histogram
	cache   map[uint64]int // block to last use
	uses    int
	// onStored and onEvicted are the cache events.
	onStored  func(prefix uint64)
	onEvicted func(prefix uint64)
}

func newEngine(l *loop, id namer.Target, centre namer.DataCentre, gaps *histogram) *engine {
	return &engine{
		loop:   l,
		id:     id,
		centre: centre,
		gaps:   gaps,
		cache:  map[uint64]int{},
	}
}

// submit starts a job, or fails it when the engine is down.
func (e *engine) submit(j *job) {
	if e.down {
		j.onEnd(true)
		return
	}
	e.number++
	j.order = e.number
	j.engine = e
	cached := e.cached(j.request.prefix)
	if j.group != nil {
		cached = 0
	}
	j.request.cached = cached
	j.prefill = max(j.prompt-cached, 1)
	j.uncached = j.prefill
	e.jobs = append(e.jobs, j)
	slices.SortStableFunc(e.jobs, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.order - b.order
	})
	e.hold(j.prompt)
	e.wake()
}

// hold counts memory; the engine crashes when it is outgrown.
func (e *engine) hold(tokens int) {
	e.held += tokens
	e.peak = max(e.peak, e.held)
	if e.held <= engineTokens || e.down {
		return
	}
	e.crashes++
	e.down = true
	failed := e.jobs
	e.jobs = nil
	e.held = 0
	clear(e.cache)
	for _, one := range failed {
		one.onEnd(true)
	}
	e.loop.after(restartTime, func() {
		e.down = false
	})
}

// cancel removes a job before its end.
func (e *engine) cancel(j *job) {
	place := slices.Index(e.jobs, j)
	if place < 0 {
		return
	}
	e.jobs = slices.Delete(e.jobs, place, place+1)
	e.held -= j.prompt + j.produced
}

func (e *engine) cached(prefix []uint64) int {
	blocks := 0
	for _, one := range prefix {
		if _, found := e.cache[one]; !found {
			break
		}
		blocks++
	}
	for _, one := range prefix[:blocks] {
		e.uses++
		e.cache[one] = e.uses
	}
	return blocks * blockTokens
}

func (e *engine) store(prefix []uint64) {
	for _, one := range prefix {
		e.uses++
		e.cache[one] = e.uses
		if e.onStored != nil {
			e.onStored(one)
		}
	}
	if len(e.cache) <= cacheTokens/blockTokens {
		return
	}
	blocks := make([]uint64, 0, len(e.cache))
	for one := range e.cache {
		blocks = append(blocks, one)
	}
	slices.SortFunc(blocks, func(a, b uint64) int {
		return e.cache[a] - e.cache[b]
	})
	// A quarter at a time, so that the sort is rare.
	for _, one := range blocks[:len(blocks)-cacheTokens/blockTokens*3/4] {
		delete(e.cache, one)
		if e.onEvicted != nil {
			e.onEvicted(one)
		}
	}
}

// queueTokens returns the uncached tokens still to be processed.
func (e *engine) queueTokens() int {
	total := 0
	for _, one := range e.jobs {
		total += one.prefill
	}
	return total
}

// wake runs steps while there is work.
func (e *engine) wake() {
	if e.active {
		return
	}
	var prefilling []*job
	tokens, running := 0, 0
	var decoding []*job
	for _, one := range e.jobs {
		switch {
		case one.prefill > 0:
			part := min(one.prefill, chunkTokens-tokens)
			if part > 0 {
				one.prefill -= part
				tokens += part
				running++
				if one.prefill == 0 {
					prefilling = append(prefilling, one)
				}
			}
		case one.silent || (one.group != nil && one.group.waiting > 0):
		case one.paused != nil && one.paused():
		default:
			decoding = append(decoding, one)
			running++
		}
	}
	if running == 0 {
		return
	}
	e.active = true
	step := stepBase + time.Duration(running)*stepPerSequence +
		time.Duration(float64(tokens)/prefillPerSecond*float64(time.Second))
	e.loop.after(step, func() {
		e.active = false
		e.finishStep(step, prefilling, decoding)
		e.wake()
	})
}

func (e *engine) finishStep(step time.Duration, prefilling, decoding []*job) {
	for _, one := range prefilling {
		if !slices.Contains(e.jobs, one) {
			continue
		}
		one.prefilled = true
		if one.group != nil {
			one.group.waiting--
		} else {
			e.store(one.request.prefix)
		}
		if one.onPrefill != nil {
			one.onPrefill()
		}
		if !one.silent && one.group == nil {
			e.produce(one)
		}
	}
	for _, one := range decoding {
		if !slices.Contains(e.jobs, one) {
			continue
		}
		e.gaps.add(step)
		e.produce(one)
		if e.down {
			return
		}
	}
}

func (e *engine) produce(j *job) {
	index := j.produced
	j.produced++
	e.hold(1)
	if e.down {
		return
	}
	if j.onToken != nil {
		j.onToken(index)
	}
	if j.produced >= j.request.produce {
		e.cancel(j)
		j.onEnd(false)
	}
}

// idleTime returns the time of a prompt and its answer on an idle engine, the bound of any policy.
func idleTime(uncached, produce int) (firstToken, total time.Duration) {
	steps := time.Duration((uncached + chunkTokens - 1) / chunkTokens)
	step := stepBase + stepPerSequence
	firstToken = steps*step + time.Duration(float64(uncached)/prefillPerSecond*float64(time.Second))
	return firstToken, firstToken + time.Duration(produce-1)*step
}
