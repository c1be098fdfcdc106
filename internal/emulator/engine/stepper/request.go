package stepper

import (
	"fmt"
	"time"
)

// Request is a completion request to the engine.
type Request struct {
	ID     string
	Holder string
	Epoch  int64
	// Priority 0 is the highest.
	Priority     int
	PromptTokens int
	MaxTokens    int
	// ResumeFrom is the index of the first token to generate; the tokens before it are part of the prefill.
	ResumeFrom int
	// Prefix holds the hashes of the prompt's full blocks, in order.
	Prefix []string
	// Group is set for a request that is served by several engines.
	Group *Group
}

// Group describes one engine's part in a request that is served by several engines.
type Group struct {
	ID   string `json:"id"`
	Rank int    `json:"rank"`
	Size int    `json:"size"`
	// PartTokens is the share of prompt and output that this engine holds.
	PartTokens int `json:"part_tokens"`
}

// reservedTokens returns the memory in tokens that the request holds from its admission to its end.
func (r Request) reservedTokens() int {
	if r.Group != nil {
		return r.Group.PartTokens
	}
	return r.PromptTokens + r.MaxTokens
}

// onlyHoldsMemory reports whether the request generates nothing and only holds memory for the group's rank 0.
func (r Request) onlyHoldsMemory() bool {
	return r.Group != nil && r.Group.Rank > 0
}

// prefillTokens returns the number of tokens to process before the first token is generated.
func (r Request) prefillTokens(cachedBlocks int) int {
	tokens := r.PromptTokens + r.ResumeFrom
	if r.Group != nil {
		tokens = min(tokens, r.Group.PartTokens)
	}
	return max(1, tokens-cachedBlocks*BlockTokens)
}

// Running describes a request that the engine holds.
type Running struct {
	ID             string `json:"request_id"`
	Holder         string `json:"holder"`
	Epoch          int64  `json:"epoch"`
	ReservedTokens int    `json:"reserved_tokens"`
	ProducedTokens int    `json:"produced_tokens"`
}

// Load is a load report of the engine.
type Load struct {
	At             time.Time
	CapacityTokens int
	UsedTokens     int
	// QueueTokens are the prefill tokens still to process.
	QueueTokens int
	Cold        bool
	Fencing     bool
	Epoch       int64
}

// Token is one generated token.
type Token struct {
	RequestID string
	Index     int
	// Last is set on the request's last token.
	Last bool
}

// Result is the outcome of a step.
type Result struct {
	// Duration is how long the step takes; the tokens are available at its end. It is 0 if there was nothing to do.
	Duration time.Duration
	Tokens   []Token
}

// OutOfMemoryError means that the engine crashes because a request does not fit into its memory.
type OutOfMemoryError struct {
	HeldTokens  int
	LimitTokens int
	Cold        bool
}

// Error describes the crash.
func (e *OutOfMemoryError) Error() string {
	state := "warm"
	if e.Cold {
		state = "cold"
	}
	return fmt.Sprintf("out of memory: %d tokens held, a %s engine holds at most %d", e.HeldTokens, state, e.LimitTokens)
}

// StaleEpochError means that the engine knows a higher epoch.
type StaleEpochError struct {
	Epoch   int64
	Current int64
}

// Error describes the refusal.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is older than %d", e.Epoch, e.Current)
}

// ColdError means that the engine has just become cold and refuses the request instead of crashing.
type ColdError struct{}

// Error describes the refusal.
func (e *ColdError) Error() string {
	return "the engine has just become cold and has no room"
}

// DuplicateError means that the engine already holds a request with the id.
type DuplicateError struct {
	ID string
}

// Error describes the refusal.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %q is already running", e.ID)
}
