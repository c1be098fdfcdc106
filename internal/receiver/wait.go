package receiver

import (
	"context"
	"time"
)

const (
	// waitDivisor divides the time that a caller still waits to get how long its request waits for the rules and targets, and maxWait is
	// the longest such time: they come within milliseconds, or another instance serves the caller sooner.
	waitDivisor = 20
	maxWait     = 250 * time.Millisecond
	// maxWaiters is the maximum number of requests that wait at a time.
	maxWaiters = 256
)

// awaitInformed waits for the rules and targets if this instance has just started and doesn't know them yet.
func (s *Server) awaitInformed(ctx context.Context, r *request) {
	if s.options.Control.View().Informed || s.leavingSince.Load() != 0 {
		return
	}
	limit := maxWait
	if !r.callerDeadline.IsZero() {
		limit = min(limit, r.callerDeadline.Sub(r.received)/waitDivisor)
	}
	defer s.waiters.Add(-1)
	if s.waiters.Add(1) > maxWaiters {
		s.options.Metrics.recordWait(waitFull)
		return
	}
	select {
	case <-s.options.Control.Informed():
		s.options.Metrics.recordWait(waitInformed)
	case <-s.options.Clock.After(limit):
		s.options.Metrics.recordWait(waitInVain)
	case <-ctx.Done():
		s.options.Metrics.recordWait(waitInVain)
	case <-s.ending.Done():
	}
}

// silentTime is the time after its start from which an instance that isn't informed takes the store to be down: calls to it take
// milliseconds, but only count as failed after a second.
const silentTime = 300 * time.Millisecond

// honouredDivisor divides the time that a caller still waits to get the longest retry delay that it honours.
const honouredDivisor = 3

// uninformedRetry returns the retry delay of a request that has waited in vain. Many are refused at once, so that the delays are spread by
// the given number from 0 to 1. While the store doesn't answer, callers come back as late as they can, since most come once more only.
func uninformedRetry(r *request, spread float64) time.Duration {
	shortest, longest := noRulesRetry, 2*noRulesRetry
	if !r.callerDeadline.IsZero() && r.callerDeadline.After(r.received) {
		honoured := r.callerDeadline.Sub(r.received) / honouredDivisor
		longest = min(longest, honoured)
		if r.view.StoreLost || !r.view.Informed && r.received.Sub(r.view.Began) > silentTime {
			shortest, longest = honoured/2, honoured
		}
	}
	shortest = min(shortest, longest)
	return shortest + time.Duration(spread*float64(longest-shortest))
}
