package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Event is an input of the allocator.
type Event interface{ event() }

// AuthorityGiven sets the share of the target's memory that this instance may allocate, and until when.
type AuthorityGiven struct {
	Share float64
	Epoch namer.Epoch
	// Until is the time on this instance's clock from which the share is zero unless it is renewed.
	Until time.Time
	// KnownBoot and KnownWarm are the boot id and the warm share last reported by another owner of the
	// target; a target whose boot id differs starts cold.
	KnownBoot string
	KnownWarm float64
}

// DemandReported is a recipient's use and unmet demand, taken from its heartbeat.
type DemandReported struct {
	From         namer.Holder
	UsedTokens   int
	WantedTokens int
	// Adopted is the number of the last message whose quotas had replaced earlier ones at the recipient when it reported
	// its use; 0 if not known.
	Adopted int64
}

// QuotaAsked asks for the quota to send to a recipient in the message with the given number.
type QuotaAsked struct {
	To     namer.Holder
	Number int64
}

// ReserveAsked asks for a one-off reservation; Request is the attempt id under which the engine will list it.
type ReserveAsked struct {
	From          namer.Holder
	Request       namer.Request
	Tokens        int
	PrefillTokens int
	Wait          time.Duration
}

// Released releases a one-off reservation, or withdraws a waiting one.
type Released struct {
	From    namer.Holder
	Request namer.Request
}

// HolderLost reports that a process is gone, so that its requests are cancelled at the engine.
type HolderLost struct {
	Holder namer.Holder
}

// RequestsNotKnown answers ConfirmRequests with the requests that the holder does not know.
type RequestsNotKnown struct {
	Holder   namer.Holder
	Requests []namer.Request
}

// RequestsListed is the engine's list of its requests.
type RequestsListed struct {
	Boot string
	// Requested is the time on this instance's clock at which the list was requested.
	Requested time.Time
	Requests  []RunningRequest
}

// RunningRequest is one request in the engine's list.
type RunningRequest struct {
	Request        namer.Request
	Holder         namer.Holder
	Epoch          namer.Epoch
	ReservedTokens int
	ProducedTokens int
}

// LoadReported is a load report of the engine, made Age ago.
type LoadReported struct {
	Boot        string
	Age         time.Duration
	Cold        bool
	QueueTokens int
}

// PrefillObserved is the prefill rate of one finished request, in tokens per second.
type PrefillObserved struct {
	Boot string
	Rate float64
}

// Tick drives the warm-up ramp, expiry and waiting reservations.
type Tick struct{}

func (AuthorityGiven) event()   {}
func (DemandReported) event()   {}
func (QuotaAsked) event()       {}
func (ReserveAsked) event()     {}
func (Released) event()         {}
func (HolderLost) event()       {}
func (RequestsNotKnown) event() {}
func (RequestsListed) event()   {}
func (LoadReported) event()     {}
func (PrefillObserved) event()  {}
func (Tick) event()             {}
