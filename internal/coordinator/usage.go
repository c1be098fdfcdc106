package coordinator

import (
	"math"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
)

const (
	// usageInterval is the period over which the used processor capacity is measured.
	usageInterval = time.Second
	// usageWarmUp is how long an instance's own start takes processor time that isn't spent on callers.
	usageWarmUp = 5 * time.Second
	// usageMemory is the time constant with which a past peak of the load is forgotten.
	usageMemory = 10 * time.Second
)

// usage measures the processor capacity that an instance uses, and that a leader's listed instances use together.
type usage struct {
	started    time.Time
	measuredAt time.Time
	total      time.Duration
	// cores is the capacity that this instance uses.
	cores float64
	// peak is the recent peak of the capacity that the listed instances use, in cores.
	peak float64
}

// measureUsage measures once per interval; a leader then updates the peak by which it chooses the instances for callers.
func (c *Coordinator) measureUsage(now time.Time) {
	u := &c.usage
	if c.options.ProcessorTime == nil || now.Sub(u.measuredAt) < usageInterval {
		return
	}
	total := c.options.ProcessorTime()
	if u.started.IsZero() {
		u.started = now
	}
	if elapsed := now.Sub(u.measuredAt); now.Sub(u.started) > usageWarmUp {
		u.cores = max(0, (total-u.total).Seconds()/elapsed.Seconds())
	}
	u.peak *= math.Exp(-now.Sub(u.measuredAt).Seconds() / usageMemory.Seconds())
	u.peak = max(u.peak, c.listedUsage())
	u.measuredAt, u.total = now, total
	if c.convener.Role() == convener.Leading {
		c.findCrowded()
	}
	c.viewOutdated = c.viewOutdated || c.chosenForLoad()
}

// listedUsage returns the capacity that the listed followers report to use. The leader's own is left out, since it grows with the
// number of followers and not with the load of callers.
func (c *Coordinator) listedUsage() float64 {
	sum := 0.0
	for l := range c.followers {
		if !l.listedAt.IsZero() {
			sum += l.used
		}
	}
	return sum
}

// chosenForLoad reports whether the load alone determines how many instances callers use.
func (c *Coordinator) chosenForLoad() bool {
	d := &c.options.Director
	return len(c.followers) > 0 && d.Headroom*c.usage.peak > d.MinCores
}
