package limiter

import "time"

// Bucket is a token bucket whose time is passed in; it is not safe for concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket that gains rate tokens a second up to burst.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{
		rate:   rate,
		burst:  burst,
		tokens: burst,
		last:   now,
	}
}

// Take removes one token if at least one remains above the reserve.
func (b *Bucket) Take(reserve float64, now time.Time) bool {
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until Take with the same reserve can succeed.
func (b *Bucket) Wait(reserve float64, now time.Time) time.Duration {
	b.refill(now)
	missing := 1 + reserve - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 || 1+reserve > b.burst {
		return time.Duration(1<<63 - 1)
	}
	// One nanosecond more, because rounding down would wake the caller too early.
	return time.Duration(missing/b.rate*float64(time.Second)) + 1
}

// refill ignores a clock that went back.
func (b *Bucket) refill(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.rate)
}
