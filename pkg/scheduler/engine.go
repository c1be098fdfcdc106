package scheduler

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// engine is the scheduler's simulation of one engine. An engine works in passes: a pass prefills the prompts that were waiting
// when it began and, if any requests are in decode, produces one event for each of them. So a stream pauses for the length of a
// pass.
type engine struct {
	Engine
	preference uint64
	// current is prefilled in the pass that ends at passEnd; waiting is prefilled in the next one.
	current []prefill
	waiting []prefill
	passEnd time.Time
	// runs are the requests that this engine answers.
	runs map[namer.Request]*run
	// decoding is the number of requests past their first event, and contextTokens their total prompt length.
	decoding      int
	contextTokens int
	// plannedMemory is in tokens.
	plannedMemory int
	// helperParts counts the prompts of which this engine prefills a part for another engine.
	helperParts int
	failures    int
	// pace estimates the slowdown, the factor by which the engine is slower than published.
	pace     pace
	slowdown float64
	// backoffSince is when the last backoff began.
	backoffSince time.Time
	// backoffUntil is when the engine may be used again after failures.
	backoffUntil time.Time
	// coldSince is the start of the window over which requests to a cold engine are counted.
	coldSince time.Time
	coldCount int
	// wholeLimits apply to a whole prompt and partLimits to a part of one, and leastPause is the shortest pause limit; all are cached for
	// the round in limitsRound.
	wholeLimits []limit
	partLimits  []limit
	leastPause  time.Duration
	limitsRound int
	// kept is the demand of a higher rank for which the engine is kept, or nil.
	kept *kept
}

// prefill is the prefill work of one request on one engine.
type prefill struct {
	run  *run
	work time.Duration
	// arrives is when the request reaches the engine; passes that begin earlier don't include it.
	arrives time.Time
}

func newEngine() *engine {
	return &engine{
		runs:     map[namer.Request]*run{},
		slowdown: 1,
	}
}

// prefillTime returns the time that an engine takes to prefill one of several equal parts of a prompt, without the steps for
// requests in decode.
func prefillTime(speed *matcher.Engine, prompt, parts int) time.Duration {
	tokens := float64(prompt) / float64(parts)
	pairs := float64(prompt) * float64(prompt) / 2 / float64(parts)
	return seconds(tokens/speed.PrefillRate) + time.Duration(pairs/1e6*float64(speed.PrefillPerMillionPairs))
}

// stepTime returns the duration of one token step with the current requests in decode.
func (e *engine) stepTime() time.Duration {
	s := &e.Speed
	published := s.Step + time.Duration(e.decoding)*s.StepPerDecodingRequest +
		time.Duration(float64(e.contextTokens)/1000*float64(s.StepPerThousandTokens))
	return time.Duration(e.slowdown * float64(published))
}

// decodeTime returns the duration of a pass without prefill; it is 0 if no request is in decode.
func (e *engine) decodeTime() time.Duration {
	if e.decoding == 0 {
		return 0
	}
	return time.Duration(e.Speed.StepsPerPass) * e.stepTime()
}

// partTime returns the time that one part of a prompt takes. If requests are in decode, the steps belong to their pass
// anyway and are not added.
func (e *engine) partTime(prompt, parts int) time.Duration {
	work := time.Duration(e.slowdown * float64(prefillTime(&e.Speed, prompt, parts)))
	if e.decoding > 0 {
		return work
	}
	chunks := math.Ceil(float64(prompt) / float64(parts) / float64(e.Speed.ChunkTokens))
	return work + time.Duration(chunks*float64(e.stepTime()))
}

func totalWork(work []prefill) time.Duration {
	sum := time.Duration(0)
	for _, p := range work {
		sum += p.work
	}
	return sum
}

// advance simulates the passes up to the current time.
func (e *engine) advance(now time.Time) {
	for !e.passEnd.After(now) {
		if e.idle() {
			e.passEnd = now
			return
		}
		e.nextPass(e.passEnd)
	}
}

func (e *engine) idle() bool {
	return len(e.waiting) == 0 && e.decoding == 0
}

// nextPass starts a pass that includes the work that has arrived by then.
func (e *engine) nextPass(start time.Time) {
	e.current = e.current[:0]
	waiting := e.waiting[:0]
	for _, p := range e.waiting {
		if p.arrives.After(start) {
			waiting = append(waiting, p)
			continue
		}
		e.current = append(e.current, p)
	}
	e.waiting = waiting
	length := totalWork(e.current) + e.decodeTime()
	if length <= 0 {
		length = e.Speed.Step
	}
	e.passEnd = start.Add(length)
	for _, r := range e.runs {
		if r.started && r.request.MaxPause > 0 && length > r.request.MaxPause {
			r.objectiveMissed = true
		}
	}
}

// enqueue adds prefill work. A part of a shared prompt runs before other work, unless the current pass includes requests in
// decode: such a pass isn't interrupted.
func (e *engine) enqueue(now time.Time, r *run, work, transit time.Duration) {
	e.advance(now)
	p := prefill{
		run:     r,
		work:    work,
		arrives: now.Add(transit),
	}
	switch {
	case !e.passEnd.After(now):
		p.arrives = now
		e.waiting = append(e.waiting, p)
		e.nextPass(now)
	case r.shared() && e.decoding == 0:
		e.current = append(e.current, p)
		e.passEnd = e.passEnd.Add(work)
	default:
		e.waiting = append(e.waiting, p)
	}
}

// finishTime predicts when prefill work that is sent now would be complete.
func (e *engine) finishTime(now time.Time, work, transit time.Duration, shared bool) time.Time {
	e.advance(now)
	switch {
	case !e.passEnd.After(now) || shared && e.decoding == 0:
		return now.Add(work)
	case e.passEnd.Before(now.Add(transit)) && e.decoding > 0:
		// The work arrives after the next pass has begun.
		return e.passEnd.Add(totalWork(e.waiting) + e.decodeTime() + work + e.decodeTime())
	default:
		return e.passEnd.Add(totalWork(e.waiting) + work + e.decodeTime())
	}
}

// sharedBacklog returns the prefill time of the parts of shared prompts that a new part would push back.
func (e *engine) sharedBacklog(now time.Time) time.Duration {
	if e.decoding > 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, p := range e.current {
		if p.run.shared() {
			sum += p.work
		}
	}
	return max(0, min(sum, e.passEnd.Sub(now)))
}

// backlog returns the time until new prefill work would start.
func (e *engine) backlog(now time.Time) time.Duration {
	e.advance(now)
	return max(0, e.passEnd.Sub(now)) + totalWork(e.waiting)
}

// remove drops the prefill work of a request and reports whether it was in the current pass.
func (e *engine) remove(id namer.Request) bool {
	match := func(p prefill) bool { return p.run.request.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	before := len(e.current)
	e.current = slices.DeleteFunc(e.current, match)
	return len(e.current) != before
}

// passEnded corrects the model when a first event arrives, which marks the end of a pass. Without requests in decode, an
// engine prefills one prompt after the other.
func (e *engine) passEnded(now time.Time, id namer.Request) {
	wasDecoding := e.decoding > 0
	switch {
	case !e.remove(id):
		// The prediction was off: assume that the next pass begins now.
		e.passEnd = now.Add(totalWork(e.current) + e.decodeTime())
	case wasDecoding || len(e.current) == 0:
		// Other work of the same pass is complete, too.
		e.current = e.current[:0]
		e.passEnd = now
	}
}

// limit bounds additional prefill work on an engine: work longer than room costs the given value, in prompt tokens.
type limit struct {
	room  time.Duration
	value float64
}

// limits appends the limits on additional prefill work: streams that would pause for too long, or until their caller leaves, and prompts
// whose first event would be late, or after their caller has left. Objectives that are missed already are left out.
func (e *engine) limits(list []limit, now time.Time, margin time.Duration, shared bool) []limit {
	e.advance(now)
	add := func(room time.Duration, value float64) {
		if room >= 0 {
			list = append(list, limit{
				room:  room,
				value: value,
			})
		}
	}
	delay := func(r *run, first time.Time) {
		value := float64(r.request.value())
		add(r.firstEventDue().Sub(first), (1-lateShare)*value)
		add(r.request.latestStart(&e.Speed).Sub(first), lateShare*value)
	}
	pass := totalWork(e.waiting) + max(e.decodeTime(), time.Duration(e.Speed.StepsPerPass)*e.stepTime())
	for _, r := range e.runs {
		if e.isWaiting(r) {
			continue
		}
		value := float64(r.request.value())
		if r.request.MaxPause > 0 && !r.objectiveMissed {
			add(r.request.MaxPause-margin-pass, (1-lateShare)*value)
		}
		if r.request.Patience > 0 {
			add(r.request.Patience-margin-pass, lateShare*value)
		}
	}
	queueEnd := e.passEnd.Add(totalWork(e.waiting) + e.decodeTime())
	for _, p := range e.waiting {
		delay(p.run, queueEnd)
	}
	if shared && e.decoding == 0 {
		for _, p := range e.current {
			if !p.run.started {
				delay(p.run, e.passEnd)
			}
		}
	}
	return list
}

// isWaiting reports whether a request is prefilled in the next pass at the earliest.
func (e *engine) isWaiting(r *run) bool {
	return slices.ContainsFunc(e.waiting, func(p prefill) bool { return p.run == r })
}

// valueLost returns the total value of the limits that prefill work of this length exceeds.
func valueLost(limits []limit, work time.Duration) float64 {
	sum := 0.0
	for _, l := range limits {
		if work > l.room {
			sum += l.value
		}
	}
	return sum
}

// minPause returns the shortest pause limit of the engine's streams, or noPauseLimit.
func (e *engine) minPause() time.Duration {
	least := noPauseLimit
	for _, r := range e.runs {
		if r.request.MaxPause > 0 && !r.objectiveMissed {
			least = min(least, r.request.MaxPause)
		}
	}
	return least
}

// noPauseLimit is the pause limit of an engine whose streams have none.
const noPauseLimit = time.Duration(math.MaxInt64)

// freeMemory returns the unplanned memory in tokens, given the share of memory that may be planned.
func (e *engine) freeMemory(share float64) int {
	return int(share*float64(e.Speed.MemoryTokens)) - e.plannedMemory
}

// mayHelp reports whether the engine may prefill a part of one more prompt for another engine.
func (e *engine) mayHelp() bool {
	return e.helperParts < e.Slots
}

// usable reports whether the engine may receive a request now.
func (e *engine) usable(now time.Time) bool {
	return !now.Before(e.backoffUntil) && e.withinColdRate(now)
}

// coldWindow is the time over which requests to a cold engine are counted.
const coldWindow = time.Second

func (e *engine) withinColdRate(now time.Time) bool {
	if !now.Before(e.ColdUntil) || e.ColdRate <= 0 {
		return true
	}
	sent := e.coldCount
	if now.Sub(e.coldSince) >= coldWindow {
		sent = 0
	}
	return float64(sent+1) <= e.ColdRate
}

// countColdRequest counts a request against the rate limit of a cold engine.
func (e *engine) countColdRequest(now time.Time) {
	if now.Sub(e.coldSince) >= coldWindow {
		e.coldSince = now
		e.coldCount = 0
	}
	e.coldCount++
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
