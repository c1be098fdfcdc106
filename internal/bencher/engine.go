package bencher

import (
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Parameters of the fake engine, which does continuous batching in steps.
const (
	engineMemoryTokens     = 450_000
	prefillTokensPerSecond = 60_000
	prefillChunkTokens     = 2_048
	stepBase               = 15 * time.Millisecond
	stepPerSequence        = 200 * time.Microsecond
	// cacheTokens is the size of the prefix cache, which evicts the least recently used blocks.
	cacheTokens = 200_000
	blockTokens = 512
	// restartDelay is how long a crashed engine is down.
	restartDelay = 10 * time.Second
)

// job is one request on an engine, or the part of it that one engine of a group processes.
type job struct {
	request          *request
	priority         int
	promptTokens     int
	remainingPrefill int // uncached tokens still to be prefilled
	uncachedTokens   int
	producedTokens   int
	submissionOrder  int
	engine           *engine
	group            *group
	// memoryOnly marks the members of a group other than rank 0: they prefill and hold memory, but
	// generate no tokens.
	memoryOnly bool
	paused     func() bool
	onToken    func(index int)
	onEnd      func(failed bool)
	onPrefill  func()
	prefilled  bool
}

// group connects the jobs that process one prompt together. Rank 0 generates tokens once all jobs have
// finished prefill.
type group struct {
	pendingPrefills int
}

// engine is a fake engine that serves one target.
type engine struct {
	loop           *loop
	id             namer.Target
	centre         namer.DataCentre
	jobs           []*job
	usedTokens     int
	submissions    int
	stepRunning    bool
	down           bool
	crashes        int
	peakTokens     int
	tokenIntervals *histogram
	cache          map[uint64]int // from block to the use count at its last use
	useCount       int
	// onStored and onEvicted are called when a block enters or leaves the prefix cache.
	onStored  func(block uint64)
	onEvicted func(block uint64)
}

func newEngine(l *loop, id namer.Target, centre namer.DataCentre, tokenIntervals *histogram) *engine {
	return &engine{
		loop:           l,
		id:             id,
		centre:         centre,
		tokenIntervals: tokenIntervals,
		cache:          map[uint64]int{},
	}
}

// submit adds a job to the batch, or fails it if the engine is down.
func (e *engine) submit(j *job) {
	if e.down {
		j.onEnd(true)
		return
	}
	e.submissions++
	j.submissionOrder = e.submissions
	j.engine = e
	cached := e.useCachedPrefix(j.request.prefixBlocks)
	if j.group != nil {
		cached = 0
	}
	j.request.cachedTokens = cached
	j.remainingPrefill = max(j.promptTokens-cached, 1)
	j.uncachedTokens = j.remainingPrefill
	e.jobs = append(e.jobs, j)
	slices.SortStableFunc(e.jobs, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.submissionOrder - b.submissionOrder
	})
	e.allocate(j.promptTokens)
	e.startStep()
}

// allocate takes memory for tokens. If the engine runs out of memory, it crashes and fails all jobs.
func (e *engine) allocate(tokens int) {
	e.usedTokens += tokens
	e.peakTokens = max(e.peakTokens, e.usedTokens)
	if e.usedTokens <= engineMemoryTokens || e.down {
		return
	}
	e.crashes++
	e.down = true
	failed := e.jobs
	e.jobs = nil
	e.usedTokens = 0
	clear(e.cache)
	for _, j := range failed {
		j.onEnd(true)
	}
	e.loop.after(restartDelay, func() {
		e.down = false
	})
}

// removeJob removes a finished or cancelled job and frees its memory.
func (e *engine) removeJob(j *job) {
	index := slices.Index(e.jobs, j)
	if index < 0 {
		return
	}
	e.jobs = slices.Delete(e.jobs, index, index+1)
	e.usedTokens -= j.promptTokens + j.producedTokens
}

// useCachedPrefix returns the number of leading tokens that are cached and marks their blocks as used.
func (e *engine) useCachedPrefix(prefix []uint64) int {
	blocks := 0
	for _, block := range prefix {
		if _, found := e.cache[block]; !found {
			break
		}
		blocks++
	}
	for _, block := range prefix[:blocks] {
		e.useCount++
		e.cache[block] = e.useCount
	}
	return blocks * blockTokens
}

// storePrefix adds blocks to the prefix cache and evicts the least recently used ones if it is full.
func (e *engine) storePrefix(prefix []uint64) {
	for _, block := range prefix {
		e.useCount++
		e.cache[block] = e.useCount
		if e.onStored != nil {
			e.onStored(block)
		}
	}
	if len(e.cache) <= cacheTokens/blockTokens {
		return
	}
	blocks := make([]uint64, 0, len(e.cache))
	for block := range e.cache {
		blocks = append(blocks, block)
	}
	slices.SortFunc(blocks, func(a, b uint64) int {
		return e.cache[a] - e.cache[b]
	})
	// Evicts a quarter of the cache at a time, so that sorting is rare.
	for _, block := range blocks[:len(blocks)-cacheTokens/blockTokens*3/4] {
		delete(e.cache, block)
		if e.onEvicted != nil {
			e.onEvicted(block)
		}
	}
}

// pendingPrefillTokens returns the uncached tokens of all jobs that are still to be prefilled.
func (e *engine) pendingPrefillTokens() int {
	total := 0
	for _, j := range e.jobs {
		total += j.remainingPrefill
	}
	return total
}

// startStep starts the next step of continuous batching unless one is running or no job can proceed.
// Each step starts the next one when it ends.
func (e *engine) startStep() {
	if e.stepRunning {
		return
	}
	var prefilling []*job
	tokens, running := 0, 0
	var decoding []*job
	for _, j := range e.jobs {
		switch {
		case j.remainingPrefill > 0:
			part := min(j.remainingPrefill, prefillChunkTokens-tokens)
			if part > 0 {
				j.remainingPrefill -= part
				tokens += part
				running++
				if j.remainingPrefill == 0 {
					prefilling = append(prefilling, j)
				}
			}
		case j.memoryOnly || (j.group != nil && j.group.pendingPrefills > 0):
		case j.paused != nil && j.paused():
		default:
			decoding = append(decoding, j)
			running++
		}
	}
	if running == 0 {
		return
	}
	e.stepRunning = true
	step := stepBase + time.Duration(running)*stepPerSequence +
		time.Duration(float64(tokens)/prefillTokensPerSecond*float64(time.Second))
	e.loop.after(step, func() {
		e.stepRunning = false
		e.finishStep(step, prefilling, decoding)
		e.startStep()
	})
}

func (e *engine) finishStep(step time.Duration, prefilling, decoding []*job) {
	for _, j := range prefilling {
		if !slices.Contains(e.jobs, j) {
			continue
		}
		j.prefilled = true
		if j.group != nil {
			j.group.pendingPrefills--
		} else {
			e.storePrefix(j.request.prefixBlocks)
		}
		if j.onPrefill != nil {
			j.onPrefill()
		}
		if !j.memoryOnly && j.group == nil {
			e.produceToken(j)
		}
	}
	for _, j := range decoding {
		if !slices.Contains(e.jobs, j) {
			continue
		}
		e.tokenIntervals.add(step)
		e.produceToken(j)
		if e.down {
			return
		}
	}
}

func (e *engine) produceToken(j *job) {
	index := j.producedTokens
	j.producedTokens++
	e.allocate(1)
	if e.down {
		return
	}
	if j.onToken != nil {
		j.onToken(index)
	}
	if j.producedTokens >= j.request.outputTokens {
		e.removeJob(j)
		j.onEnd(false)
	}
}

// idleTime returns the time to the first token and the total time of a request that runs alone on an
// engine: the lower bound for every policy.
func idleTime(uncachedTokens, outputTokens int) (firstToken, total time.Duration) {
	steps := time.Duration((uncachedTokens + prefillChunkTokens - 1) / prefillChunkTokens)
	step := stepBase + stepPerSequence
	firstToken = steps*step + time.Duration(float64(uncachedTokens)/prefillTokensPerSecond*float64(time.Second))
	return firstToken, firstToken + time.Duration(outputTokens-1)*step
}
