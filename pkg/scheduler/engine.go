package scheduler

import (
	"math"
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// engine is what is known of one engine.
type engine struct {
	Engine
	// readUntil is when the reading placed so far is predicted to end.
	readUntil time.Time
	// parts are the pieces of prompts that are not known to have been read, by request.
	parts map[namer.Request]piece
	// requests counts those that this engine answers.
	requests int
	// writers and context describe the requests that are past their first event.
	writers int
	context int
	// memory is planned in tokens.
	memory int
	// helping counts the prompts that this engine reads a part of for another.
	helping  int
	failures int
	// avoidUntil ends the suspicion after failures.
	avoidUntil time.Time
	// coldWindow and coldSent count requests while cold.
	coldWindow time.Time
	coldSent   int
}

// piece is the reading of one request on one engine.
type piece struct {
	work time.Duration
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

// pass is the duration of a pass without reading.
func (e *engine) pass() time.Duration {
	return time.Duration(e.Speed.StepsPerPass) * e.step()
}

// part is the time that a share of a prompt takes with the steps in which it is read.
func (e *engine) part(prompt, parts int) time.Duration {
	chunks := math.Ceil(float64(prompt) / float64(parts) / float64(e.Speed.ChunkTokens))
	return readTime(&e.Speed, prompt, parts) + time.Duration(chunks*float64(e.step()))
}

// backlog is the reading that is predicted to wait.
func (e *engine) backlog(now time.Time) time.Duration {
	return max(0, e.readUntil.Sub(now))
}

// read adds a piece.
func (e *engine) read(now time.Time, id namer.Request, work time.Duration) {
	start := now
	if e.readUntil.After(now) {
		start = e.readUntil
	}
	e.readUntil = start.Add(work)
	e.parts[id] = piece{
		work: work,
	}
}

// settle forgets a piece that has been read or given up, and corrects the prediction from what is left.
func (e *engine) settle(now time.Time, id namer.Request) {
	if _, known := e.parts[id]; !known {
		return
	}
	delete(e.parts, id)
	left := time.Duration(0)
	for _, p := range e.parts {
		left += p.work
	}
	if latest := now.Add(left); e.readUntil.After(latest) {
		e.readUntil = latest
	}
}

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
	if !now.Before(e.ColdUntil) || e.ColdRate <= 0 || now.Sub(e.coldWindow) >= coldWindow {
		return true
	}
	return float64(e.coldSent) < e.ColdRate
}

func (e *engine) sent(now time.Time) {
	if now.Sub(e.coldWindow) >= coldWindow {
		e.coldWindow = now
		e.coldSent = 0
	}
	e.coldSent++
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
