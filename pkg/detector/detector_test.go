package detector

import (
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

func assertUnread(t *testing.T, d *Detector, now time.Time, least, most time.Duration) {
	t.Helper()
	if got := d.Unread(now); got < least || got > most {
		t.Errorf("a request may have waited for %s, want %s to %s", got, least, most)
	}
}

// Guards against treating a request that was sent during a pause as new: its caller was promised an answer within a time that has
// partly passed (scenario instance_paused: 3 of 1,593 callers had no answer within their deadline).
func TestRequestsSentDuringAPause(t *testing.T) {
	const pause = 16 * time.Second
	s := DefaultSettings()
	start := time.Unix(1_000, 0)
	newDetector := func() (*Detector, time.Time) {
		d := New(timer.NewManual(start), s)
		now := start
		for range 20 {
			now = now.Add(s.Interval)
			d.check(now)
		}
		return d, now
	}
	t.Run("without a pause", func(t *testing.T) {
		d, now := newDetector()
		assertUnread(t, d, now.Add(s.Interval/2), 0, 0)
	})
	t.Run("a check that is a little late", func(t *testing.T) {
		d, now := newDetector()
		d.check(now.Add(s.Threshold))
		assertUnread(t, d, now.Add(s.Threshold), 0, 0)
	})
	t.Run("read before the first check after the pause", func(t *testing.T) {
		d, now := newDetector()
		assertUnread(t, d, now.Add(pause), pause, pause+s.Interval)
	})
	t.Run("read just after the pause", func(t *testing.T) {
		d, now := newDetector()
		d.check(now.Add(pause))
		assertUnread(t, d, now.Add(pause+s.Backlog/2), pause, pause+s.Backlog)
	})
	t.Run("read later", func(t *testing.T) {
		d, now := newDetector()
		resumed := now.Add(pause)
		d.check(resumed)
		for range 3 {
			resumed = resumed.Add(s.Interval)
			d.check(resumed)
		}
		assertUnread(t, d, resumed, 0, 0)
	})
}
