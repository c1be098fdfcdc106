package detector

import (
	"context"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Settings are the parameters of a Detector.
type Settings struct {
	// Interval is the time between two checks.
	Interval time.Duration
	// Threshold is the delay of a check above which the process counts as paused.
	Threshold time.Duration
	// Backlog is how long after a pause requests from the time of the pause may still be read.
	Backlog time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Interval:  250 * time.Millisecond,
		Threshold: 500 * time.Millisecond,
		Backlog:   500 * time.Millisecond,
	}
}

// Detector detects pauses by late checks; it is safe for concurrent use.
type Detector struct {
	settings Settings
	clock    timer.Clock

	mu sync.Mutex
	// lastCheck is the time of the last check; pausedAt and resumedAt are the bounds of the last pause.
	lastCheck time.Time
	pausedAt  time.Time
	resumedAt time.Time
}

// New returns a detector whose checks start with Run.
func New(clock timer.Clock, s Settings) *Detector {
	return &Detector{
		settings:  s,
		clock:     clock,
		lastCheck: clock.Now(),
	}
}

// Run checks at each interval until the context ends.
func (d *Detector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(d.settings.Interval):
			d.check(d.clock.Now())
		}
	}
}

// check records the time of a check, and a pause if it is late.
func (d *Detector) check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastCheck) > d.settings.Interval+d.settings.Threshold {
		d.pausedAt, d.resumedAt = d.lastCheck, now
	}
	d.lastCheck = now
}

// Unread returns how long a request that is read now may have waited in a socket's buffer because of a pause; it is 0 unless a pause has
// just ended.
func (d *Detector) Unread(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case now.Sub(d.lastCheck) > d.settings.Interval+d.settings.Threshold:
		// The pause has ended, but the check isn't done yet.
		return now.Sub(d.lastCheck)
	case !d.resumedAt.IsZero() && now.Sub(d.resumedAt) <= d.settings.Backlog:
		return now.Sub(d.pausedAt)
	default:
		return 0
	}
}
