package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Request is a caller's request for one completion.
type Request struct {
	ID           namer.Request
	Customer     namer.Customer
	Model        namer.Model
	Prompt       string
	PromptTokens int
	MaxTokens    int
	ResumeFrom   int
	Stream       bool
	Prefix       []string
	Received     time.Time
	// Timeout is the caller's timeout; zero means the bundle's default.
	Timeout time.Duration
	// Deadline is set at admission from Received and Timeout.
	Deadline time.Time
	// Ran tells whether any target may have worked on the request.
	Ran refuser.Ran
}

// Part is the memory, in tokens, that a placement holds on one target.
type Part struct {
	Target  namer.Target
	Address string
	Epoch   namer.Epoch
	Tokens  int
}

// Placement is one attempt of a request on one target, or on a group of targets if the prompt exceeds one target's memory.
type Placement struct {
	Attempt  string
	Parts    []Part
	Priority int
	Class    string
	Holder   string
	// SendDelay is how long to delay sending, so that other instances learn of a long prefill and place short requests on
	// other targets.
	SendDelay time.Duration
	// FirstToken and TokenInterval are the predicted times to the first token and between tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Finished Outcome = iota
	Aborted
)

// Failure describes a failed attempt that is to be retried.
type Failure struct {
	Placement *Placement
	Reason    refuser.RetryReason
	Cause     error
}

// Address is the address of one instance that a caller may use.
type Address struct {
	Instance   namer.Instance   `json:"instance"`
	Address    string           `json:"address"`
	DataCentre namer.DataCentre `json:"data_centre"`
}

// AddressAnswer lists the instances that a caller may use and how long the list is valid.
type AddressAnswer struct {
	Addresses  []Address `json:"addresses"`
	ValidForMS int64     `json:"valid_for_ms"`
}

// CallRequest is one call of a service that is not a language model.
type CallRequest struct {
	ID       namer.Request
	Customer namer.Customer
	Service  namer.Service
	Call     string
	// Timeout is the caller's timeout; zero means the bundle's default.
	Timeout time.Duration
	// Exclude lists the targets on which the call has already failed.
	Exclude []namer.Target
}

// CallPlacement is the target chosen for a call.
type CallPlacement struct {
	Target     namer.Target
	Address    string
	Repeatable bool
	Deadline   time.Time
}
