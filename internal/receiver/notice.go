package receiver

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/abstainer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// NoticeDecoder decodes what a target says of itself in the header of an answer.
type NoticeDecoder func(status int, header http.Header) abstainer.Notice

// run returns the run of a target that is listed now.
func (s *Server) run(id namer.Target) abstainer.Run {
	return abstainer.Run{
		Target:  id,
		Started: s.options.Control.View().Catalogue.Targets[id].Started,
	}
}

// hear records what a target says of itself in an answer. It holds for all requests of this instance before the answer is passed on,
// and the leader hears of a target that leaves.
func (s *Server) hear(request namer.Request, run abstainer.Run, answer *forwarder.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		// Another run answers for itself at this address.
		return
	}
	notice := s.options.Notices(answer.Status, answer.Header)
	if answer.Early != nil {
		notice.Leaving = notice.Leaving || s.options.Notices(answer.Status, answer.Early).Leaving
	}
	now := s.options.Clock.Now()
	if notice.Ignored != "" {
		s.options.Metrics.recordNotice(noticeIgnored)
		s.options.Log.Info().Str("request", string(request)).Str("target", string(run.Target)).Str("value", notice.Ignored).
			Msg("receiver: notice of a target ignored")
	}
	change := s.abstainer.Hear(now, run, notice)
	if change.Leaves {
		s.options.Metrics.recordNotice(noticeLeaving)
		s.logNotice(request, run).Msg("receiver: target says that it leaves")
		s.options.Control.Leaves(run)
	}
	if !change.RestsUntil.IsZero() {
		s.options.Metrics.recordNotice(noticeRest)
		s.logNotice(request, run).Dur("asked", notice.Rest).Time("until", change.RestsUntil).
			Msg("receiver: target wants no requests for a while")
	}
}

func (s *Server) logNotice(request namer.Request, run abstainer.Run) *log.Entry {
	return s.options.Log.Info().Str("request", string(request)).Str("target", string(run.Target)).Time("started", run.Started)
}

// unwilling reports whether an attempt wasn't sent because the target has said that it wants no requests.
func unwilling(err error) bool {
	var e *abstainer.UnwillingError
	return errors.As(err, &e)
}

// checkHelpers reports with an UnwillingError that an engine that is to read a part of a prompt wants no requests.
func (s *Server) checkHelpers(p scheduler.Placement) error {
	now := s.options.Clock.Now()
	for _, h := range p.Helpers {
		if err := s.abstainer.Unwilling(now, s.run(h.Engine)); err != nil {
			return err
		}
	}
	return nil
}

// abstaining returns the targets of the request's service that want no requests now.
func (s *Server) abstaining(r *request) []namer.Target {
	if s.abstainer.Quiet() {
		return nil
	}
	now := s.options.Clock.Now()
	var list []namer.Target
	for id, t := range s.options.Control.View().Catalogue.Targets {
		run := abstainer.Run{
			Target:  id,
			Started: t.Started,
		}
		if t.Service == r.service.Name && s.abstainer.Unwilling(now, run) != nil {
			list = append(list, id)
		}
	}
	return list
}

// refuseUnwilling refuses a request for which no target is left but those that want no requests; nil if there is another one, or none
// at all.
func (s *Server) refuseUnwilling(r *request, excluded []namer.Target) *refusal {
	if s.abstainer.Quiet() || r.sends > 0 {
		return nil
	}
	now := s.options.Clock.Now()
	catalogue := s.options.Control.View().Catalogue
	var first *abstainer.UnwillingError
	for id, t := range catalogue.Targets {
		if t.Service != r.service.Name || !catalogue.Usable(id) {
			continue
		}
		var e *abstainer.UnwillingError
		unwilling := errors.As(s.abstainer.Unwilling(now, abstainer.Run{Target: id, Started: t.Started}), &e)
		switch {
		case !unwilling && slices.Contains(excluded, id):
		case !unwilling:
			return nil
		case first == nil || first.Leaving || !e.Leaving && e.Until.Before(first.Until):
			first = e
		}
	}
	if first == nil {
		return nil
	}
	after := noTargetRetry
	if !first.Leaving {
		after = max(first.Until.Sub(now), time.Millisecond)
	}
	return unavailable(reasonUnwilling, "no target wants requests: "+first.Error(), after)
}
