package server

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"bergamothollow.example/bergamothollow/internal/caller"
	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// Caller sends calls to plain services, which are services other than model engines.
type Caller interface {
	Call(ctx context.Context, call caller.Call) (caller.Answer, error)
}

func (s *Server) service(ctx context.Context, c *app.RequestContext) {
	request := &controller.CallRequest{
		ID:       s.options.NewID(),
		Customer: namer.Customer(c.Request.Header.Get(HeaderCustomer)),
		Service:  namer.Service(c.Param("service")),
		Call:     c.Param("call"),
	}
	answer, err := s.call(ctx, c, request)
	if err != nil {
		s.refuseCall(c, request, err)
		return
	}
	s.options.Metrics.Requests.WithLabelValues("finished").Inc()
	if answer.Replayed {
		c.Header(HeaderReplayed, "true")
	}
	c.Data(answer.Outcome.Status, answer.Outcome.ContentType, answer.Outcome.Body)
}

func (s *Server) call(ctx context.Context, c *app.RequestContext, request *controller.CallRequest) (caller.Answer, error) {
	key := c.Request.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return caller.Answer{}, malformed("Idempotency-Key is too long: use at most 256 bytes")
	}
	timeout, err := parseDeadline(c)
	if err != nil {
		return caller.Answer{}, err
	}
	if timeout > 0 {
		timeout -= s.pauses.Unread(s.options.Clock.Now())
		if timeout <= 0 {
			return caller.Answer{}, deadlinePast("the deadline passed while this instance was paused: use another address")
		}
	}
	request.Timeout = timeout
	body, err := readBody(c, s.options.MaxBodyBytes)
	if err != nil {
		return caller.Answer{}, err
	}
	return s.options.Calls.Call(ctx, caller.Call{
		Request: request,
		Key:     key,
		Body:    body,
	})
}

func (s *Server) refuseCall(c *app.RequestContext, request *controller.CallRequest, err error) {
	refusal := asRefusal(err)
	s.logCause(request.ID, refusal)
	s.options.Metrics.Refusals.WithLabelValues(string(refusal.Reason)).Inc()
	s.options.Metrics.Requests.WithLabelValues("refused").Inc()
	s.writeRefusal(c, refusal, errorDetail{
		Type:         refusal.Reason,
		Message:      refusal.Message,
		Ran:          refusal.Ran,
		RefusalID:    s.options.Control.RecordCallRefusal(request, refusal),
		RequestID:    request.ID,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		Addresses:    s.otherAddresses(refusal.Reason),
	})
}

// otherAddresses returns the addresses that a caller can use instead, for refusals that concern this instance only.
func (s *Server) otherAddresses(reason refuser.Reason) []controller.Address {
	if reason != refuser.Leaving && reason != refuser.Isolated && reason != refuser.NotReady {
		return nil
	}
	answer, err := s.options.Control.Addresses()
	if err != nil {
		// Without addresses in the refusal, the caller uses the others that it knows.
		return nil
	}
	return answer.Addresses
}
