package receiver

import (
	"context"
	"errors"
	"io"
	"strings"
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
	previous := verdictAnswer
	for attempt := range maxPlacements {
		placement, f := t.place(ctx, excluded, attempt > 0)
		if f != nil {
			return f
		}
		if attempt > 0 {
			s.options.Metrics.retried(previous)
		}
		result, err := t.attempt(ctx, placement)
		t.last, previous = err, result
		if result == verdictAnswer {
			t.logServed(placement)
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCaller) {
			break
		}
		if result == verdictUnknown && !s.mayRepeat(r) {
			break
		}
		if result == verdictNotRun && !s.spend() {
			break
		}
		excluded = append(excluded, placement.Engine)
	}
	return s.ending(ctx, r, t.last)
}

// transfer is one stream over one or more engines.
type transfer struct {
	server    *Server
	request   *request
	writer    *writer
	lastEvent string
	last      error
	// first, pause and previous describe the events that the caller got.
	first    time.Duration
	pause    time.Duration
	previous time.Time
}

// note records the times that decide whether a stream has its full value.
func (t *transfer) note(now time.Time) {
	if t.previous.IsZero() {
		t.first = now.Sub(t.request.received)
	} else {
		t.pause = max(t.pause, now.Sub(t.previous))
	}
	t.previous = now
}

const (
	// firstEventTimeout is added to the predicted time to the first event of a stream that another engine can serve. A shorter one
	// gave up on engines that were only busy, and asked others to read the prompt again.
	firstEventTimeout = 4 * time.Second
	// pauseTimeoutFactor is how many times its longest pause a stream may be silent before it goes on at another engine; callers
	// give up at eight times, and not before 2 s.
	pauseTimeoutFactor = 5
	minPauseTimeout    = 1600 * time.Millisecond
)

// replaceable reports whether the stream could still go on at another engine.
func (t *transfer) replaceable() bool {
	r := t.request
	return r.match.Route.Repeatable() && r.sends+1 < r.match.Route.MaxAttempts
}

// pauseTimeout is how long the stream may pause before it goes on at another engine; 0 means until the deadline.
func (t *transfer) pauseTimeout() time.Duration {
	pause := t.request.match.Route.LongestPause
	if pause == 0 || t.request.sends >= t.request.match.Route.MaxAttempts {
		return 0
	}
	return max(minPauseTimeout, pauseTimeoutFactor*pause)
}

// errCaller means that the caller no longer reads.
var errCaller = errors.New("the caller does not read")

func (t *transfer) place(ctx context.Context, excluded []namer.Target, retried bool) (scheduler.Placement, *refusal) {
	r := t.request
	output := r.output
	if output == 0 {
		output = r.service.Engine.UsualAnswer
	}
	decision, err := t.server.options.Control.Place(ctx, scheduler.Request{
		ID:       r.id,
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
	if err != nil {
		return scheduler.Placement{}, t.server.ending(ctx, r, err)
	}
	switch d := decision.(type) {
	case scheduler.Place:
		return d.Placement, nil
	case scheduler.Refuse:
		if r.sends > 0 {
			return scheduler.Placement{}, t.server.ending(ctx, r, t.last)
		}
		f := unserved(reason(d.Reason), refusedMessage(d), d.RetryAfter)
		f.figures = &d
		return scheduler.Placement{}, f
	}
	return scheduler.Placement{}, t.server.ending(ctx, r, nil)
}

func refusedMessage(d scheduler.Refuse) string {
	return "no engine can take the request: waited " + d.Waited.Round(time.Millisecond).String()
}

// attempt sends the request to the placement's engine and forwards events until the stream ends or breaks.
func (t *transfer) attempt(ctx context.Context, p scheduler.Placement) (verdict, error) {
	s, r := t.server, t.request
	r.placements++
	reserved := reservations(r, p)
	d := destination{
		id:      p.Engine,
		address: p.Address,
		helpers: s.helpers(p, reserved),
	}
	if t.replaceable() {
		d.timeout = firstEventTimeout + p.FirstEvent
	}
	s.logPlacement(r, p)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.reserve(ctx, reserved); err != nil {
		return t.unreserved(ctx, err)
	}
	defer s.release(reserved)
	go s.renew(ctx, reserved)
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
		result, err = t.forward(answer)
	}
	outcome := scheduler.Finished
	switch {
	case result == verdictAnswer:
	case ctx.Err() != nil || errors.Is(err, errCaller) || errors.Is(err, errWithdrawn):
		// A withdrawn engine has not failed: this instance may know less of it, or more, than the one that placed the request.
		outcome = scheduler.Cancelled
	case result == verdictNotRun:
		outcome = scheduler.Rejected
	default:
		outcome = scheduler.Failed
	}
	s.options.Control.Ended(r.id, outcome, faulty)
	if result != verdictAnswer {
		s.logAttempt(r, d, result, err)
	}
	return result, err
}

// unreserved ends an attempt for which an engine had no memory.
func (t *transfer) unreserved(ctx context.Context, err error) (verdict, error) {
	faulty := namer.Target("")
	var refused *ReservationError
	if errors.As(err, &refused) {
		faulty = refused.Engine
	}
	outcome := scheduler.Rejected
	if ctx.Err() != nil {
		outcome = scheduler.Cancelled
	}
	t.server.options.Control.Ended(t.request.id, outcome, faulty)
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
func (t *transfer) forward(answer *forwarder.Answer) (verdict, error) {
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
			t.server.options.Control.Started(t.request.id)
			first = false
			if !t.writer.begun {
				t.writer.begin(answer)
			}
		}
		if err := t.writer.event(event.Raw); err != nil {
			return verdictUnknown, errors.Join(errCaller, err)
		}
		t.note(t.server.options.Clock.Now())
		answer.SetReadTimeout(t.pauseTimeout())
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
		Dur("longest_pause", t.pause).Dur("took", s.options.Clock.Now().Sub(r.received)).Msg("receiver: served")
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
