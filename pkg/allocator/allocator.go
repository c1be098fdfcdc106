package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Options describe the target.
type Options struct {
	Target         namer.Target
	CapacityTokens int
	// PrefillTokens bounds the prompt tokens that are in prefill at the same time.
	PrefillTokens int
	// PrefillRate is the normal rate in tokens per second.
	PrefillRate float64
	Fencing     bool
}

// Summary is the state of the target for heartbeats.
type Summary struct {
	Target            namer.Target
	Epoch             namer.Epoch
	Boot              string
	FreeTokens        int
	QueueTokens       int
	WarmPercent       int
	LongPrefills      int
	ReservedTokens    int
	UnknownUseTokens  int
	Reservations      int
	WaitingForReserve int
}

// Allocator is the owner's side of one target.
type Allocator struct {
	options Options
}

// New returns an allocator without authority.
func New(options Options) *Allocator {
	return &Allocator{
		options: options,
	}
}

// Handle applies one event at a time of the own clock and returns what is to be done.
func (a *Allocator) Handle(event Event, now time.Time) []Action {
	_, _ = event, now
	return nil
}

// Summary returns the state for heartbeats.
func (a *Allocator) Summary(now time.Time) Summary {
	_ = now
	return Summary{
		Target: a.options.Target,
	}
}
