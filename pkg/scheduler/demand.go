package scheduler

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Demand is what callers ask of the engines of one service.
type Demand struct {
	// Offered is the prefill time of all prompts submitted so far, on one engine; repeated requests count once.
	Offered time.Duration
	// Waiting is the prefill time of the prompts in the queue.
	Waiting time.Duration
	// Running and Queued are the numbers of placed and of waiting requests.
	Running int
	Queued  int
}

// Demand returns the demand for a service.
func (s *Scheduler) Demand(service namer.Service) Demand {
	d := Demand{
		Offered: s.offered[service],
	}
	for _, q := range s.queue {
		if q.Service == service {
			d.Queued++
			d.Waiting += s.prefillOf(q)
		}
	}
	for _, r := range s.running {
		if r.request.Service == service {
			d.Running++
		}
	}
	return d
}

// addOffered counts the prompt of a submitted request. Without an engine of the service its speed isn't known, and nothing is counted.
func (s *Scheduler) addOffered(r *Request) {
	if !r.Resubmitted && !r.Retried {
		s.offered[r.Service] += s.prefillOf(r)
	}
}

func (s *Scheduler) prefillOf(r *Request) time.Duration {
	e := s.anyEngine(r)
	if e == nil {
		return 0
	}
	return prefillTime(&e.Speed, r.PromptTokens, 1)
}
