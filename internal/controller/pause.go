package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// pauseNoticed is the time without a turn of the control goroutine after which departures may have been missed. It leaves
// two of the three seconds in which a departure must be in force for one exchange with a peer or the store.
const pauseNoticed = time.Second

// pause is what this instance knows of its last pause.
type pause struct {
	turn time.Time
	// since is when the goroutine ran again; zero if the departures were confirmed since.
	since time.Time
	// postponed are the messages that would place work.
	postponed []message
}

// notePause notices that the process was paused. What peers and callers had sent meanwhile is still in the sockets and says
// nothing of the present, so that work is placed only after an exchange that began since.
func (c *Controller) notePause(now time.Time) {
	last := c.pause.turn
	c.pause.turn = now
	if last.IsZero() || now.Sub(last) < pauseNoticed {
		return
	}
	c.options.Log.Warn().Dur("pause", now.Sub(last)).Msg("controller: resumed after a pause")
	c.pause.since = now
	c.sendHeartbeats(now, true)
	c.readDeparture(now)
}

// unconfirmed reports whether departures may have been missed in a pause.
func (c *Controller) unconfirmed() bool {
	return !c.pause.since.IsZero()
}

// confirmDepartures ends the doubt after an exchange that began at a time and named the version in force.
func (c *Controller) confirmDepartures(began time.Time, version int64, now time.Time) {
	own, _ := c.tracker.Departures()
	if !c.unconfirmed() || began.Before(c.pause.since) || own < version {
		return
	}
	c.pause.since = time.Time{}
	postponed := c.pause.postponed
	c.pause.postponed = nil
	for _, m := range postponed {
		c.handle(m, now)
	}
	c.traffic.roomChanged(now)
}

// postpone keeps a message that would place work while departures may have been missed.
func (c *Controller) postpone(m message) bool {
	switch m.(type) {
	case *admit, callWanted:
		if c.unconfirmed() {
			c.pause.postponed = append(c.pause.postponed, m)
			return true
		}
	}
	return false
}

// refusePostponed refuses what has been postponed for as long as an instance may be without contact.
func (c *Controller) refusePostponed(now time.Time) {
	if !c.unconfirmed() || now.Sub(c.pause.since) < c.options.Settings.Times.Isolation {
		return
	}
	for _, m := range c.pause.postponed {
		r := refusal(refuser.Isolated, "this instance was paused and has not reached the store or other instances since: use another address")
		r.RetryAfter = time.Second
		switch m := m.(type) {
		case *admit:
			if m.failure != nil {
				r.Ran = m.request.Ran
			}
			m.reply <- admission{
				err: r,
			}
		case callWanted:
			m.reply <- callAdmission{
				err: r,
			}
		}
	}
	c.pause.postponed = nil
}
