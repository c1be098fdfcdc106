package receiver

import (
	"context"
	"errors"

	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	// maxCallAttempts bounds the targets that a request to a plain service is sent to, rejections included.
	maxCallAttempts = 3
	// maxAnswerBytes bounds an answer that is buffered before it is passed on.
	maxAnswerBytes = 8 << 20
)

// call serves a request to a plain service.
func (s *Server) call(ctx context.Context, r *request, w *writer) *refusal {
	t := s.newTransfer(r, w)
	var excluded []namer.Target
	previous := verdictAnswer
	for attempt := 0; attempt < maxCallAttempts; {
		target, found := s.options.Control.Pick(r.service.Name, append(s.abstaining(r), excluded...))
		if !found {
			if f := s.refuseUnwilling(r, excluded); f != nil {
				return f
			}
			break
		}
		if attempt > 0 {
			s.options.Metrics.recordRetry(previous)
		}
		d := destination{
			id:      target.ID,
			address: target.Address,
		}
		answer, result, err := s.send(ctx, r, d, t.lastEventID)
		if unwilling(err) {
			// The target has said so since it was picked; nothing was sent.
			s.options.Control.Done(d.id, balancer.Abandoned)
			excluded = append(excluded, d.id)
			continue
		}
		attempt++
		if result == verdictAnswer || result == verdictUnknown {
			r.sends++
		}
		if result == verdictAnswer {
			t.engineBegan()
		}
		received := false
		t.onReceived = func() {
			received = true
			s.options.Control.Done(d.id, balancer.Answered)
		}
		again := result == verdictAnswer && answer.Status >= serverError && !w.begun && s.takeRetry(r)
		if result == verdictAnswer && !again {
			result, err = t.forward(answer, r.id, nil)
		}
		if answer != nil {
			answer.Close()
		}
		t.lastErr, previous = err, result
		if !received {
			s.options.Control.Done(d.id, balancerOutcome(ctx, result, err))
		}
		if target.DataCentre != s.options.DataCentre {
			s.options.Metrics.recordLeft(leftBalanced, len(r.body)+w.written)
		}
		s.logAttempt(r, d, result, err)
		if result == verdictAnswer && !again {
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCallerWrite) || !t.continuable() {
			break
		}
		if result == verdictUnknown && !s.takeRetry(r) || result == verdictNotRun && !s.spendRetry() {
			break
		}
		excluded = append(excluded, d.id)
	}
	return s.finalRefusal(ctx, r, t.lastErr)
}

// leftBalanced is why a call leaves the data centre: the targets at home are busier, or there is none.
const leftBalanced localizer.Reason = "balanced"

// serverError is the lowest HTTP status of a server error.
const serverError = 500

func balancerOutcome(ctx context.Context, v verdict, err error) balancer.Outcome {
	switch {
	case v == verdictAnswer:
		return balancer.Answered
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCallerWrite):
		return balancer.Abandoned
	case v == verdictNotRun:
		return balancer.Rejected
	case v == verdictUnreached:
		return balancer.Unreachable
	default:
		return balancer.Failed
	}
}

func (s *Server) logAttempt(r *request, d destination, v verdict, err error) {
	line := s.options.Log.Info().Str("request", string(r.id)).Str("target", string(d.id)).Str("verdict", v.String()).
		Dur("at", s.options.Clock.Now().Sub(r.received))
	if d.helpers != "" {
		line = line.Str("helpers", d.helpers)
	}
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("receiver: attempt")
}
