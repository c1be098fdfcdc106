package allocator

import "time"

const (
	// coldShare is the share of a cold target's memory that may be allocated.
	coldShare = 0.1
	// rampWindow is the time of good prefill after which the share doubles.
	rampWindow = 5 * time.Second
	// goodRate and coldRate are shares of the normal prefill rate.
	goodRate = 0.5
	coldRate = 1.0 / 3
)

// ramp limits how much of a target that was cold may be allocated.
type ramp struct {
	warm float64
	// since is the start of the present window.
	since    time.Time
	good     int
	reported bool
}

func (r *ramp) share() float64 {
	return max(coldShare, r.warm)
}

// reset returns to the share of a cold target.
func (r *ramp) reset(now time.Time) {
	r.warm = coldShare
	r.restart(now)
}

func (r *ramp) restart(now time.Time) {
	r.since = now
	r.good = 0
	r.reported = false
}

// observe notes the prefill rate of a finished request.
func (r *ramp) observe(rate, normal float64, now time.Time) {
	switch {
	case rate < normal*coldRate:
		r.reset(now)
	case rate < normal*goodRate:
		r.restart(now)
	default:
		r.good++
	}
	r.advance(now)
}

// report notes a load report; one that is older than the window does not show that the target is warm.
func (r *ramp) report(cold bool, age time.Duration, now time.Time) {
	if cold {
		r.reset(now)
		return
	}
	r.reported = r.reported || !now.Add(-age).Before(r.since)
	r.advance(now)
}

func (r *ramp) advance(now time.Time) {
	if r.warm >= 1 || r.good == 0 || !r.reported || now.Sub(r.since) < rampWindow {
		return
	}
	r.warm = min(1, r.share()*2)
	r.restart(now)
}
