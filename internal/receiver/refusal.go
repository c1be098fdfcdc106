package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// reason is the code for why a request was not served.
type reason string

// The reasons; each is a label value of the refusals metric.
const (
	reasonMalformed    reason = "malformed_request"
	reasonHeaderTooBig reason = "header_too_large"
	reasonBodyTooBig   reason = "body_too_large"
	reasonBodySlow     reason = "body_too_slow"
	reasonMemory       reason = "memory_full"
	reasonNoRules      reason = "no_rules"
	reasonUnknownRoute reason = "unknown_route"
	reasonUnknownKey   reason = "unknown_key"
	reasonNoService    reason = "no_service"
	reasonNoTarget     reason = "no_target"
	reasonOverload     reason = "overload"
	reasonTooLate      reason = "too_late"
	reasonRejected     reason = "target_rejected"
	reasonBudget       reason = "retry_budget_spent"
	reasonLeaving      reason = "leaving"
	reasonFailed       reason = "target_failed"
	reasonTimeout      reason = "deadline_exceeded"
	reasonUnwilling    reason = "targets_unwilling"
	reasonCallerGone   reason = "caller_gone"
	reasonIsolated     reason = reason(scheduler.CrashesEngines)
)

// refusal is a final answer that does not come from a target.
type refusal struct {
	// status is the HTTP status, 0 if no answer is sent.
	status     int
	reason     reason
	message    string
	retryAfter time.Duration
	// cause is logged instead of the message if it is set; it may name targets and quote what they sent.
	cause error
	// decision is the scheduler's refusal; nil if another component refused.
	decision *scheduler.Refuse
	// close ends the caller's connection after the answer.
	close bool
}

type refusalBody struct {
	Error   reason `json:"error"`
	Message string `json:"message"`
}

// logged returns what is logged of why the request wasn't served.
func (f *refusal) logged() string {
	if f.cause != nil {
		return f.cause.Error()
	}
	return f.message
}

// unavailable returns a 503 refusal, which guarantees that the request has not run and will not run.
func unavailable(why reason, message string, retryAfter time.Duration) *refusal {
	return &refusal{
		status:     http.StatusServiceUnavailable,
		reason:     why,
		message:    message,
		retryAfter: retryAfter,
	}
}

// callerGone returns the refusal of a request whose caller closed the connection; it is logged and counted, but not sent.
func callerGone(cause string) *refusal {
	return &refusal{
		reason:  reasonCallerGone,
		message: cause,
	}
}

// failed returns a 502 or 504 refusal, which leaves open whether the request has run.
func failed(why reason, message string) *refusal {
	status := http.StatusBadGateway
	if why == reasonTimeout {
		status = http.StatusGatewayTimeout
	}
	return &refusal{
		status:  status,
		reason:  why,
		message: message,
	}
}

func (s *Server) answerRefusal(c *app.RequestContext, r *request, f *refusal) {
	body, err := json.Marshal(refusalBody{
		Error:   f.reason,
		Message: f.message,
	})
	if err != nil {
		s.options.Log.Error().Err(err).Msg("receiver: encoding a refusal failed")
	}
	if r != nil && r.id != "" {
		c.Header(s.options.Names.RequestID, string(r.id))
	}
	if f.retryAfter > 0 {
		c.Header(s.options.Names.RetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if f.close {
		c.SetConnectionClose()
	}
	c.Data(f.status, "application/json", body)
}
