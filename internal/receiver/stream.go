package receiver

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// maxPlacements bounds the engines that one request is sent to, rejections included.
const maxPlacements = 4

// stream serves a request to model engines; a broken stream is resumed at another engine after the last event sent.
func (s *Server) stream(ctx context.Context, r *request, w *writer) *refusal {
	t := s.newTransfer(r, w)
	r.addWhole(&s.options.Names)
	var excluded []namer.Target
	var successor *assignment
	previous := verdictAnswer
	for attempt := 0; attempt < maxPlacements; {
		if f := s.refuseIsolated(ctx, r); f != nil {
			t.cancel(successor)
			return f
		}
		current := successor
		if current == nil {
			if f := s.refuseUnwilling(r, excluded); f != nil {
				return f
			}
			placed, f := t.place(ctx, excluded, attempt > 0)
			if f != nil {
				return f
			}
			current = &placed
		}
		if attempt > 0 {
			s.options.Metrics.recordRetry(previous)
		}
		excluded = append(excluded, current.placement.Engine)
		var result verdict
		result, successor, t.lastErr = t.attempt(ctx, *current, excluded)
		if unwilling(t.lastErr) && successor == nil && ctx.Err() == nil {
			// Nothing was sent, so that this placement costs no attempt.
			continue
		}
		attempt++
		if result == verdictAnswer {
			t.logServed(current.placement)
			return nil
		}
		if ctx.Err() != nil || errors.Is(t.lastErr, errCallerWrite) || !t.continuable() {
			break
		}
		if successor == nil && result == verdictUnknown && !s.takeRetry(r) {
			break
		}
		if successor == nil && result == verdictNotRun && !s.spendRetry() {
			break
		}
		previous = result
	}
	t.cancel(successor)
	return s.finalRefusal(ctx, r, t.lastErr)
}

// assignment is a placement of a transfer. Each has its own id, since two exist at once while a successor replaces a silent engine.
type assignment struct {
	id        namer.Request
	placement scheduler.Placement
}

// transfer is one answer to a caller, which targets serve one after the other.
type transfer struct {
	server  *Server
	request *request
	writer  *writer
	// lastEventID is the ID of the last event that the caller received.
	lastEventID string
	// lastErr is the error of the last attempt.
	lastErr error
	// onReceived is called when a whole answer has been received, before it is passed on; it may be nil.
	onReceived func()
	// placementRequests counts the calls to the scheduler; it makes the ids unique.
	placementRequests atomic.Int64
	// first is the time from the request's arrival to the first event, longestPause the longest time between two events,
	// pausedUntil the time from the arrival to the end of that pause, and previousEvent the time of the latest event.
	first         time.Duration
	longestPause  time.Duration
	pausedUntil   time.Duration
	previousEvent time.Time
	// attemptBegan is the time of the first event of the present attempt, zero before it.
	attemptBegan time.Time
	// counted is set once the request counts as begun by an engine.
	counted bool
}

func (s *Server) newTransfer(r *request, w *writer) *transfer {
	return &transfer{
		server:      s,
		request:     r,
		writer:      w,
		lastEventID: r.lastEventID,
	}
}

// recordEvent updates the time to the first event and the longest pause, by which a stream's quality is judged.
func (t *transfer) recordEvent(now time.Time) {
	if t.previousEvent.IsZero() {
		t.first = now.Sub(t.request.received)
	} else if pause := now.Sub(t.previousEvent); pause > t.longestPause {
		t.longestPause = pause
		t.pausedUntil = now.Sub(t.request.received)
	}
	t.previousEvent = now
	if t.attemptBegan.IsZero() {
		t.attemptBegan = now
	}
}

const (
	// firstEventTimeout is added to the predicted time to the first event before a replacement is requested. A shorter one replaced
	// engines that were only busy, so that others had to prefill the prompt again.
	firstEventTimeout = 4 * time.Second
	// pauseTimeoutFactor times the route's longest pause, but at least minPauseTimeout, is how long a stream may be silent before a
	// replacement is requested. Callers give up at eight times, and not before 2 s; an engine that waits for a lost helper stalls
	// for 1.5 s and recovers.
	pauseTimeoutFactor = 5
	minPauseTimeout    = 1700 * time.Millisecond
)

// replaceable reports whether the stream may be resumed at another engine if this attempt fails.
func (t *transfer) replaceable() bool {
	r := t.request
	return r.match.Route.Repeatable() && r.sends+1 < r.match.Route.MaxAttempts
}

// pauseTimeout returns how long the stream may be silent before a replacement is requested.
func (t *transfer) pauseTimeout() time.Duration {
	return max(minPauseTimeout, pauseTimeoutFactor*t.request.match.Route.MaxPause)
}

// errCallerWrite means that an event could not be written to the caller.
var errCallerWrite = errors.New("the caller does not read")

// requestPlacement asks the scheduler for an engine other than the excluded ones, which have failed the request. The watchdog calls
// it concurrently with the attempt, so it must read only fields that do not change meanwhile.
func (t *transfer) requestPlacement(ctx context.Context, excluded []namer.Target, retried bool) (namer.Request, scheduler.Decision, error) {
	r := t.request
	id := r.id
	if n := t.placementRequests.Add(1); n > 1 {
		id += namer.Request("." + strconv.FormatInt(n, 10))
	}
	output := r.outputTokens
	if output == 0 {
		output = r.service.Engine.MeanOutputTokens
	}
	patience := r.match.Route.Patience
	if retried {
		// The caller may have got events, after which it waits anew.
		patience = 0
	}
	decision, err := t.server.options.Control.Place(ctx, scheduler.Request{
		ID:            id,
		Service:       r.service.Name,
		Customer:      r.match.Customer,
		Bytes:         len(r.body),
		PromptTokens:  r.promptTokens,
		OutputTokens:  output,
		Arrived:       r.received,
		TargetLatency: r.match.Route.TargetLatency,
		MaxPause:      r.match.Route.MaxPause,
		Patience:      patience,
		Deadline:      r.deadline,
		Priority:      r.match.Priority,
		Rank:          r.match.Route.Priority,
		Exclude:       append(t.server.abstaining(r), excluded...),
		Retried:       retried,
		Resubmitted:   r.isRetry(),
		Age:           r.age(),
	}, r.candidates)
	return id, decision, err
}

// place requests a placement; it returns a refusal if there is no engine for the request.
func (t *transfer) place(ctx context.Context, excluded []namer.Target, retried bool) (assignment, *refusal) {
	r := t.request
	id, decision, err := t.requestPlacement(ctx, excluded, retried)
	if err != nil {
		return assignment{}, t.server.finalRefusal(ctx, r, err)
	}
	switch d := decision.(type) {
	case scheduler.Place:
		return assignment{
			id:        id,
			placement: d.Placement,
		}, nil
	case scheduler.Refuse:
		if r.sends > 0 {
			return assignment{}, t.server.finalRefusal(ctx, r, t.lastErr)
		}
		f := unavailable(reason(d.Reason), refusedMessage(d), d.RetryAfter)
		f.decision = &d
		return assignment{}, f
	}
	return assignment{}, t.server.finalRefusal(ctx, r, nil)
}

func refusedMessage(d scheduler.Refuse) string {
	return "no engine can take the request: waited " + d.Waited.Round(time.Millisecond).String()
}

// attempt sends the request to the assigned engine and forwards events until the stream ends or breaks. It returns the successor if
// the watchdog has replaced this engine because it was silent.
func (t *transfer) attempt(ctx context.Context, a assignment, excluded []namer.Target) (verdict, *assignment, error) {
	s, r, p := t.server, t.request, a.placement
	r.placements++
	reserved := reservations(r, p)
	d := destination{
		id:      p.Engine,
		address: p.Address,
		helpers: s.helpers(p, reserved),
	}
	s.logPlacement(r, p)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := s.checkHelpers(p); err != nil {
		s.options.Control.Ended(a.id, scheduler.Cancelled, "")
		s.logAttempt(r, d, verdictUnreached, err)
		return verdictUnreached, nil, err
	}
	if err := s.reserve(ctx, reserved); err != nil {
		result, err := t.endUnreserved(ctx, a, err)
		return result, nil, err
	}
	defer s.release(reserved)
	s.watchReservations(ctx, reserved, firstEngine(r, p), cancel)
	var wd *watchdog
	if t.replaceable() {
		wd = t.watch(ctx, func() { cancel(nil) }, excluded, firstEventTimeout+p.FirstEvent)
	}
	answer, result, err := s.send(ctx, r, d, t.lastEventID)
	faulty := namer.Target("")
	if answer != nil {
		defer answer.Close()
		faulty = s.faultyHelper(answer, p)
	}
	if result == verdictAnswer || result == verdictUnknown {
		r.sends++
	}
	t.attemptBegan = time.Time{}
	passed := 0
	if result == verdictAnswer {
		before := t.writer.written
		result, err = t.forward(answer, a.id, wd)
		passed = t.writer.written - before
	}
	if p.Left != localizer.Stays {
		s.options.Metrics.recordLeft(p.Left, len(r.body)+passed)
	}
	var successor *assignment
	if wd != nil {
		successor = wd.close()
	}
	outcome := scheduler.Finished
	var lost *ReservationError
	switch {
	case result == verdictAnswer:
		t.cancel(successor)
		successor = nil
	case errors.As(context.Cause(ctx), &lost):
		err = lost
		outcome = scheduler.Failed
		faulty = lost.Engine
	case successor != nil:
		err = errors.Join(errSilent, err)
		outcome = scheduler.Failed
	case ctx.Err() != nil || errors.Is(err, errCallerWrite) || errors.Is(err, errWithdrawn) || unwilling(err):
		// A withdrawn engine has not failed: this instance's catalogue may be older or newer than that of the placing instance.
		outcome = scheduler.Cancelled
	case result == verdictNotRun:
		outcome = scheduler.Rejected
	default:
		outcome = scheduler.Failed
	}
	s.options.Control.Ended(a.id, outcome, faulty)
	if result != verdictAnswer {
		s.logAttempt(r, d, result, err)
	}
	t.reportEnd(p, outcome, err)
	return result, successor, err
}

// errSilent means that the engine sent no event within the timeout and was replaced.
var errSilent = errors.New("the engine is silent")

// cancel ends an assignment that is not used; it may be nil.
func (t *transfer) cancel(a *assignment) {
	if a != nil {
		t.server.options.Control.Ended(a.id, scheduler.Cancelled, "")
	}
}

// endUnreserved ends an attempt whose memory could not be reserved.
func (t *transfer) endUnreserved(ctx context.Context, a assignment, err error) (verdict, error) {
	faulty := namer.Target("")
	var refused *ReservationError
	if errors.As(err, &refused) {
		faulty = refused.Engine
	}
	outcome := scheduler.Rejected
	if ctx.Err() != nil {
		outcome = scheduler.Cancelled
	}
	t.server.options.Control.Ended(a.id, outcome, faulty)
	t.server.options.Log.Info().Str("request", string(t.request.id)).Err(err).Msg("receiver: reserving memory failed")
	return verdictUnreached, err
}

// faultyHelper returns the helper that a rejection names as its cause, or an empty name.
func (s *Server) faultyHelper(a *forwarder.Answer, p scheduler.Placement) namer.Target {
	named := a.Header.Get(s.options.Names.FaultyTarget)
	for _, h := range p.Helpers {
		if named != "" && (named == string(h.Engine) || named == h.Address) {
			return h.Engine
		}
	}
	return ""
}

// forward passes on a target's answer: a stream as its events arrive, any other answer once it is complete. The header of a stream is sent
// with the first event, so that a target that fails before it can still be replaced. The watchdog may be nil.
func (t *transfer) forward(answer *forwarder.Answer, id namer.Request, wd *watchdog) (verdict, error) {
	stream := isEventStream(answer.Header)
	resumed := t.writer.begun
	if resumed && (!stream || answer.Status != http.StatusOK || !t.continuable()) {
		return verdictUnknown, errInvalid
	}
	if !stream {
		return t.forwardWhole(answer)
	}
	events := forwarder.NewEvents(answer.Body, t.server.options.AnswerMemory)
	defer events.Release()
	first := true
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !first {
			return verdictAnswer, nil
		}
		if err != nil {
			return verdictUnknown, err
		}
		if first && resumed && !follows(event.ID, t.lastEventID) {
			return verdictUnknown, errInvalid
		}
		if first {
			if t.request.service.Engine != nil {
				t.server.options.Control.Started(id)
			}
			first = false
			t.engineBegan()
			if !t.writer.begun {
				t.writer.beginStream(answer)
			}
		}
		if err := t.writer.writeEvent(event.Raw); err != nil {
			return verdictUnknown, errors.Join(errCallerWrite, err)
		}
		now := t.server.options.Clock.Now()
		t.recordEvent(now)
		if wd != nil {
			wd.progress(now.Add(t.pauseTimeout()))
		}
		if event.ID != "" {
			t.lastEventID = event.ID
		}
	}
}

// engineBegan counts the request once, when an engine has begun it.
func (t *transfer) engineBegan() {
	if !t.counted {
		t.counted = true
		t.server.options.Control.Began(t.request.match.Customer)
	}
}

// forwardWhole passes on an answer that isn't a stream once it is complete.
func (t *transfer) forwardWhole(answer *forwarder.Answer) (verdict, error) {
	body := t.server.options.AnswerMemory.NewBuffer()
	defer body.Release()
	if err := body.ReadAll(answer.Body, maxAnswerBytes); err != nil {
		return verdictUnknown, err
	}
	// The caller may read slowly; the target is done.
	answer.Close()
	if t.onReceived != nil {
		t.onReceived()
	}
	if err := t.writer.writeAnswer(answer, body.Bytes()); err != nil {
		return verdictUnknown, errors.Join(errCallerWrite, err)
	}
	return verdictAnswer, nil
}

// continuable reports whether another target may go on with the answer. Once a part of it has been sent, only a stream that may be resumed
// can be continued.
func (t *transfer) continuable() bool {
	route := t.request.match.Route
	return !t.writer.begun || route.Kind == matcher.Streaming && route.Resumable
}

// follows reports whether an event may come after the one with the ID last; IDs that aren't numbers can't be compared.
func follows(id, last string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	previous, lastErr := strconv.ParseInt(last, 10, 64)
	return err != nil || lastErr != nil || next > previous
}

const eventStream = "text/event-stream"

// isEventStream reports whether an answer consists of server-sent events.
func isEventStream(header http.Header) bool {
	// The media type is also returned if a parameter after it is malformed.
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return mediaType == eventStream
}

func (t *transfer) logServed(p scheduler.Placement) {
	s, r := t.server, t.request
	s.options.Metrics.first.Observe(t.first.Seconds())
	s.options.Log.Info().Str("request", string(r.id)).Str("target", string(p.Engine)).Int("sends", r.sends).
		Dur("waited", p.Waited).Dur("predicted", p.Waited+p.FirstEvent).Dur("first_event", t.first).
		Dur("longest_pause", t.longestPause).Dur("paused_until", t.pausedUntil).
		Dur("took", s.options.Clock.Now().Sub(r.received)).Msg("receiver: served")
}

func (s *Server) logPlacement(r *request, p scheduler.Placement) {
	helpers := make([]string, 0, len(p.Helpers))
	for _, h := range p.Helpers {
		helpers = append(helpers, string(h.Engine))
	}
	s.options.Log.Info().Str("request", string(r.id)).Str("target", string(p.Engine)).Strs("helpers", helpers).
		Strs("parts", namer.PartNames(r.candidates)).
		Int("prompt", r.promptTokens).Int("output", r.outputTokens).Dur("waited", p.Waited).Dur("backlog", p.Backlog).Int("delayed", p.Delayed).
		Dur("predicted", p.FirstEvent).Dur("age", r.age()).Str("left", string(p.Left)).Int64("rules", r.view.Rules.Rules.Version).Msg("receiver: placed")
}
