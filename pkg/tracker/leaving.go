package tracker

import "time"

// Serve changes the state from starting to serving.
func (t *Tracker) Serve(now time.Time) []Action {
	if t.state != StateStarting {
		return nil
	}
	t.state = StateServing
	return []Action{t.write(now)}
}

// Leave starts the planned stop of this instance.
func (t *Tracker) Leave(now time.Time) []Action {
	if t.state == StateLeaving || t.state == StateLeft {
		return nil
	}
	t.state = StateLeaving
	t.leaveAt = now
	return append([]Action{t.write(now)}, t.decideLeaving(now)...)
}

// SetRunning notes how many requests and duties (such as ownership) still hold this instance back from leaving.
func (t *Tracker) SetRunning(running int, now time.Time) []Action {
	t.running = running
	return t.decideLeaving(now)
}

// Accepting reports whether new requests are accepted; callers may hold addresses for a while after a departure.
func (t *Tracker) Accepting(now time.Time) bool {
	switch {
	case t.state == StateStarting || t.state == StateLeft:
		return false
	case t.state == StateLeaving && now.Sub(t.leaveAt) >= t.settings.AcceptWhileLeaving:
		return false
	default:
		return t.outAt.IsZero() || now.Sub(t.outAt) < t.settings.AcceptWhileLeaving
	}
}

// decideLeaving follows the timeline of a planned stop and of the own data centre's departure.
func (t *Tracker) decideLeaving(now time.Time) []Action {
	t.noteOut(now)
	if t.state == StateStarting || t.state == StateLeft {
		return nil
	}
	var actions []Action
	accepting := t.Accepting(now)
	switch {
	case !accepting && !t.stopped:
		actions = append(actions, StopAccepting{})
	case accepting && t.stopped:
		actions = append(actions, ResumeAccepting{})
	}
	t.stopped = !accepting
	if t.state == StateLeaving && t.stopped && t.running == 0 {
		t.state = StateLeft
		actions = append(actions, t.write(now), Exit{})
	}
	return actions
}

func (t *Tracker) noteOut(now time.Time) {
	switch out := t.dataCentreOut(t.settings.DataCentre); {
	case !out:
		t.outAt = time.Time{}
	case t.outAt.IsZero():
		t.outAt = now
	}
}
