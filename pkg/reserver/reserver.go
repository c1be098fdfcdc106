package reserver

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Room is what is free under the quota of one target.
type Room struct {
	MemoryTokens  int
	PrefillTokens int
	// LongTokens is the part of MemoryTokens that requests other than short ones may use.
	LongTokens int
	Epoch      namer.Epoch
	Boot       string
}

// Demand is what this instance uses and wants of one target.
type Demand struct {
	Target       namer.Target
	UsedTokens   int
	WantedTokens int
}

// Reserver is the recipient's side of all targets.
type Reserver struct{}

// New returns a reserver that holds no quota.
func New() *Reserver {
	return &Reserver{}
}

// Handle applies one event at a time of the own clock and returns what is to be done.
func (r *Reserver) Handle(event Event, now time.Time) []Action {
	_, _ = event, now
	return nil
}

// Room returns what is free under the quota of a target.
func (r *Reserver) Room(target namer.Target, now time.Time) Room {
	_, _ = target, now
	return Room{}
}

// Demand returns the demand to report to an owner, by ascending target.
func (r *Reserver) Demand(owner namer.Holder, now time.Time) []Demand {
	_, _ = owner, now
	return nil
}
