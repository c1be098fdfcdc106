package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// onsetMargin is added to the length of a pass for the time from an engine's crash until its connections are seen to break.
const onsetMargin = 250 * time.Millisecond

// onsetTime returns how long after the first event of an answer a crash counts as caused by its beginning: the pass after that event,
// which may prefill a chunk of other prompts in each step.
func onsetTime(e *matcher.Engine) time.Duration {
	step := e.Step
	if e.PrefillRate > 0 {
		step += time.Duration(float64(e.ChunkTokens) / e.PrefillRate * float64(time.Second))
	}
	return time.Duration(e.StepsPerPass)*step + onsetMargin
}

// isolatedUntil returns the end of the isolation of one of the request's candidates, if one is isolated.
func (s *Server) isolatedUntil(r *request) (time.Time, bool) {
	isolated := s.options.Control.View().Isolated
	if len(isolated) == 0 {
		return time.Time{}, false
	}
	now := s.options.Clock.Now()
	for _, p := range r.candidates {
		if until, found := isolated[p]; found && now.Before(until) {
			return until, true
		}
	}
	return time.Time{}, false
}

// refuseIsolated refuses a request if engines crash on it or on a part of its prompt; nil if they don't. The caller isn't told that the
// request hasn't run if an engine had it before.
func (s *Server) refuseIsolated(ctx context.Context, r *request) *refusal {
	until, isolated := s.isolatedUntil(r)
	switch {
	case !isolated:
		return nil
	case r.sends > 0:
		return s.finalRefusal(ctx, r, errIsolated)
	default:
		return unavailable(reasonIsolated, errIsolated.Error()+": change the prompt, or come back later", until.Sub(s.options.Clock.Now()))
	}
}

// reportEnd reports how an attempt has ended, from which the requests and the parts of prompts are found that crash engines. Only a
// complete answer shows that they are sound: an engine may crash on them at any time of the answer.
func (t *transfer) reportEnd(p scheduler.Placement, outcome scheduler.Outcome, err error) {
	s, r := t.server, t.request
	begun := !t.attemptBegan.IsZero()
	switch {
	case outcome == scheduler.Failed && brokenOff(err):
		onset := !begun || s.options.Clock.Now().Sub(t.attemptBegan) < onsetTime(r.service.Engine)
		go s.inspect(r, firstEngine(r, p), begun, onset)
	case outcome == scheduler.Finished && begun:
		s.options.Control.Sound(r.candidates)
	}
}

// brokenOff reports whether an attempt ended because the connection did: the engine may have crashed.
func brokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// inspect finds out whether the engine of a broken attempt has ended, or only the connection to it. If it has crashed, the prompt may be
// the cause.
func (s *Server) inspect(r *request, engine Reservation, begun, onset bool) {
	started := s.options.Control.View().Catalogue.Targets[engine.Engine].Started
	err := s.order(context.Background(), engine, s.options.Orders.Check(engine))
	ended := engineEnded(err)
	s.options.Metrics.recordBroken(ended, begun)
	s.options.Log.Info().Str("request", string(r.id)).Str("target", string(engine.Engine)).Bool("ended", ended).
		Bool("begun", begun).Bool("onset", onset).Strs("parts", namer.PartNames(r.candidates)).Err(err).
		Msg("receiver: engine of a broken attempt")
	if ended {
		s.options.Control.Crashed(isolator.Crash{
			Engine:  engine.Engine,
			Started: started,
			Request: r.id,
			Parts:   r.candidates,
			Late:    !onset,
		})
	}
}

// engineEnded reports whether the answer to a check shows that the run of the engine has ended.
func engineEnded(err error) bool {
	var refused *ReservationError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Status == http.StatusMisdirectedRequest || errors.Is(err, syscall.ECONNREFUSED)
}
