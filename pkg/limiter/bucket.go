package limiter

import "time"

// Bucket is a token bucket; its methods take the current time as an argument. It is not safe for concurrent use.
type Bucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a full bucket that is refilled with rate tokens per second, up to burst.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{
		rate:       rate,
		burst:      burst,
		tokens:     burst,
		refilledAt: now,
	}
}

// Take removes a token and returns true if the bucket holds at least one token more than reserve.
func (b *Bucket) Take(reserve float64, now time.Time) bool {
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until Take can succeed with the same reserve, or the maximum duration if it never can.
func (b *Bucket) Wait(reserve float64, now time.Time) time.Duration {
	b.refill(now)
	missing := 1 + reserve - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 || 1+reserve > b.burst {
		return time.Duration(1<<63 - 1)
	}
	// The conversion rounds down; one more nanosecond keeps the caller from waking too early.
	return time.Duration(missing/b.rate*float64(time.Second)) + 1
}

// refill adds the tokens gained since the last refill; it does nothing if the clock went backwards.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
}
