package streamer

import (
	"fmt"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Completion is a request to an engine to generate tokens.
type Completion struct {
	RequestID    string      `json:"request_id"`
	Model        namer.Model `json:"model"`
	Prompt       string      `json:"prompt"`
	PromptTokens int         `json:"prompt_tokens"`
	MaxTokens    int         `json:"max_tokens"`
	Stream       bool        `json:"stream"`
	Priority     int         `json:"priority"`
	Epoch        namer.Epoch `json:"epoch"`
	Holder       string      `json:"holder"`
	ResumeFrom   int         `json:"resume_from"`
	Prefix       []string    `json:"prefix,omitempty"`
	Group        *Group      `json:"group,omitempty"`
}

// Group describes one engine's part in a group of engines that share one prompt; the engine of rank 0 generates the tokens.
type Group struct {
	ID         string `json:"id"`
	Rank       int    `json:"rank"`
	Size       int    `json:"size"`
	PartTokens int    `json:"part_tokens"`
}

// Token is one event of an engine's stream: a generated token, or with Held the notice that a group member holds its memory.
type Token struct {
	RequestID  string `json:"request_id"`
	TokenIndex int    `json:"token_index"`
	Text       string `json:"text"`
	Held       bool   `json:"held,omitempty"`
}

// EngineRequest is one request that an engine holds memory for.
type EngineRequest struct {
	RequestID      string      `json:"request_id"`
	Holder         string      `json:"holder"`
	Epoch          namer.Epoch `json:"epoch"`
	ReservedTokens int         `json:"reserved_tokens"`
	ProducedTokens int         `json:"produced_tokens"`
}

// RequestList lists the requests that an engine holds memory for.
type RequestList struct {
	BootID   string          `json:"boot_id"`
	Requests []EngineRequest `json:"requests"`
}

// Load is an engine's load report, which is AgeMS milliseconds old.
type Load struct {
	BootID         string      `json:"boot_id"`
	AgeMS          int64       `json:"age_ms"`
	CapacityTokens int         `json:"capacity_tokens"`
	UsedTokens     int         `json:"used_tokens"`
	QueueTokens    int         `json:"queue_tokens"`
	Cold           bool        `json:"cold"`
	Fencing        bool        `json:"fencing"`
	Epoch          namer.Epoch `json:"epoch"`
}

// CacheEvents is a page of an engine's prefix cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// CacheEvent reports that a prefix block was stored or evicted.
type CacheEvent struct {
	Number int64  `json:"number"`
	Type   string `json:"type"`
	Prefix string `json:"prefix"`
}

// Order instructs an engine to fence off old epochs, load a model or adapter, or change its role.
type Order struct {
	Epoch namer.Epoch `json:"epoch"`
	Kind  string      `json:"kind"`
	Name  string      `json:"name,omitempty"`
}

// OrderFence raises the lowest epoch that an engine with fencing accepts.
const OrderFence = "fence"

// EngineError means that an engine could not be reached, refused a call or broke off its stream.
type EngineError struct {
	Address string
	// Status is the HTTP status, 0 if there was none.
	Status int
	// Code is the engine's own error code, such as stale_epoch.
	Code string
	// Sent is true if the call may have reached the engine.
	Sent  bool
	Cause error
}

// Error codes with which engines refuse work.
const (
	CodeStaleEpoch = "stale_epoch"
	CodeCold       = "cold"
)

// Error describes the failure.
func (e *EngineError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("engine %s answered status %d %s", e.Address, e.Status, e.Code)
	}
	return fmt.Sprintf("engine %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error {
	return e.Cause
}
