package refuser

import (
	"fmt"
	"net/http"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Reason is the reason why a request was refused or ended before its answer was complete.
type Reason string

// The reasons of refusals.
const (
	MalformedRequest     Reason = "malformed_request"
	PromptUndercounted   Reason = "prompt_undercounted"
	UnknownCustomer      Reason = "unknown_customer"
	UnknownModel         Reason = "unknown_model"
	UnknownService       Reason = "unknown_service"
	DeadlinePast         Reason = "deadline_past"
	BodyTooLarge         Reason = "body_too_large"
	MemoryFull           Reason = "memory_full"
	RateLimited          Reason = "rate_limited"
	ConcurrencyLimited   Reason = "concurrency_limited"
	QueueFull            Reason = "queue_full"
	DeadlineUnreachable  Reason = "deadline_unreachable"
	PromptExceedsTargets Reason = "prompt_exceeds_targets"
	NoTarget             Reason = "no_target"
	Isolated             Reason = "isolated"
	NotReady             Reason = "not_ready"
	Leaving              Reason = "leaving"
	StoreUnavailable     Reason = "store_unavailable"
	KeyReused            Reason = "key_reused"
	OutcomeUnknown       Reason = "outcome_unknown"
	ReaderTooSlow        Reason = "reader_too_slow"
	TargetFailed         Reason = "target_failed"
	RetryBudgetSpent     Reason = "retry_budget_spent"
	DeadlineExceeded     Reason = "deadline_exceeded"
)

// Reasons lists all reasons of refusals.
func Reasons() []Reason {
	return []Reason{
		MalformedRequest, PromptUndercounted, UnknownCustomer, UnknownModel, UnknownService,
		DeadlinePast, BodyTooLarge, MemoryFull, RateLimited, ConcurrencyLimited, QueueFull,
		DeadlineUnreachable, PromptExceedsTargets, NoTarget, Isolated, NotReady, Leaving,
		StoreUnavailable, KeyReused, OutcomeUnknown, ReaderTooSlow, TargetFailed,
		RetryBudgetSpent, DeadlineExceeded,
	}
}

// Ran states whether a refused request ran on a target.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// RetryReason is the reason why an attempt was repeated or resumed.
type RetryReason string

// The reasons of retries.
const (
	ConnectFailed   RetryReason = "connect_failed"
	StreamBroken    RetryReason = "stream_broken"
	StreamSilent    RetryReason = "stream_silent"
	TargetRefused   RetryReason = "target_refused"
	TargetRestarted RetryReason = "target_restarted"
	TargetLeaving   RetryReason = "target_leaving"
)

// RetryReasons lists all reasons of retries.
func RetryReasons() []RetryReason {
	return []RetryReason{
		ConnectFailed, StreamBroken, StreamSilent, TargetRefused, TargetRestarted, TargetLeaving,
	}
}

// Refusal is the error of a request that was refused or that ended before its answer was complete.
type Refusal struct { //nolint:errname // "refusal" is the usual term
	Reason     Reason
	Ran        Ran
	Message    string
	RetryAfter time.Duration
	Figures    Figures
	// Cause is for the log only, since it may name targets and quote what they sent; nil if the message says all.
	Cause error
}

// Figures are the values on which a refusal is based.
type Figures struct {
	PredictedWait time.Duration `json:"predicted_wait,omitempty"`
	FreeTokens    int           `json:"free_tokens,omitempty"`
	NeededTokens  int           `json:"needed_tokens,omitempty"`
	Limit         float64       `json:"limit,omitempty"`
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Message)
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	switch r.Reason {
	case MalformedRequest, PromptUndercounted, DeadlinePast, PromptExceedsTargets:
		return http.StatusBadRequest
	case UnknownCustomer, UnknownModel, UnknownService:
		return http.StatusNotFound
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case KeyReused, OutcomeUnknown:
		return http.StatusConflict
	case RateLimited, ConcurrencyLimited:
		return http.StatusTooManyRequests
	case DeadlineExceeded, ReaderTooSlow:
		return http.StatusRequestTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Record is a refusal as stored and shown to operators; if MergedCount is set, it stands for that many refusals.
type Record struct {
	ID             string         `json:"id"`
	At             time.Time      `json:"at"`
	Instance       namer.Instance `json:"instance"`
	Customer       namer.Customer `json:"customer"`
	Request        namer.Request  `json:"request"`
	Subject        string         `json:"subject"`
	Reason         Reason         `json:"reason"`
	Ran            Ran            `json:"ran"`
	Message        string         `json:"message"`
	Deadline       time.Time      `json:"deadline"`
	RetryAfter     time.Duration  `json:"retry_after"`
	Figures        Figures        `json:"figures"`
	BundleSequence int64          `json:"bundle_sequence"`
	MergedCount    int            `json:"folded,omitempty"`
}
