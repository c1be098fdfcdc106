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

// Leave starts the graceful shutdown of this instance.
func (t *Tracker) Leave(now time.Time) []Action {
	if t.state == StateLeaving || t.state == StateLeft {
		return nil
	}
	t.state = StateLeaving
	t.leavingSince = now
	return append([]Action{t.write(now)}, t.updateLeaving(now)...)
}

// SetPendingWork sets the number of requests and duties (such as ownership) that must end before this instance can leave.
func (t *Tracker) SetPendingWork(pending int, now time.Time) []Action {
	t.pendingWork = pending
	return t.updateLeaving(now)
}

// Accepting reports whether new requests are accepted. An instance accepts them for AcceptWhileLeaving after it leaves or
// its data centre is taken out of service, because callers cache addresses.
func (t *Tracker) Accepting(now time.Time) bool {
	switch {
	case t.state == StateStarting || t.state == StateLeft:
		return false
	case t.state == StateLeaving && now.Sub(t.leavingSince) >= t.settings.AcceptWhileLeaving:
		return false
	default:
		return t.outOfServiceSince.IsZero() || now.Sub(t.outOfServiceSince) < t.settings.AcceptWhileLeaving
	}
}

// updateLeaving advances a graceful shutdown, and stops or resumes accepting when the own data centre is taken out of
// service or back in.
func (t *Tracker) updateLeaving(now time.Time) []Action {
	t.updateOutOfServiceSince(now)
	if t.state == StateStarting || t.state == StateLeft {
		return nil
	}
	var actions []Action
	accepting := t.Accepting(now)
	switch {
	case !accepting && !t.refusing:
		actions = append(actions, StopAccepting{})
	case accepting && t.refusing:
		actions = append(actions, ResumeAccepting{})
	}
	t.refusing = !accepting
	if t.state == StateLeaving && t.refusing && t.pendingWork == 0 {
		t.state = StateLeft
		actions = append(actions, t.write(now), Exit{})
	}
	return actions
}

func (t *Tracker) updateOutOfServiceSince(now time.Time) {
	switch outOfService := t.dataCentreOutOfService(t.settings.DataCentre); {
	case !outOfService:
		t.outOfServiceSince = time.Time{}
	case t.outOfServiceSince.IsZero():
		t.outOfServiceSince = now
	}
}
