package engine

import "time"

// clock is a clock that runs faster than the machine's clock by a factor.
type clock struct {
	start time.Time
	speed float64
}

// Now returns the emulated time.
func (c clock) Now() time.Time {
	return c.start.Add(time.Duration(float64(time.Since(c.start)) * c.speed))
}

// After returns a channel that receives once d has passed in emulated time.
func (c clock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.speed))
}
