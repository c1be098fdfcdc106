package reserver

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Event is an input of the reserver.
type Event interface{ event() }

// QuotasReceived carries the quotas in one message of an owner.
type QuotasReceived struct {
	From namer.Holder
	// Number is the owner's message number; older messages that arrive late are ignored.
	Number int64
	// Requested is the time on this instance's clock at which it sent the heartbeat that the message answers or, if
	// the message is not an answer, the heartbeat whose number the message echoes.
	Requested time.Time
	Quotas    []Quota
}

// Quota is the memory and prefill of one target that an owner allocates to this instance, in tokens.
type Quota struct {
	Target        namer.Target
	Epoch         namer.Epoch
	Boot          string
	MemoryTokens  int
	PrefillTokens int
	Valid         time.Duration
}

// OwnerChanged sets the owner to ask for one-off reservations on a target.
type OwnerChanged struct {
	Target namer.Target
	Owner  namer.Holder
}

// Reserve asks for memory for one attempt. Wait is the limit of the wait for a one-off reservation; zero allows memory
// under the quota only.
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

// OwnerAnswered is the answer to AskOwner; a failed call is reported with Granted unset and Unknown set.
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

// PrefillDone reports that the first token of an attempt has arrived.
type PrefillDone struct {
	Request namer.Request
	Target  namer.Target
}

// Exit is the way in which an attempt ended.
type Exit string

// The ways in which an attempt can end.
const (
	Finished   Exit = "finished"
	Failed     Exit = "failed"
	Cancelled  Exit = "cancelled"
	CallerGone Exit = "caller_gone"
)

// Release releases the memory of an attempt on all its targets; the engines must no longer run it.
type Release struct {
	Request namer.Request
	Exit    Exit
}

// TargetRestarted reports the new boot id of a target that restarted, whose memory is empty.
type TargetRestarted struct {
	Target namer.Target
	Boot   string
}

// Tick ends attempts whose owner did not answer in time.
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
