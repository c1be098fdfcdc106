package elector

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// Options are the constants of the elector.
type Options struct {
	Self namer.Holder
	// TickEvery is the interval of Tick.
	TickEvery time.Duration
	// PromiseValid is how long an echoed number supports its sender's authority.
	PromiseValid time.Duration
	// QuotaValid is how long a quota can be used after its grant.
	QuotaValid time.Duration
	// IsolatedAfter is the time without store and peers after which there is no authority.
	IsolatedAfter time.Duration
	// PausedAfter is the delay of a tick that counts as a pause of the process.
	PausedAfter time.Duration
}

// DefaultOptions returns the constants of the design page.
func DefaultOptions(self namer.Holder) Options {
	return Options{
		Self:          self,
		TickEvery:     250 * time.Millisecond,
		PromiseValid:  6 * time.Second,
		QuotaValid:    6 * time.Second,
		IsolatedAfter: 3 * time.Second,
		PausedAfter:   2 * time.Second,
	}
}

// Authority is what this instance may allocate on a target.
type Authority struct {
	Share float64
	Epoch namer.Epoch
	Until time.Time
}

// Elector decides authority and ownership for one instance.
type Elector struct {
	options Options
}

// New returns an elector that has no authority until it has read the table.
func New(options Options, now time.Time) *Elector {
	_ = now
	return &Elector{
		options: options,
	}
}

// Handle applies one event at a time of the own clock and returns what is to be done.
func (e *Elector) Handle(event Event, now time.Time) []Action {
	_, _ = event, now
	return nil
}

// Authority returns what this instance may allocate on a target.
func (e *Elector) Authority(target namer.Target, now time.Time) Authority {
	_, _ = target, now
	return Authority{}
}

// Owner returns whom to ask for memory of a target.
func (e *Elector) Owner(target namer.Target, now time.Time) (namer.Holder, bool) {
	_, _ = target, now
	return namer.Holder{}, false
}

// Heard returns the numbers to echo in heartbeats and in the member record. It leaves out owners to whom
// an echo would be a promise that this instance cannot give.
func (e *Elector) Heard(now time.Time) []tracker.Heard {
	_ = now
	return nil
}

// TableVersion returns the version of the table last read.
func (e *Elector) TableVersion() int64 {
	return 0
}

// Isolated reports whether neither the store nor a peer was heard for Options.IsolatedAfter.
func (e *Elector) Isolated(now time.Time) bool {
	_ = now
	return false
}
