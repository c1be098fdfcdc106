package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// reason is why the system itself ended a request.
type reason string

// The reasons; each is counted.
const (
	reasonMalformed    reason = "malformed_request"
	reasonHeaderTooBig reason = "header_too_large"
	reasonBodyTooBig   reason = "body_too_large"
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
	reasonCallerGone   reason = "caller_gone"
)

// refusal is a final answer of the system itself.
type refusal struct {
	status     int
	reason     reason
	message    string
	retryAfter time.Duration
	// figures are what the scheduler decided by; nil if it did not refuse.
	figures *scheduler.Refuse
	// close ends the caller's connection after the answer.
	close bool
}

type refusalBody struct {
	Error   reason `json:"error"`
	Message string `json:"message"`
}

// unserved is an answer that promises that the request has not run and never will.
func unserved(why reason, message string, retryAfter time.Duration) *refusal {
	return &refusal{
		status:     http.StatusServiceUnavailable,
		reason:     why,
		message:    message,
		retryAfter: retryAfter,
	}
}

// callerGone ends a request whose caller has closed the connection: nothing is answered.
func callerGone(cause string) *refusal {
	return &refusal{
		reason:  reasonCallerGone,
		message: cause,
	}
}

// failed is an answer that promises nothing.
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
		s.options.Log.Error().Err(err).Msg("receiver: refusal not encoded")
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
