package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// pauseThreshold is the time without an iteration of the control loop after which departures may have been missed. A
// departure must be in force within three seconds; the threshold leaves two of them for a call to a peer or the store.
const pauseThreshold = time.Second

// pause is the state of the detection of process pauses.
type pause struct {
	// lastRun is when the control loop last ran.
	lastRun time.Time
	// resumedAt is when the control loop ran again after a pause; zero once the departures are confirmed.
	resumedAt time.Time
	// postponed holds the placement requests that arrived before the departures were confirmed.
	postponed []message
}

// detectPause detects that the process was paused. Messages that arrived during the pause are still in the socket buffers and
// may be out of date, so requests are placed only after a call to a peer or the store that began after the pause.
func (c *Controller) detectPause(now time.Time) {
	last := c.pause.lastRun
	c.pause.lastRun = now
	if last.IsZero() || now.Sub(last) < pauseThreshold {
		return
	}
	c.options.Log.Warn().Dur("pause", now.Sub(last)).Msg("controller: resumed after a pause")
	c.pause.resumedAt = now
	c.sendHeartbeats(now, true)
	c.readDeparture(now)
}

// departuresUnconfirmed reports whether departures may have been missed during a pause.
func (c *Controller) departuresUnconfirmed() bool {
	return !c.pause.resumedAt.IsZero()
}

// confirmDepartures resumes placement after a call that began after the pause and returned a departure version that this
// instance already has. It then handles the postponed messages.
func (c *Controller) confirmDepartures(began time.Time, version int64, now time.Time) {
	known, _ := c.tracker.Departures()
	if !c.departuresUnconfirmed() || began.Before(c.pause.resumedAt) || known < version {
		return
	}
	c.pause.resumedAt = time.Time{}
	postponed := c.pause.postponed
	c.pause.postponed = nil
	for _, m := range postponed {
		c.handle(m, now)
	}
	c.traffic.retryQueues(now)
}

// postpone queues a placement request and returns true while departures may have been missed.
func (c *Controller) postpone(m message) bool {
	switch m.(type) {
	case *admissionRequest, callRequested:
		if c.departuresUnconfirmed() {
			c.pause.postponed = append(c.pause.postponed, m)
			return true
		}
	}
	return false
}

// refusePostponed refuses the postponed requests when the departures are still unconfirmed after the isolation time.
func (c *Controller) refusePostponed(now time.Time) {
	if !c.departuresUnconfirmed() || now.Sub(c.pause.resumedAt) < c.options.Settings.Times.Isolation {
		return
	}
	for _, m := range c.pause.postponed {
		r := newRefusal(refuser.Isolated, "this instance was paused and has not reached the store or other instances since: use another address")
		r.RetryAfter = time.Second
		switch m := m.(type) {
		case *admissionRequest:
			if m.failure != nil {
				r.Ran = m.request.Ran
			}
			m.reply <- admissionResult{
				err: r,
			}
		case callRequested:
			m.reply <- callAdmissionResult{
				err: r,
			}
		}
	}
	c.pause.postponed = nil
}
