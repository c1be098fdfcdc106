package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Request is one completion asked for by a caller.
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
	// Patience is how long the caller waits; zero means the bundle's default.
	Patience time.Duration
	// Deadline is set at admission.
	Deadline time.Time
	// Ran tells whether any target may have worked on the request.
	Ran refuser.Ran
}

// Part is one target that a placement holds memory on.
type Part struct {
	Target  namer.Target
	Address string
	Epoch   namer.Epoch
	Tokens  int
}

// Placement is one attempt of a request at one target, or at several for a prompt over one target's memory.
type Placement struct {
	Attempt  string
	Parts    []Part
	Priority int
	Class    string
	Holder   string
	// Notice is how long to wait before sending: the time in which other instances learn of a long prefill and place
	// short requests elsewhere.
	Notice time.Duration
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

// Failure describes an attempt that is to be followed by another.
type Failure struct {
	Placement *Placement
	Reason    refuser.RetryReason
	Cause     error
}

// Address is one instance that a caller may use.
type Address struct {
	Instance   namer.Instance   `json:"instance"`
	Address    string           `json:"address"`
	DataCentre namer.DataCentre `json:"data_centre"`
}

// AddressAnswer tells a caller which instances to use and for how long to keep the answer.
type AddressAnswer struct {
	Addresses  []Address `json:"addresses"`
	ValidForMS int64     `json:"valid_for_ms"`
}

// CallRequest is one call of a plain service.
type CallRequest struct {
	ID       namer.Request
	Customer namer.Customer
	Service  namer.Service
	Call     string
	Patience time.Duration
	// Exclude lists targets that already failed the call.
	Exclude []namer.Target
}

// CallPlacement names the target of a call.
type CallPlacement struct {
	Target     namer.Target
	Address    string
	Repeatable bool
	Deadline   time.Time
}
