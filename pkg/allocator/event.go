package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Event is an input of the allocator.
type Event interface{ event() }

// AuthorityGiven sets the share of the target's memory that this instance may allocate.
type AuthorityGiven struct {
	Share float64
	Epoch namer.Epoch
	// Until is the time on the own clock from which the share is zero unless it is given again.
	Until time.Time
	// KnownBoot and KnownWarm are the boot id and the warm share last reported by another owner of the
	// target; a target whose boot id differs starts cold.
	KnownBoot string
	KnownWarm float64
}

// DemandReported is what a recipient uses and wants, taken from its heartbeat.
type DemandReported struct {
	From         namer.Holder
	UsedTokens   int
	WantedTokens int
	// Adopted is the number of the last message whose quotas the recipient had put in place of earlier ones when it
	// reported its use; 0 if not known.
	Adopted int64
}

// QuotaAsked asks for the quota to put into the message with a number to a recipient.
type QuotaAsked struct {
	To     namer.Holder
	Number int64
}

// ReserveAsked asks for a one-off reservation; Request is the attempt id that the engine will list.
type ReserveAsked struct {
	From          namer.Holder
	Request       namer.Request
	Tokens        int
	PrefillTokens int
	Wait          time.Duration
}

// Released gives a one-off reservation back, or withdraws a waiting one.
type Released struct {
	From    namer.Holder
	Request namer.Request
}

// HolderLost says that a process is gone: its requests are cancelled at the engine.
type HolderLost struct {
	Holder namer.Holder
}

// RequestsDisowned answers ConfirmRequests with those that the holder does not know.
type RequestsDisowned struct {
	Holder   namer.Holder
	Requests []namer.Request
}

// Listed is the engine's own list of requests.
type Listed struct {
	Boot string
	// Requested is the time on the own clock at which the list was asked for.
	Requested time.Time
	Requests  []Running
}

// Running is one request in the engine's list.
type Running struct {
	Request        namer.Request
	Holder         namer.Holder
	Epoch          namer.Epoch
	ReservedTokens int
	ProducedTokens int
}

// LoadReported is the engine's load report; it lags by Age.
type LoadReported struct {
	Boot        string
	Age         time.Duration
	Cold        bool
	QueueTokens int
}

// PrefillObserved is the prefill rate of one finished request in tokens per second.
type PrefillObserved struct {
	Boot string
	Rate float64
}

// Tick lets time pass.
type Tick struct{}

func (AuthorityGiven) event()   {}
func (DemandReported) event()   {}
func (QuotaAsked) event()       {}
func (ReserveAsked) event()     {}
func (Released) event()         {}
func (HolderLost) event()       {}
func (RequestsDisowned) event() {}
func (Listed) event()           {}
func (LoadReported) event()     {}
func (PrefillObserved) event()  {}
func (Tick) event()             {}
