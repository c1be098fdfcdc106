package storer

import (
	"errors"
	"time"
)

// RetryPolicy bounds the retries of a call.
type RetryPolicy struct {
	// MaxAttempts is the largest number of calls of one operation, read-backs included.
	MaxAttempts int
	// BaseDelay is the upper bound of the first delay. The bound doubles with each attempt, up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// DefaultRetryPolicy returns the policy of DefaultClientSettings.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{
		MaxAttempts: 5,
		BaseDelay:   50 * time.Millisecond,
		MaxDelay:    2 * time.Second,
	}
}

// Decision is what to do after a failed call.
type Decision interface{ decision() }

// GiveUp ends the operation with the error of the call.
type GiveUp struct{}

// Retry repeats the same call after a delay.
type Retry struct {
	Delay time.Duration
}

// ReadBack reads the object after a delay, because the write may have taken effect.
type ReadBack struct {
	Delay time.Duration
}

func (GiveUp) decision()   {}
func (Retry) decision()    {}
func (ReadBack) decision() {}

// Decide returns what to do after the given attempt (from 1) failed with err; random in [0,1) sets the jitter.
func (p RetryPolicy) Decide(attempt int, write bool, err error, random float64) Decision {
	var throttled *ThrottledError
	var unavailable *UnavailableError
	switch {
	case attempt >= p.MaxAttempts:
		return GiveUp{}
	case errors.As(err, &throttled):
		return Retry{
			Delay: p.delay(attempt, random),
		}
	case errors.As(err, &unavailable) && write && unavailable.Sent:
		return ReadBack{
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

// delay returns an exponential delay with jitter over its upper half, so that instances do not retry at the same time.
func (p RetryPolicy) delay(attempt int, random float64) time.Duration {
	full := p.MaxDelay
	if shift := attempt - 1; shift < 32 {
		full = min(p.MaxDelay, p.BaseDelay<<shift)
	}
	return full/2 + time.Duration(random*float64(full/2))
}

// CertainlyNotWritten reports whether a failed write cannot have taken effect, because it was not sent or the store
// refused it for its rate limit.
func CertainlyNotWritten(err error) bool {
	var throttled *ThrottledError
	var budget *BudgetError
	var unavailable *UnavailableError
	return errors.As(err, &throttled) || errors.As(err, &budget) || errors.As(err, &unavailable) && !unavailable.Sent
}
