package scheduler

import (
	"math"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// engine is what is known of one engine. It works in passes: a pass reads what waited when it began and, if requests are
// writing, writes one event of each. So a stream pauses for as long as a pass takes.
type engine struct {
	Engine
	preference uint64
	// current is read in the pass that ends at passEnd; waiting is read in the next one.
	current []piece
	waiting []piece
	passEnd time.Time
	// runs are the requests that this engine answers.
	runs map[namer.Request]*run
	// writers and context describe the requests that are past their first event.
	writers int
	context int
	// memory is planned in tokens.
	memory int
	// helping counts the prompts that this engine reads a part of for another.
	helping  int
	failures int
	// suspected is when the last suspicion began.
	suspected time.Time
	// avoidUntil ends the suspicion after failures.
	avoidUntil time.Time
	// coldSince begins the window in which requests to a cold engine are counted.
	coldSince time.Time
	coldSent  int
	// alone and shared bound a whole prompt and a part of one; they are those of the round in weighed.
	alone   []limit
	shared  []limit
	weighed int
}

// piece is the reading of one request on one engine.
type piece struct {
	run  *run
	work time.Duration
	// arrives is when the engine gets the request: a pass that begins before does not read it.
	arrives time.Time
}

func newEngine() *engine {
	return &engine{
		runs: map[namer.Request]*run{},
	}
}

// readTime returns the time that an engine needs to read a share of a prompt, without its steps for writers.
func readTime(speed *matcher.Engine, prompt, parts int) time.Duration {
	tokens := float64(prompt) / float64(parts)
	pairs := float64(prompt) * float64(prompt) / 2 / float64(parts)
	return seconds(tokens/speed.ReadRate) + time.Duration(pairs/1e6*float64(speed.ReadPerMillionPairs))
}

// step is the duration of one token step with the present writers.
func (e *engine) step() time.Duration {
	s := &e.Speed
	return s.Step + time.Duration(e.writers)*s.StepPerWriter +
		time.Duration(float64(e.context)/1000*float64(s.StepPerThousandTokens))
}

// writing is the duration of a pass that reads nothing; it is 0 without writers.
func (e *engine) writing() time.Duration {
	if e.writers == 0 {
		return 0
	}
	return time.Duration(e.Speed.StepsPerPass) * e.step()
}

// part is the time that a share of a prompt takes. The steps in which it is read belong to a pass with writers anyway.
func (e *engine) part(prompt, parts int) time.Duration {
	work := readTime(&e.Speed, prompt, parts)
	if e.writers > 0 {
		return work
	}
	chunks := math.Ceil(float64(prompt) / float64(parts) / float64(e.Speed.ChunkTokens))
	return work + time.Duration(chunks*float64(e.step()))
}

func total(pieces []piece) time.Duration {
	sum := time.Duration(0)
	for _, p := range pieces {
		sum += p.work
	}
	return sum
}

// advance follows the passes up to now.
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
	return len(e.waiting) == 0 && e.writers == 0
}

// nextPass begins a pass at a time. It reads what has arrived by then.
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
	length := total(e.current) + e.writing()
	if length <= 0 {
		length = e.Speed.Step
	}
	e.passEnd = start.Add(length)
	for _, r := range e.runs {
		if r.started && r.request.Pause > 0 && length > r.request.Pause {
			r.spoiled = true
		}
	}
}

// read adds a piece. A part of a shared prompt is read before all else; only a pass in which requests are writing is not
// interrupted for it.
func (e *engine) read(now time.Time, r *run, work, transit time.Duration) {
	e.advance(now)
	p := piece{
		run:     r,
		work:    work,
		arrives: now.Add(transit),
	}
	switch {
	case !e.passEnd.After(now):
		p.arrives = now
		e.waiting = append(e.waiting, p)
		e.nextPass(now)
	case r.shared() && e.writers == 0:
		e.current = append(e.current, p)
		e.passEnd = e.passEnd.Add(work)
	default:
		e.waiting = append(e.waiting, p)
	}
}

// ends predicts when a piece of reading that is sent now would be done.
func (e *engine) ends(now time.Time, work, transit time.Duration, shared bool) time.Time {
	e.advance(now)
	switch {
	case !e.passEnd.After(now) || shared && e.writers == 0:
		return now.Add(work)
	case e.passEnd.Before(now.Add(transit)) && e.writers > 0:
		// It misses the next pass, too.
		return e.passEnd.Add(total(e.waiting) + e.writing() + work + e.writing())
	default:
		return e.passEnd.Add(total(e.waiting) + work + e.writing())
	}
}

// backlog is the time before a new piece would begin to be read.
func (e *engine) backlog(now time.Time) time.Duration {
	e.advance(now)
	return max(0, e.passEnd.Sub(now)) + total(e.waiting)
}

// remove forgets the piece of a request and reports whether it was being read.
func (e *engine) remove(id namer.Request) bool {
	match := func(p piece) bool { return p.run.request.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	before := len(e.current)
	e.current = slices.DeleteFunc(e.current, match)
	return len(e.current) != before
}

// passed records that a pass has ended at now, since a first event comes at the end of one. Without writers, an engine
// reads one piece after the other.
func (e *engine) passed(now time.Time, id namer.Request) {
	wrote := e.writers > 0
	switch {
	case !e.remove(id):
		// The prediction was ahead or behind: the next pass begins now.
		e.passEnd = now.Add(total(e.current) + e.writing())
	case wrote || len(e.current) == 0:
		// What was read in the same pass is done too.
		e.current = e.current[:0]
		e.passEnd = now
	}
}

// limit is a bound on further reading at an engine: more than room takes value from a request.
type limit struct {
	room  time.Duration
	value int
}

// limits appends to a list what further reading would harm: streams that would pause for too long, and prompts in line whose first
// event would be too late. What is late or has paused for too long already is not harmed.
func (e *engine) limits(list []limit, now time.Time, margin time.Duration, shared bool) []limit {
	e.advance(now)
	add := func(r *run, room time.Duration) {
		if room >= 0 && !r.spoiled {
			list = append(list, limit{
				room:  room,
				value: r.request.value(),
			})
		}
	}
	pass := total(e.waiting) + max(e.writing(), time.Duration(e.Speed.StepsPerPass)*e.step())
	for _, r := range e.runs {
		if r.request.Pause > 0 && !e.waits(r) {
			add(r, r.request.Pause-margin-pass)
		}
	}
	inLine := e.passEnd.Add(total(e.waiting) + e.writing())
	for _, p := range e.waiting {
		add(p.run, p.run.target().Sub(inLine))
	}
	if shared && e.writers == 0 {
		for _, p := range e.current {
			add(p.run, p.run.target().Sub(e.passEnd))
		}
	}
	return list
}

// waits reports whether a request is read in the next pass at the earliest.
func (e *engine) waits(r *run) bool {
	return slices.ContainsFunc(e.waiting, func(p piece) bool { return p.run == r })
}

// harm is the value that a piece of reading takes from others.
func harm(limits []limit, work time.Duration) int {
	sum := 0
	for _, l := range limits {
		if work > l.room {
			sum += l.value
		}
	}
	return sum
}

// tolerance is the shortest pause that a stream on the engine tolerates; it is noBound without such streams.
func (e *engine) tolerance() time.Duration {
	least := noBound
	for _, r := range e.runs {
		if r.request.Pause > 0 && !r.spoiled {
			least = min(least, r.request.Pause)
		}
	}
	return least
}

// noBound is longer than any pause.
const noBound = time.Duration(math.MaxInt64)

// free is the memory that is not planned.
func (e *engine) free(share float64) int {
	return int(share*float64(e.Speed.MemoryTokens)) - e.memory
}

// usable reports whether the engine may take a request now.
func (e *engine) usable(now time.Time) bool {
	return !now.Before(e.avoidUntil) && e.coldRoom(now)
}

// coldWindow is the time over which requests to a cold engine are counted.
const coldWindow = time.Second

func (e *engine) coldRoom(now time.Time) bool {
	if !now.Before(e.ColdUntil) || e.ColdRate <= 0 {
		return true
	}
	sent := e.coldSent
	if now.Sub(e.coldSince) >= coldWindow {
		sent = 0
	}
	return float64(sent+1) <= e.ColdRate
}

// sent counts a request, so that a cold engine does not get more than it bears.
func (e *engine) sent(now time.Time) {
	if now.Sub(e.coldSince) >= coldWindow {
		e.coldSince = now
		e.coldSent = 0
	}
	e.coldSent++
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
