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

// maxBacklog is how far steps may fall behind the clock before the time is given up, as after a pause of the process.
const maxBacklog = 100 * time.Millisecond

// Options are the properties of an emulated engine.
type Options struct {
	Stepper stepper.Options
	// Model is the model loaded at the start.
	Model string
	// GroupContext tells whether the engine serves parts of a larger context.
	GroupContext bool
	// OrderTime is how long a load or a change of role takes.
	OrderTime time.Duration
	// Speed is the factor by which emulated time runs faster.
	Speed float64
	// Crash ends the process.
	Crash func(error)
}

// errDied is the error of the die fault.
var errDied = errors.New("died by an injected fault")

// Engine drives a stepper by the clock and feeds the streams.
type Engine struct {
	options Options
	bootID  string
	clock   clock
	wake    chan struct{}
	// accepted counts requests that were given memory.
	accepted atomic.Int64

	mu      sync.Mutex
	stepper *stepper.Stepper
	orders  orders
	streams map[string]*stream
}

// stream is the state of one answer; its text is computed when it is written, so slow readers take no memory.
type stream struct {
	answer answerer.Answer
	// produced is the index of the next token that is not available yet.
	produced  int
	finished  bool
	cancelled bool
	silent    bool
	changed   chan struct{}
}

// progress is what a stream may send.
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

// Loop runs steps until the context ends.
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
		} else if -wait > time.Duration(float64(maxBacklog)*e.options.Speed) {
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

// cancel frees what the request holds; it reports whether the request was running.
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

// abandon cancels the request if it still belongs to the stream, whose connection has closed.
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

// silence stops all streams that are open now for good; new ones work.
func (e *Engine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.silent = true
	}
}
