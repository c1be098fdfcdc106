package storer

import (
	"errors"
	"time"
)

// RetryPolicy bounds how a call is repeated.
type RetryPolicy struct {
	// Attempts is the number of calls of one operation, reads back included.
	Attempts int
	Base     time.Duration
	Max      time.Duration
}

// DefaultRetryPolicy returns the policy of today's deployment.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{
		Attempts: 5,
		Base:     50 * time.Millisecond,
		Max:      2 * time.Second,
	}
}

// Decision is what to do after a failed call.
type Decision interface{ decision() }

// GiveUp ends the operation with the error.
type GiveUp struct{}

// Retry repeats the same call after a delay.
type Retry struct {
	Delay time.Duration
}

// Resolve reads the object back after a delay, because a write may have taken effect.
type Resolve struct {
	Delay time.Duration
}

func (GiveUp) decision()  {}
func (Retry) decision()   {}
func (Resolve) decision() {}

// Decide returns what to do after the call number attempt (from 1) failed; random is in [0,1).
func (p RetryPolicy) Decide(attempt int, write bool, err error, random float64) Decision {
	var throttled *ThrottledError
	var unavailable *UnavailableError
	switch {
	case attempt >= p.Attempts:
		return GiveUp{}
	case errors.As(err, &throttled):
		return Retry{
			Delay: p.delay(attempt, random),
		}
	case errors.As(err, &unavailable) && write && unavailable.Sent:
		return Resolve{
			Delay: p.delay(attempt, random),
		}
	case errors.As(err, &unavailable):
		return Retry{
			Delay: p.delay(attempt, random),
		}
	default:
		return GiveUp{}
	}
}

// delay doubles with each attempt and is spread over its upper half, so that instances do not retry in step.
func (p RetryPolicy) delay(attempt int, random float64) time.Duration {
	full := p.Max
	if shift := attempt - 1; shift < 32 {
		full = min(p.Max, p.Base<<shift)
	}
	return full/2 + time.Duration(random*float64(full/2))
}

// CertainlyNotWritten reports whether a failed write cannot have taken effect: it was refused before it was done, or never
// left.
func CertainlyNotWritten(err error) bool {
	var throttled *ThrottledError
	var budget *BudgetError
	var unavailable *UnavailableError
	return errors.As(err, &throttled) || errors.As(err, &budget) || errors.As(err, &unavailable) && !unavailable.Sent
}
