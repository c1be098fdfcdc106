package reserver

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Event is an input of the reserver.
type Event interface{ event() }

// QuotasReceived carries the quotas of one message of an owner.
type QuotasReceived struct {
	From namer.Holder
	// Number is the owner's message number; older messages that arrive late are ignored.
	Number int64
	// Requested is the time on the own clock at which this instance sent the heartbeat that the message
	// answers, or, in a message that is no answer, the heartbeat whose number it echoes.
	Requested time.Time
	Quotas    []Quota
}

// Quota is what an owner allocates to this instance.
type Quota struct {
	Target        namer.Target
	Epoch         namer.Epoch
	Boot          string
	MemoryTokens  int
	PrefillTokens int
	Valid         time.Duration
}

// OwnerChanged names the owner to ask for one-off reservations on a target.
type OwnerChanged struct {
	Target namer.Target
	Owner  namer.Holder
}

// Reserve asks for memory for one attempt. Wait bounds the wait for a one-off reservation; zero asks for the
// quota only.
type Reserve struct {
	Request       namer.Request
	Target        namer.Target
	Tokens        int
	PrefillTokens int
	Wait          time.Duration
}

// ReserveGroup asks for memory on several targets together.
type ReserveGroup struct {
	Request       namer.Request
	Targets       []namer.Target
	Tokens        int
	PrefillTokens int
	Wait          time.Duration
}

// OwnerAnswered is the answer to AskOwner; a failed call is an answer that is not granted with Unknown set.
type OwnerAnswered struct {
	Owner   namer.Holder
	Request namer.Request
	Target  namer.Target
	Granted bool
	Unknown bool
	Epoch   namer.Epoch
	Boot    string
	Valid   time.Duration
	Reason  refuser.Reason
}

// Start asks, right before the first byte goes to the engine, whether the attempt may still start. Boot is the
// boot id read from the engine on the connection that will carry the attempt.
type Start struct {
	Request namer.Request
	Target  namer.Target
	Boot    string
}

// PrefillDone says that the first token of an attempt has arrived.
type PrefillDone struct {
	Request namer.Request
	Target  namer.Target
}

// Exit says how an attempt ended.
type Exit string

// The exits of an attempt.
const (
	Finished   Exit = "finished"
	Failed     Exit = "failed"
	Cancelled  Exit = "cancelled"
	CallerGone Exit = "caller_gone"
)

// Release gives the memory of an attempt back on all its targets, once the engine no longer runs it.
type Release struct {
	Request namer.Request
	Exit    Exit
}

// TargetRestarted says that a target has a new boot id: its memory is empty.
type TargetRestarted struct {
	Target namer.Target
	Boot   string
}

// Tick lets time pass.
type Tick struct{}

func (QuotasReceived) event()  {}
func (OwnerChanged) event()    {}
func (Reserve) event()         {}
func (ReserveGroup) event()    {}
func (OwnerAnswered) event()   {}
func (Start) event()           {}
func (PrefillDone) event()     {}
func (Release) event()         {}
func (TargetRestarted) event() {}
func (Tick) event()            {}
