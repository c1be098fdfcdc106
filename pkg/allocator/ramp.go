package allocator

import "time"

const (
	// coldShare is the share of a cold target's memory that may be allocated.
	coldShare = 0.1
	// rampWindow is the time without a sign of a cold target after which the share doubles.
	rampWindow = 5 * time.Second
	// goodRate and coldRate are shares of the normal prefill rate.
	goodRate = 0.5
	coldRate = 1.0 / 3
	// coldPrefills is the number of slow prefills in a row that show a cold target; a single one may have waited behind
	// others that its sender did not know of.
	coldPrefills = 3
)

// ramp limits how much of a target that was cold may be allocated.
type ramp struct {
	warm float64
	// since is the start of the present window.
	since time.Time
	// reported is the time of the latest load report that does not say cold.
	reported time.Time
	// slow counts the slow prefills in a row.
	slow int
}

func (r *ramp) share() float64 {
	return max(coldShare, r.warm)
}

// reset returns to the share of a cold target.
func (r *ramp) reset(now time.Time) {
	r.warm = coldShare
	r.slow = 0
	r.restart(now)
}

func (r *ramp) restart(now time.Time) {
	r.since = now
	r.reported = time.Time{}
}

// observe notes the prefill rate of a finished request.
func (r *ramp) observe(rate, normal float64, now time.Time) {
	switch {
	case rate < normal*coldRate:
		r.slow++
		if r.slow >= coldPrefills {
			r.reset(now)
		}
	case rate < normal*goodRate:
		r.restart(now)
	default:
		r.slow = 0
	}
	r.advance(now)
}

// report notes a load report; one that is older than the window does not show that the target is warm.
func (r *ramp) report(cold bool, age time.Duration, now time.Time) {
	if cold {
		r.reset(now)
		return
	}
	if at := now.Add(-age); at.After(r.reported) {
		r.reported = at
	}
	r.advance(now)
}

func (r *ramp) advance(now time.Time) {
	// The engine's own report from the second half of the window is enough: a target that nobody uses yet must warm up
	// too, or prompts that need most of its memory could never be placed.
	if r.warm >= 1 || now.Sub(r.since) < rampWindow || r.reported.Sub(r.since) < rampWindow/2 {
		return
	}
	r.warm = min(1, r.share()*2)
	r.restart(now)
}
