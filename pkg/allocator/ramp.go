package allocator

import "time"

const (
	// coldShare is the share of memory that may be allocated on a cold target.
	coldShare = 0.1
	// rampWindow is the time without a sign that the target is cold after which the share doubles.
	rampWindow = 5 * time.Second
	// A prefill below coldRate × the normal rate counts as slow; one between it and warmRate × the normal rate restarts
	// the window.
	warmRate = 0.5
	coldRate = 1.0 / 3
	// coldPrefills is the number of consecutive slow prefills that show a cold target; a single one may have waited
	// behind others that its sender did not know of.
	coldPrefills = 3
)

// ramp limits how much of a target may be allocated while it warms up.
type ramp struct {
	warmShare float64
	// windowStart is the start of the current window.
	windowStart time.Time
	// warmReportAt is the time at which the engine made its latest load report that does not say cold.
	warmReportAt time.Time
	// slowPrefills counts consecutive slow prefills.
	slowPrefills int
}

func (r *ramp) share() float64 {
	return max(coldShare, r.warmShare)
}

// reset lowers the share to that of a cold target.
func (r *ramp) reset(now time.Time) {
	r.warmShare = coldShare
	r.slowPrefills = 0
	r.restartWindow(now)
}

func (r *ramp) restartWindow(now time.Time) {
	r.windowStart = now
	r.warmReportAt = time.Time{}
}

// observe applies the prefill rate of a finished request.
func (r *ramp) observe(rate, normal float64, now time.Time) {
	switch {
	case rate < normal*coldRate:
		r.slowPrefills++
		if r.slowPrefills >= coldPrefills {
			r.reset(now)
		}
	case rate < normal*warmRate:
		r.restartWindow(now)
	default:
		r.slowPrefills = 0
	}
	r.advance(now)
}

// report applies a load report that the engine made age ago; one made before the window does not show a warm target.
func (r *ramp) report(cold bool, age time.Duration, now time.Time) {
	if cold {
		r.reset(now)
		return
	}
	if at := now.Add(-age); at.After(r.warmReportAt) {
		r.warmReportAt = at
	}
	r.advance(now)
}

func (r *ramp) advance(now time.Time) {
	// A load report from the second half of the window is enough, without any prefill: an unused target must warm up
	// too, or prompts that need most of its memory could never be placed.
	if r.warmShare >= 1 || now.Sub(r.windowStart) < rampWindow || r.warmReportAt.Sub(r.windowStart) < rampWindow/2 {
		return
	}
	r.warmShare = min(1, r.share()*2)
	r.restartWindow(now)
}
