package server

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/retrier"
)

// streamBuffer is the maximum number of tokens read ahead of the caller; the meter limits their bytes.
const streamBuffer = 4096

// intervalTokens is the number of tokens over which the time between tokens is averaged.
const intervalTokens = 16

// session serves one admitted completion over one or more attempts.
type session struct {
	server  *Server
	request *controller.Request
	output  sink
	flow    *flow
	stream  *retrier.Stream
	// startedAt, firstTokenAt and receivedTokens describe the current attempt.
	startedAt      time.Time
	firstTokenAt   time.Time
	receivedTokens int
	// intervalStart is when the time between tokens was last reported.
	intervalStart time.Time
}

// errReservationExpired means that the memory reserved for an attempt was released before the attempt was sent.
var errReservationExpired = errors.New("the reservation expired before the request was sent")

// callerError means that the caller has disconnected or reads too slowly.
type callerError struct {
	cause error
}

func (e *callerError) Error() string {
	return "the caller does not read: " + e.cause.Error()
}

func (e *callerError) Unwrap() error {
	return e.cause
}

// silentError means that an engine sent no token for longer than expected.
type silentError struct {
	within time.Duration
}

func (e *silentError) Error() string {
	return fmt.Sprintf("no token within %s", e.within)
}

// serve runs attempts until the completion is finished, the deadline passes or no further attempt is allowed.
func (s *session) serve(ctx context.Context, placement *controller.Placement) {
	for {
		err := s.attempt(ctx, placement)
		if err == nil {
			s.server.options.Control.Release(placement, controller.Finished)
			s.finish()
			return
		}
		s.server.options.Control.Release(placement, controller.Aborted)
		placement, err = s.retry(ctx, placement, err)
		if err != nil {
			s.fail(err)
			return
		}
	}
}

func (s *session) finish() {
	if err := s.output.finish(); err != nil {
		s.server.options.Metrics.Requests.WithLabelValues("caller_gone").Inc()
		return
	}
	s.server.options.Metrics.Requests.WithLabelValues("finished").Inc()
}

func (s *session) fail(err error) {
	refusal := asRefusal(err)
	s.output.fail(s.server.recordRefusal(s.request, refusal), refusal)
}

// retry returns the placement of the next attempt, or the error to send to the caller if no further attempt is allowed.
func (s *session) retry(ctx context.Context, placement *controller.Placement, cause error) (*controller.Placement, error) {
	action := s.stream.Fail(s.server.options.Clock.Now(), placement.Attempt, retryReason(cause))
	s.request.Ran = s.stream.Ran()
	var caller *callerError
	if errors.As(cause, &caller) || errors.Is(cause, errTooSlow) || errors.Is(ctx.Err(), context.Canceled) {
		return nil, s.callerRefusal(cause)
	}
	resume, ok := action.(retrier.Resume)
	if !ok {
		return nil, finalError(action, cause)
	}
	next, err := s.server.options.Control.Retry(ctx, s.request, controller.Failure{
		Placement: placement,
		Reason:    resume.Reason,
		Cause:     cause,
	})
	if err != nil {
		return nil, err
	}
	s.server.options.Metrics.Retries.WithLabelValues(string(resume.Reason)).Inc()
	return next, nil
}

func finalError(action retrier.Action, cause error) error {
	if end, ok := action.(retrier.End); ok && end.Refusal != nil {
		return end.Refusal
	}
	return cause
}

func (s *session) callerRefusal(cause error) error {
	return &refuser.Refusal{
		Reason:  refuser.ReaderTooSlow,
		Ran:     s.request.Ran,
		Message: "the caller closed the connection or read nothing for too long: " + cause.Error(),
	}
}

func retryReason(cause error) refuser.RetryReason {
	var silent *silentError
	if errors.As(cause, &silent) {
		return refuser.StreamSilent
	}
	if errors.Is(cause, errReservationExpired) {
		return refuser.TargetRefused
	}
	var engine *streamer.EngineError
	if !errors.As(cause, &engine) {
		return refuser.StreamBroken
	}
	switch {
	case engine.Status != 0:
		return refuser.TargetRefused
	case !engine.Sent:
		return refuser.ConnectFailed
	default:
		return refuser.StreamBroken
	}
}

// attempt streams the completion from the placement's targets. It cancels the attempt there if it fails, and always if it
// has several parts, since the other parts hold their memory until then.
func (s *session) attempt(ctx context.Context, placement *controller.Placement) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.awaitSendDelay(ctx, placement); err != nil {
		return err
	}
	s.startedAt, s.firstTokenAt, s.receivedTokens = s.server.options.Clock.Now(), time.Time{}, 0
	s.stream.Begin(s.startedAt, placement.Attempt, placement.FirstToken)
	tokens := make(chan streamer.Token, streamBuffer)
	done := make(chan error, len(placement.Parts))
	// Parts other than the first only hold memory; the first part generates.
	held := make(chan struct{}, len(placement.Parts))
	for i := len(placement.Parts) - 1; i >= 1; i-- {
		s.start(ctx, placement, i, done, func(streamer.Token) error {
			held <- struct{}{}
			return nil
		})
	}
	err := s.awaitParts(ctx, placement, held, done)
	if err == nil {
		id := namer.Request(placement.Attempt)
		s.flow = s.server.meter.open(id, s.request.Customer)
		s.start(ctx, placement, 0, done, func(token streamer.Token) error {
			if err := s.server.meter.add(ctx, id, bufferedBytes(token)); err != nil {
				return err
			}
			select {
			case tokens <- token:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		err = s.forward(ctx, placement, tokens, done)
		s.server.meter.close(id)
	}
	if err != nil || len(placement.Parts) > 1 {
		s.cancelParts(placement)
	}
	return err
}

// awaitSendDelay waits before a long prefill is sent: meanwhile other instances learn of it and place short requests
// elsewhere.
func (s *session) awaitSendDelay(ctx context.Context, placement *controller.Placement) error {
	if placement.SendDelay <= 0 {
		return nil
	}
	select {
	case <-s.server.options.Clock.After(placement.SendDelay):
		if !s.server.options.Control.MayStart(ctx, placement) {
			return errReservationExpired
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start streams one part in a worker. It sends the result of part 0 to done, and only errors of the other parts.
func (s *session) start(ctx context.Context, placement *controller.Placement, part int, done chan<- error, receive func(streamer.Token) error) {
	completion := s.completion(placement, part)
	address := placement.Parts[part].Address
	err := s.server.options.Pool.Submit(func() {
		err := s.server.options.Engines.Stream(ctx, address, completion, receive)
		if part == 0 || err != nil {
			done <- err
		}
	})
	if err != nil {
		done <- fmt.Errorf("no free worker: %w", err)
	}
}

func (s *session) completion(placement *controller.Placement, part int) streamer.Completion {
	p := placement.Parts[part]
	completion := streamer.Completion{
		RequestID:    placement.Attempt,
		Model:        s.request.Model,
		Prompt:       s.request.Prompt,
		PromptTokens: s.request.PromptTokens,
		MaxTokens:    s.request.MaxTokens,
		Stream:       true,
		Priority:     placement.Priority,
		Epoch:        p.Epoch,
		Holder:       placement.Holder,
		ResumeFrom:   s.stream.NextIndex(),
		Prefix:       s.request.Prefix,
	}
	if len(placement.Parts) > 1 {
		completion.Group = &streamer.Group{
			ID:         placement.Attempt,
			Rank:       part,
			Size:       len(placement.Parts),
			PartTokens: p.Tokens,
		}
	}
	if part > 0 {
		// The prompt is read by rank 0 only; the others hold memory for their part.
		completion.Prompt = ""
	}
	return completion
}

// awaitParts waits until every part but the first holds its memory.
func (s *session) awaitParts(ctx context.Context, placement *controller.Placement, held <-chan struct{}, done <-chan error) error {
	for range len(placement.Parts) - 1 {
		select {
		case <-held:
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-s.silenceTimer():
			return &silentError{
				within: s.stream.SilenceDeadline().Sub(s.startedAt),
			}
		}
	}
	return nil
}

// forward relays tokens to the caller and fails if the engine makes no progress in time.
func (s *session) forward(ctx context.Context, placement *controller.Placement, tokens <-chan streamer.Token, done <-chan error) error {
	for {
		select {
		case t := <-tokens:
			if err := s.deliver(placement, t); err != nil {
				return err
			}
		case <-s.flow.ended:
			return &callerError{
				cause: errTooSlow,
			}
		case err := <-done:
			return s.drain(placement, tokens, err)
		case <-ctx.Done():
			return ctx.Err()
		case <-s.silenceTimer():
			if len(tokens) > 0 {
				// Tokens are waiting, so the caller is slow to read, not the engine to send.
				continue
			}
			return &silentError{
				within: s.server.options.Clock.Now().Sub(s.startedAt),
			}
		}
	}
}

// silenceTimer fires when the engine has made no progress for too long.
func (s *session) silenceTimer() <-chan time.Time {
	return s.server.options.Clock.After(s.stream.SilenceDeadline().Sub(s.server.options.Clock.Now()))
}

// drain delivers the tokens still buffered when the engine's stream ended, and checks that the completion is finished.
func (s *session) drain(placement *controller.Placement, tokens <-chan streamer.Token, streamErr error) error {
	for {
		select {
		case t := <-tokens:
			if err := s.deliver(placement, t); err != nil {
				return err
			}
		default:
			if streamErr != nil {
				return streamErr
			}
			if _, complete := s.stream.Done(s.server.options.Clock.Now(), placement.Attempt).(retrier.End); !complete {
				return &streamer.EngineError{
					Address: placement.Parts[0].Address,
					Sent:    true,
					Cause:   fmt.Errorf("the stream was done at token %d of %d", s.stream.NextIndex(), s.request.MaxTokens),
				}
			}
			return nil
		}
	}
}

// deliver writes a token to the caller if it belongs to this attempt and is the next one, else drops it.
func (s *session) deliver(placement *controller.Placement, token streamer.Token) error {
	action := s.stream.Token(s.server.options.Clock.Now(), token.RequestID, token.TokenIndex, placement.TokenInterval)
	if _, deliver := action.(retrier.Deliver); !deliver {
		s.server.options.Metrics.LateEvents.Inc()
		s.server.meter.read(namer.Request(placement.Attempt), bufferedBytes(token))
		return nil
	}
	s.observe(placement)
	if err := s.output.token(token); err != nil {
		return &callerError{
			cause: err,
		}
	}
	s.stream.RecordWrite(s.server.options.Clock.Now())
	s.server.meter.read(namer.Request(placement.Attempt), bufferedBytes(token))
	return nil
}

func bufferedBytes(token streamer.Token) int {
	return len(token.Text) + len(token.RequestID) + tokenOverhead
}

// observe reports the time to the first token and between tokens, from which the control state learns its predictions.
func (s *session) observe(placement *controller.Placement) {
	s.receivedTokens++
	now := s.server.options.Clock.Now()
	if s.receivedTokens > 1 {
		if s.receivedTokens%intervalTokens == 1 {
			s.server.options.Control.RecordTokenInterval(placement, now.Sub(s.intervalStart)/intervalTokens, intervalTokens)
			s.intervalStart = now
		}
		return
	}
	s.firstTokenAt, s.intervalStart = now, now
	s.server.options.Control.RecordFirstToken(placement, s.firstTokenAt.Sub(s.startedAt))
	if s.stream.NextIndex() == s.request.ResumeFrom+1 {
		s.server.options.Metrics.FirstToken.WithLabelValues(placement.Class).Observe(s.firstTokenAt.Sub(s.request.Received).Seconds())
	}
}

// cancelParts frees the attempt's memory at its targets; for unreachable targets the owner's reconciliation frees it later.
func (s *session) cancelParts(placement *controller.Placement) {
	for i := range placement.Parts {
		id := placement.Attempt
		address := placement.Parts[i].Address
		err := s.server.options.Pool.Submit(func() {
			if err := s.server.options.Engines.Cancel(context.Background(), address, id); err != nil {
				s.server.options.Log.Debug().Str("request", id).Err(err).Msg("server: cannot cancel the attempt at its target")
			}
		})
		if err != nil {
			s.server.options.Log.Warn().Str("request", id).Err(err).Msg("server: no free worker to cancel the attempt")
		}
	}
}

// retryAfterSeconds formats a Retry-After header, which is in whole seconds, rounding up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
