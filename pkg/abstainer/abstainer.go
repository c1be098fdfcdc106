package abstainer

import (
	"fmt"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the tuning parameters of an abstainer.
type Settings struct {
	// MaxRest limits the time for which one answer keeps requests away from a target.
	MaxRest time.Duration
	// Spread is this instance's part, from 0 to 1, of the delay by which the instances return to a target at different times. The delay
	// is SpreadShare of the rest and at most MaxSpread.
	Spread      float64
	SpreadShare float64
	MaxSpread   time.Duration
	// ReturnTime is how long after a rest the requests to the target are limited: one at first, and one more each ReturnStep.
	ReturnTime time.Duration
	ReturnStep time.Duration
	// Memory is how long a notice to leave is remembered, and MaxTargets how many notices are.
	Memory     time.Duration
	MaxTargets int
}

// DefaultSettings returns the default settings for an instance with the given spread, from 0 to 1.
func DefaultSettings(spread float64) Settings {
	return Settings{
		MaxRest:     time.Hour,
		Spread:      spread,
		SpreadShare: 0.25,
		MaxSpread:   500 * time.Millisecond,
		ReturnTime:  time.Second,
		ReturnStep:  100 * time.Millisecond,
		Memory:      24 * time.Hour,
		MaxTargets:  8192,
	}
}

// Run identifies one run of a target; a notice says nothing about other runs under the same ID.
type Run struct {
	Target  namer.Target
	Started time.Time
}

// Notice is what a target says of itself in an answer.
type Notice struct {
	// Leaving is set if the target wants no new requests at all.
	Leaving bool
	// Rest is the time for which the target wants no requests from this instance; 0 means that it doesn't say so.
	Rest time.Duration
	// Ignored describes values that have no meaning; it is empty if there are none.
	Ignored string
}

// UnwillingError means that a target wants no requests.
type UnwillingError struct {
	Target namer.Target
	// Leaving is set if the target leaves; otherwise it wants requests again at Until.
	Leaving bool
	Until   time.Time
}

// Error returns the message with the target.
func (e *UnwillingError) Error() string {
	if e.Leaving {
		return fmt.Sprintf("target %s has said that it leaves", e.Target)
	}
	return fmt.Sprintf("target %s has asked for no requests until %s", e.Target, e.Until.Format(time.RFC3339Nano))
}

// Abstainer remembers the notices of targets. It is safe for concurrent use: a notice holds for all requests of this instance from the
// moment at which it is heard.
type Abstainer struct {
	settings Settings

	mu    sync.Mutex
	notes map[namer.Target]*note
}

// note is what a run of a target has said.
type note struct {
	started time.Time
	heard   time.Time
	leaving bool
	// until is the end of the rest, and returned counts the requests sent since.
	until    time.Time
	returned int
}

// New returns an abstainer without notices.
func New(settings Settings) *Abstainer {
	return &Abstainer{
		settings: settings,
		notes:    map[namer.Target]*note{},
	}
}

// Change says what a notice has changed.
type Change struct {
	// Leaves is set if the target hadn't said before that it leaves.
	Leaves bool
	// RestsUntil is the end of a rest that is longer than the one known before; it is zero if there is none.
	RestsUntil time.Time
}

// Hear records a notice and returns what is new.
func (a *Abstainer) Hear(now time.Time, run Run, notice Notice) Change {
	if !notice.Leaving && notice.Rest <= 0 {
		return Change{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.notes[run.Target]
	if n == nil || !n.started.Equal(run.Started) {
		a.prune(now)
		n = &note{
			started: run.Started,
		}
		a.notes[run.Target] = n
	}
	n.heard = now
	var change Change
	if notice.Leaving {
		change.Leaves = !n.leaving
		n.leaving = true
	}
	if notice.Rest > 0 {
		if until := now.Add(a.rest(notice.Rest)); until.After(n.until) {
			n.until = until
			n.returned = 0
			change.RestsUntil = until
		}
	}
	return change
}

// rest returns how long this instance keeps requests away; instances return to the target one after the other.
func (a *Abstainer) rest(asked time.Duration) time.Duration {
	asked = min(asked, a.settings.MaxRest)
	delay := min(time.Duration(a.settings.SpreadShare*float64(asked)), a.settings.MaxSpread)
	return asked + time.Duration(a.settings.Spread*float64(delay))
}

// prune drops notices that are over; all are dropped if there are still too many.
func (a *Abstainer) prune(now time.Time) {
	if len(a.notes) < a.settings.MaxTargets {
		return
	}
	for id, n := range a.notes {
		if now.Sub(n.heard) > a.settings.Memory || !n.leaving && now.After(n.until.Add(a.settings.ReturnTime)) {
			delete(a.notes, id)
		}
	}
	if len(a.notes) >= a.settings.MaxTargets {
		clear(a.notes)
	}
}

// Admit reports with an UnwillingError that a target wants no requests now; otherwise the request counts as sent.
func (a *Abstainer) Admit(now time.Time, run Run) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.unwilling(now, run)
	if n := a.notes[run.Target]; err == nil && n != nil {
		n.returned++
	}
	return err
}

// Unwilling reports with an UnwillingError that a target wants no requests now.
func (a *Abstainer) Unwilling(now time.Time, run Run) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unwilling(now, run)
}

func (a *Abstainer) unwilling(now time.Time, run Run) error {
	n := a.notes[run.Target]
	if n == nil || !n.started.Equal(run.Started) {
		return nil
	}
	until := n.until
	if since := now.Sub(n.until); since >= 0 && since < a.settings.ReturnTime && n.returned > int(since/a.settings.ReturnStep) {
		until = n.until.Add(time.Duration(n.returned) * a.settings.ReturnStep)
	}
	if !n.leaving && !now.Before(until) {
		return nil
	}
	return &UnwillingError{
		Target:  run.Target,
		Leaving: n.leaving,
		Until:   until,
	}
}

// Quiet reports whether no target has said anything that may still hold, so that callers needn't ask about each.
func (a *Abstainer) Quiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.notes) == 0
}
