package timer

import (
	"sync"
	"time"
)

// Clock returns the current time and waits for a duration.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// System is the system clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Manual is a clock that only advances through Advance.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	due     time.Time
	channel chan time.Time
}

// NewManual returns a manual clock set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{
		now: start,
	}
}

// Now returns the current time of the manual clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once the clock has been advanced by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- m.now
		return c
	}
	m.waiters = append(m.waiters, waiter{
		due:     m.now.Add(d),
		channel: c,
	})
	return c
}

// Advance moves the clock forward by d and wakes the waiters that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.due.After(m.now) {
			kept = append(kept, w)
			continue
		}
		w.channel <- m.now
	}
	m.waiters = kept
}
