package tallier

import (
	"slices"
	"time"
)

// maxStep is the largest change of the time of day against the steady clock, within the pause between two readings, that counts as an
// adjustment; a larger one is a jump.
const maxStep = 100 * time.Millisecond

const (
	// maxDifference is how far the clock may be from those of most others, and differencePeriod how long it may be farther before it is set
	// to them: messages that wait at a machine that was suspended look late for a moment.
	maxDifference    = 500 * time.Millisecond
	differencePeriod = 3 * time.Second
)

// Clock tells the true time on a machine whose time of day may jump: it follows the time of day in small steps only.
type Clock struct {
	// offset is the true time of the zero of the steady clock; set is unset before the first reading.
	offset time.Time
	set    bool
	// differs is set while the clock is far from most others, and differsSince is since when by the steady clock.
	differs      bool
	differsSince time.Duration
}

// Read takes a reading of the time of day and of a steady clock that counts suspension, and returns the true time.
func (c *Clock) Read(steady time.Duration, timeOfDay time.Time) time.Time {
	offset := timeOfDay.Round(0).Add(-steady)
	step := offset.Sub(c.offset)
	if !c.set || step.Abs() <= maxStep {
		c.offset, c.set = offset, true
	}
	return c.offset.Add(steady)
}

// Compare takes the differences of other clocks to this one. If most have been far from it for some time, it is set to them, and Compare
// returns by how much. An instance that starts while its time of day is off has no other way to know.
func (c *Clock) Compare(steady time.Duration, others []time.Duration) time.Duration {
	all := append([]time.Duration{0}, others...)
	slices.Sort(all)
	// Of an even number, both middle ones must be off.
	low, high := all[(len(all)-1)/2], all[len(all)/2]
	median := low
	if low.Abs() > high.Abs() {
		median = high
	}
	switch {
	case median.Abs() <= maxDifference:
		c.differs = false
	case !c.differs:
		c.differs, c.differsSince = true, steady
	case steady-c.differsSince >= differencePeriod:
		c.differs = false
		c.offset = c.offset.Add(median)
		return median
	}
	return 0
}
