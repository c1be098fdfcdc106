package receiver

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// maxPlacements bounds the engines that one request is sent to, rejections included.
const maxPlacements = 4

// stream serves a request to model engines; a stream that breaks off goes on at another engine after its last event.
func (s *Server) stream(ctx context.Context, r *request, w *writer) *refusal {
	t := &transfer{
		server:    s,
		request:   r,
		writer:    w,
		lastEvent: r.lastEvent,
	}
	var excluded []namer.Target
	var successor *assignment
	previous := verdictAnswer
	for attempt := range maxPlacements {
		current := successor
		if current == nil {
			placed, f := t.place(ctx, excluded, attempt > 0)
			if f != nil {
				return f
			}
			current = &placed
		}
		if attempt > 0 {
			s.options.Metrics.retried(previous)
		}
		excluded = append(excluded, current.placement.Engine)
		var result verdict
		result, successor, t.last = t.attempt(ctx, *current, excluded)
		if result == verdictAnswer {
			t.logServed(current.placement)
			return nil
		}
		if ctx.Err() != nil || errors.Is(t.last, errCaller) {
			break
		}
		if successor == nil && result == verdictUnknown && !s.mayRepeat(r) {
			break
		}
		if successor == nil && result == verdictNotRun && !s.spend() {
			break
		}
		previous = result
	}
	t.discard(successor)
	return s.ending(ctx, r, t.last)
}

// assignment is a placement of a transfer. Each has an id of its own, so that the engines of two can be told apart while one
// takes the place of the other.
type assignment struct {
	id        namer.Request
	placement scheduler.Placement
}

// transfer is one stream over one or more engines.
type transfer struct {
	server    *Server
	request   *request
	writer    *writer
	lastEvent string
	last      error
	// assigned counts the assignments asked for.
	assigned atomic.Int64
	// first, pause, pausedUntil and previous describe the events that the caller got.
	first       time.Duration
	pause       time.Duration
	pausedUntil time.Duration
	previous    time.Time
}

// note records the times that decide whether a stream has its full value.
func (t *transfer) note(now time.Time) {
	if t.previous.IsZero() {
		t.first = now.Sub(t.request.received)
	} else if pause := now.Sub(t.previous); pause > t.pause {
		t.pause = pause
		t.pausedUntil = now.Sub(t.request.received)
	}
	t.previous = now
}

const (
	// firstEventTimeout is added to the predicted time to the first event of a stream that another engine can serve. A shorter one
	// gave up on engines that were only busy, and asked others to read the prompt again.
	firstEventTimeout = 4 * time.Second
	// pauseTimeoutFactor is how many times its longest pause a stream may be silent before another engine is asked; callers give
	// up at eight times, and not before 2 s. Engines that wait for a lost helper stall for 1.5 s and go on.
	pauseTimeoutFactor = 5
	minPauseTimeout    = 1700 * time.Millisecond
)

// replaceable reports whether the stream could still go on at another engine.
func (t *transfer) replaceable() bool {
	r := t.request
	return r.match.Route.Repeatable() && r.sends+1 < r.match.Route.MaxAttempts
}

// pauseTimeout is how long the stream may pause before another engine is asked.
func (t *transfer) pauseTimeout() time.Duration {
	return max(minPauseTimeout, pauseTimeoutFactor*t.request.match.Route.LongestPause)
}

// errCaller means that the caller no longer reads.
var errCaller = errors.New("the caller does not read")

// ask has a request placed; the excluded engines have failed it. The watchdog calls it beside the attempt, so that it reads only what
// does not change.
func (t *transfer) ask(ctx context.Context, excluded []namer.Target, retried bool) (namer.Request, scheduler.Decision, error) {
	r := t.request
	id := r.id
	if n := t.assigned.Add(1); n > 1 {
		id += namer.Request("." + strconv.FormatInt(n, 10))
	}
	output := r.output
	if output == 0 {
		output = r.service.Engine.UsualAnswer
	}
	decision, err := t.server.options.Control.Place(ctx, scheduler.Request{
		ID:       id,
		Service:  r.service.Name,
		Prompt:   r.prompt,
		Output:   output,
		Arrived:  r.received,
		Latency:  r.match.Route.TargetLatency,
		Pause:    r.match.Route.LongestPause,
		Deadline: r.deadline,
		Priority: r.match.Priority,
		Exclude:  excluded,
		Retried:  retried,
		Returned: r.returned(),
	})
	return id, decision, err
}

// place asks for an engine and returns the refusal of a request that gets none.
func (t *transfer) place(ctx context.Context, excluded []namer.Target, retried bool) (assignment, *refusal) {
	r := t.request
	id, decision, err := t.ask(ctx, excluded, retried)
	if err != nil {
		return assignment{}, t.server.ending(ctx, r, err)
	}
	switch d := decision.(type) {
	case scheduler.Place:
		return assignment{
			id:        id,
			placement: d.Placement,
		}, nil
	case scheduler.Refuse:
		if r.sends > 0 {
			return assignment{}, t.server.ending(ctx, r, t.last)
		}
		f := unserved(reason(d.Reason), refusedMessage(d), d.RetryAfter)
		f.figures = &d
		return assignment{}, f
	}
	return assignment{}, t.server.ending(ctx, r, nil)
}

func refusedMessage(d scheduler.Refuse) string {
	return "no engine can take the request: waited " + d.Waited.Round(time.Millisecond).String()
}

// attempt sends the request to the assigned engine and forwards events until the stream ends or breaks. If another engine has
// been assigned meanwhile, because this one was silent, it returns that.
func (t *transfer) attempt(ctx context.Context, one assignment, excluded []namer.Target) (verdict, *assignment, error) {
	s, r, p := t.server, t.request, one.placement
	r.placements++
	reserved := reservations(r, p)
	d := destination{
		id:      p.Engine,
		address: p.Address,
		helpers: s.helpers(p, reserved),
	}
	s.logPlacement(r, p)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.reserve(ctx, reserved); err != nil {
		result, err := t.unreserved(ctx, one, err)
		return result, nil, err
	}
	defer s.release(reserved)
	go s.renew(ctx, reserved)
	var silence *watchdog
	if t.replaceable() {
		silence = t.watch(ctx, cancel, excluded, firstEventTimeout+p.FirstEvent)
	}
	answer, result, err := s.send(ctx, r, d, t.lastEvent)
	faulty := namer.Target("")
	if answer != nil {
		defer answer.Close()
		faulty = s.faulty(answer, p)
	}
	if result == verdictAnswer || result == verdictUnknown {
		r.sends++
	}
	if result == verdictAnswer {
		result, err = t.forward(answer, one.id, silence)
	}
	var successor *assignment
	if silence != nil {
		successor = silence.close()
	}
	outcome := scheduler.Finished
	switch {
	case result == verdictAnswer:
		t.discard(successor)
		successor = nil
	case successor != nil:
		err = errors.Join(errSilent, err)
		outcome = scheduler.Failed
	case ctx.Err() != nil || errors.Is(err, errCaller) || errors.Is(err, errWithdrawn):
		// A withdrawn engine has not failed: this instance may know less of it, or more, than the one that placed the request.
		outcome = scheduler.Cancelled
	case result == verdictNotRun:
		outcome = scheduler.Rejected
	default:
		outcome = scheduler.Failed
	}
	s.options.Control.Ended(one.id, outcome, faulty)
	if result != verdictAnswer {
		s.logAttempt(r, d, result, err)
	}
	return result, successor, err
}

// errSilent means that the engine said nothing for too long and another one was assigned.
var errSilent = errors.New("the engine is silent")

// discard gives back an assignment that is not used.
func (t *transfer) discard(one *assignment) {
	if one != nil {
		t.server.options.Control.Ended(one.id, scheduler.Cancelled, "")
	}
}

// unreserved ends an attempt for which an engine had no memory.
func (t *transfer) unreserved(ctx context.Context, one assignment, err error) (verdict, error) {
	faulty := namer.Target("")
	var refused *ReservationError
	if errors.As(err, &refused) {
		faulty = refused.Engine
	}
	outcome := scheduler.Rejected
	if ctx.Err() != nil {
		outcome = scheduler.Cancelled
	}
	t.server.options.Control.Ended(one.id, outcome, faulty)
	t.server.options.Log.Info().Str("request", string(t.request.id)).Err(err).Msg("receiver: memory not reserved")
	return verdictUnreached, err
}

// faulty returns the engine that a rejection names instead of the one that answered.
func (s *Server) faulty(a *forwarder.Answer, p scheduler.Placement) namer.Target {
	named := a.Header.Get(s.options.Names.FaultyTarget)
	for _, h := range p.Helpers {
		if named != "" && (named == string(h.Engine) || named == h.Address) {
			return h.Engine
		}
	}
	return ""
}

// forward passes on an engine's answer; the header waits for the first event, so that an engine that fails before it can
// be replaced.
func (t *transfer) forward(answer *forwarder.Answer, id namer.Request, silence *watchdog) (verdict, error) {
	if !strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream) {
		if t.writer.begun {
			return verdictUnknown, errForeign
		}
		body, err := readWhole(answer)
		if err != nil {
			return verdictUnknown, err
		}
		t.writer.whole(answer, body)
		return verdictAnswer, nil
	}
	events := forwarder.NewEvents(answer.Body)
	first := true
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !first {
			return verdictAnswer, nil
		}
		if err != nil {
			return verdictUnknown, err
		}
		if first {
			t.server.options.Control.Started(id)
			first = false
			if !t.writer.begun {
				t.writer.begin(answer)
			}
		}
		if err := t.writer.event(event.Raw); err != nil {
			return verdictUnknown, errors.Join(errCaller, err)
		}
		now := t.server.options.Clock.Now()
		t.note(now)
		if silence != nil {
			silence.progress(now.Add(t.pauseTimeout()))
		}
		if event.ID != "" {
			t.lastEvent = event.ID
		}
	}
}

const eventStream = "text/event-stream"

func (t *transfer) logServed(p scheduler.Placement) {
	s, r := t.server, t.request
	s.options.Metrics.first.Observe(t.first.Seconds())
	s.options.Log.Info().Str("request", string(r.id)).Str("target", string(p.Engine)).Int("sends", r.sends).
		Dur("waited", p.Waited).Dur("predicted", p.Waited+p.FirstEvent).Dur("first_event", t.first).
		Dur("longest_pause", t.pause).Dur("paused_until", t.pausedUntil).
		Dur("took", s.options.Clock.Now().Sub(r.received)).Msg("receiver: served")
}

func (s *Server) logPlacement(r *request, p scheduler.Placement) {
	helpers := make([]string, 0, len(p.Helpers))
	for _, h := range p.Helpers {
		helpers = append(helpers, string(h.Engine))
	}
	s.options.Log.Info().Str("request", string(r.id)).Str("target", string(p.Engine)).Strs("helpers", helpers).
		Int("prompt", r.prompt).Int("output", r.output).Dur("waited", p.Waited).Dur("backlog", p.Backlog).
		Dur("predicted", p.FirstEvent).Int64("rules", r.view.Rules.Rules.Version).Msg("receiver: placed")
}
