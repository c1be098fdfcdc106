package deduplicator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Request describes one call of a caller.
type Request struct {
	Name     string
	Digest   string
	Deadline time.Time
	Holder   namer.Holder
	// Attempt must differ for every Call of the holder.
	Attempt int64
}

// Event is what happened to a call.
type Event interface{ event() }

// Arrive starts the call.
type Arrive struct{}

// Written means that the store confirmed the last write.
type Written struct {
	Version int64
}

// Conflict means that the last write did not take effect because the object is at another version.
type Conflict struct {
	Exists  bool
	Version int64
	Record  Record
}

// WriteLost means that the last write may have taken effect.
type WriteLost struct{}

// WriteRefused means that the last write certainly did not take effect: budget spent, rate limit, or not sent.
type WriteRefused struct{}

// ReadBack is the object as it is now.
type ReadBack struct {
	Exists  bool
	Version int64
	Record  Record
}

// ReadFailed means that the object could not be read.
type ReadFailed struct{}

// NotSent means that certainly no byte of the call left: no connection, or its time was over.
type NotSent struct{}

// Answered is the whole answer of the service.
type Answered struct {
	Outcome Outcome
}

// SendFailed means that the call may have run but its answer is lost.
type SendFailed struct{}

// Elapse checks the deadline.
type Elapse struct{}

func (Arrive) event()       {}
func (Written) event()      {}
func (Conflict) event()     {}
func (WriteLost) event()    {}
func (WriteRefused) event() {}
func (ReadBack) event()     {}
func (ReadFailed) event()   {}
func (NotSent) event()      {}
func (Answered) event()     {}
func (SendFailed) event()   {}
func (Elapse) event()       {}

// Action is what a call asks its caller to do.
type Action interface{ action() }

// Create writes the record if it is absent; report Written, Conflict, WriteLost or WriteRefused.
type Create struct {
	Name   string
	Record Record
}

// Update writes the record at a version; report Written, Conflict, WriteLost or WriteRefused.
type Update struct {
	Name    string
	Version int64
	Record  Record
}

// Read reads the record; report ReadBack or ReadFailed.
type Read struct {
	Name string
}

// Send sends the call once, with no retry, and not after Before; report NotSent, Answered or SendFailed.
type Send struct {
	Before time.Time
}

// Answer is for the caller; exactly one of Outcome and Refusal is set.
type Answer struct {
	Outcome  *Outcome
	Replayed bool
	Refusal  *refuser.Refusal
}

// Settle hands a final write that is still open to the Settler.
type Settle struct {
	Name   string
	Record Record
}

func (Create) action() {}
func (Update) action() {}
func (Read) action()   {}
func (Send) action()   {}
func (Answer) action() {}
func (Settle) action() {}

// Call is the state machine of one call that may not be repeated.
type Call struct {
	request Request
}

// NewCall returns the state machine of a call; step it with Arrive first.
func NewCall(request Request) *Call {
	return &Call{
		request: request,
	}
}

// Step takes an event at a time and returns what to do, in order.
func (c *Call) Step(_ Event, _ time.Time) []Action { return nil }

// Ended reports whether the call needs no further event.
func (c *Call) Ended() bool { return false }
