package engine

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/answerer"
	"bergamothollow.example/bergamothollow/internal/emulator/engine/stepper"
)

// maxStepDelay is how far steps may fall behind the clock before the missed time is skipped, as after a process pause.
const maxStepDelay = 100 * time.Millisecond

// Options are the properties of an emulated engine.
type Options struct {
	Stepper stepper.Options
	// Model is the model loaded at the start.
	Model string
	// GroupContext says whether the engine accepts parts of a context that is split over several engines.
	GroupContext bool
	// OrderTime is how long a load or a change of role takes.
	OrderTime time.Duration
	// Speed is the factor by which emulated time runs faster.
	Speed float64
	// Crash ends the process.
	Crash func(error)
}

// errDied is the crash reason of the die fault.
var errDied = errors.New("died by an injected fault")

// Engine runs a stepper in emulated time and passes its tokens to the open streams.
type Engine struct {
	options Options
	bootID  string
	clock   clock
	wake    chan struct{}
	// accepted counts admitted requests.
	accepted atomic.Int64

	mu      sync.Mutex
	stepper *stepper.Stepper
	orders  orders
	streams map[string]*stream
}

// stream is the state of one answer; its text is computed when it is written, so that slow readers need no buffer.
type stream struct {
	answer answerer.Answer
	// produced is the index of the next token that is not available yet.
	produced  int
	finished  bool
	cancelled bool
	silent    bool
	changed   chan struct{}
}

// progress is a snapshot of a stream's state.
type progress struct {
	produced  int
	finished  bool
	cancelled bool
	silent    bool
}

// New returns an engine that starts now, cold; Loop must run for it to make progress.
func New(o Options) *Engine {
	c := clock{
		start: time.Now(),
		speed: o.Speed,
	}
	return &Engine{
		options: o,
		bootID:  rand.Text(),
		clock:   c,
		wake:    make(chan struct{}, 1),
		stepper: stepper.New(c.Now(), o.Stepper),
		orders: orders{
			duration: o.OrderTime,
			setup: Setup{
				Model: o.Model,
			},
		},
		streams: map[string]*stream{},
	}
}

// Loop runs steps in emulated time until the context ends.
func (e *Engine) Loop(ctx context.Context) {
	at := e.clock.Now()
	for ctx.Err() == nil {
		e.mu.Lock()
		result := e.stepper.Step(at)
		e.mu.Unlock()
		if result.Duration == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			at = e.clock.Now()
			continue
		}
		at = at.Add(result.Duration)
		if wait := at.Sub(e.clock.Now()); wait > 0 {
			<-e.clock.After(wait)
		} else if -wait > time.Duration(float64(maxStepDelay)*e.options.Speed) {
			at = e.clock.Now()
		}
		e.deliver(result.Tokens)
	}
}

func (e *Engine) deliver(tokens []stepper.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, token := range tokens {
		s := e.streams[token.RequestID]
		if s == nil {
			continue
		}
		s.produced = token.Index + 1
		s.finished = token.Last
		s.notify()
		if token.Last {
			delete(e.streams, token.RequestID)
		}
	}
}

func (s *stream) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (e *Engine) submit(r stepper.Request, prompt string) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.stepper.Submit(e.clock.Now(), r); err != nil {
		return nil, err
	}
	s := &stream{
		answer:   answerer.New(prompt),
		produced: r.ResumeFrom,
		changed:  make(chan struct{}, 1),
	}
	e.streams[r.ID] = s
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

// cancel ends the request and frees its memory; it reports whether the request was running.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.cancelled = true
		s.notify()
		delete(e.streams, id)
	}
	return e.stepper.Cancel(e.clock.Now(), id)
}

// abandon cancels the request of a closed connection, unless its id has passed to another stream.
func (e *Engine) abandon(id string, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == s {
		delete(e.streams, id)
		e.stepper.Cancel(e.clock.Now(), id)
	}
}

func (e *Engine) progress(s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		produced:  s.produced,
		finished:  s.finished,
		cancelled: s.cancelled,
		silent:    s.silent,
	}
}

// silenceStreams makes all open streams stop sending for good without closing them; new streams work.
func (e *Engine) silenceStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.silent = true
	}
}
