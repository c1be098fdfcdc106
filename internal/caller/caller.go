package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/pkg/deduplicator"
	"bergamothollow.example/bergamothollow/pkg/dialer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 8 << 20
)

// Control is the part of the control state that a Caller uses.
type Control interface {
	PlaceCall(ctx context.Context, request *controller.CallRequest) (controller.CallPlacement, error)
	EndCall(target namer.Target)
}

// Options are the dependencies of a Caller.
type Options struct {
	Self    namer.Holder
	Control Control
	Store   *storer.Client
	Clock   timer.Clock
	Log     *log.Logger
	// OnRetry is called for each retry, to count it.
	OnRetry func(refuser.RetryReason)
}

// Caller calls plain services.
type Caller struct {
	options  Options
	client   *client.Client
	settler  *settler
	attempts atomic.Int64
}

// Call is one call of a service; Key is the idempotency key, empty if the request has none.
type Call struct {
	Request *controller.CallRequest
	Key     string
	Body    []byte
}

// Answer is the service's response, or (Replayed) the response stored for an earlier request with the same key.
type Answer struct {
	Outcome  deduplicator.Outcome
	Replayed bool
}

// New returns a Caller; its settler runs until the context ends.
func New(ctx context.Context, o Options) (*Caller, error) {
	c, err := client.NewClient(append(dialer.Bounded(maxAnswerBytes),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(256),
	)...)
	if err != nil {
		return nil, err
	}
	s := newSettler(o)
	go s.run(ctx)
	return &Caller{
		options: o,
		client:  c,
		settler: s,
	}, nil
}

// Call places the call and sends it: at most once if it is not repeatable, else to one target after another until one
// answers or the deadline passes.
func (c *Caller) Call(ctx context.Context, call Call) (Answer, error) {
	placement, err := c.options.Control.PlaceCall(ctx, call.Request)
	if err != nil {
		return Answer{}, err
	}
	if placement.Repeatable {
		return c.callRepeatable(ctx, call, placement)
	}
	defer c.options.Control.EndCall(placement.Target)
	if call.Key == "" {
		return Answer{}, &refuser.Refusal{
			Reason:  refuser.MalformedRequest,
			Ran:     refuser.RanNo,
			Message: "this call may not be repeated: send an Idempotency-Key",
		}
	}
	// The call continues if its caller disconnects, because its outcome must be recorded either way.
	return c.callAtMostOnce(context.WithoutCancel(ctx), call, placement)
}

// callRepeatable sends a repeatable call, and after each failure retries it at another target.
func (c *Caller) callRepeatable(ctx context.Context, call Call, placement controller.CallPlacement) (Answer, error) {
	for {
		outcome, sent, err := c.send(ctx, call, placement, placement.Deadline)
		c.options.Control.EndCall(placement.Target)
		if err == nil {
			return Answer{
				Outcome: outcome,
			}, nil
		}
		if !c.options.Clock.Now().Before(placement.Deadline) || ctx.Err() != nil {
			return Answer{}, targetFailure(sent, err)
		}
		c.options.OnRetry(retryReason(sent))
		call.Request.Exclude = append(call.Request.Exclude, placement.Target)
		deadline := placement.Deadline
		placement, err = c.options.Control.PlaceCall(ctx, call.Request)
		if err != nil {
			return Answer{}, targetFailure(sent, err)
		}
		placement.Deadline = deadline
	}
}

func retryReason(sent bool) refuser.RetryReason {
	if sent {
		return refuser.StreamBroken
	}
	return refuser.ConnectFailed
}

func targetFailure(sent bool, cause error) error {
	ran := refuser.RanNo
	if sent {
		ran = refuser.RanUnknown
	}
	return &refuser.Refusal{
		Reason:  refuser.TargetFailed,
		Ran:     ran,
		Message: "no target answered the call: see ran before you repeat it",
		Cause:   cause,
	}
}

// callAtMostOnce runs the state machine of a call that is not repeatable.
func (c *Caller) callAtMostOnce(ctx context.Context, call Call, placement controller.CallPlacement) (Answer, error) {
	machine := deduplicator.NewCall(deduplicator.Request{
		Name:     deduplicator.Name(call.Request.Customer, call.Key),
		Digest:   deduplicator.Digest(call.Request.Service, call.Request.Call, call.Body),
		Deadline: placement.Deadline,
		Holder:   c.options.Self,
		Attempt:  c.attempts.Add(1),
	})
	var answer *deduplicator.Answer
	events := []deduplicator.Event{deduplicator.Arrive{}}
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		for _, a := range machine.Step(event, c.options.Clock.Now()) {
			switch a := a.(type) {
			case deduplicator.Answer:
				answer = &a
			case deduplicator.Settle:
				c.settler.add(a)
			default:
				events = append(events, c.perform(ctx, a, call, placement))
			}
		}
	}
	return result(answer)
}

func result(answer *deduplicator.Answer) (Answer, error) {
	switch {
	case answer == nil:
		return Answer{}, &refuser.Refusal{
			Reason:  refuser.OutcomeUnknown,
			Ran:     refuser.RanUnknown,
			Message: "the call ended without an outcome",
		}
	case answer.Refusal != nil:
		return Answer{}, answer.Refusal
	default:
		return Answer{
			Outcome:  *answer.Outcome,
			Replayed: answer.Replayed,
		}, nil
	}
}

func (c *Caller) perform(ctx context.Context, action deduplicator.Action, call Call, placement controller.CallPlacement) deduplicator.Event {
	switch a := action.(type) {
	case deduplicator.Create:
		return writeRecord(ctx, c.options.Store, a.Name, 0, a.Record)
	case deduplicator.Update:
		return writeRecord(ctx, c.options.Store, a.Name, a.Version, a.Record)
	case deduplicator.Read:
		return readRecord(ctx, c.options.Store, a.Name)
	case deduplicator.Send:
		return c.sendOnce(ctx, call, placement, a.Before)
	default:
		return deduplicator.CheckDeadline{}
	}
}

func writeEvent(written versioner.Version, err error) deduplicator.Event {
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		return deduplicator.Written{
			Version: written.Number,
		}
	case errors.As(err, &conflict):
		return conflictEvent(conflict)
	case storer.CertainlyNotWritten(err):
		return deduplicator.WriteRefused{}
	default:
		return deduplicator.WriteUncertain{}
	}
}

func conflictEvent(conflict *storer.ConflictError) deduplicator.Event {
	event := deduplicator.Conflict{
		Exists:  conflict.Current.Exists(),
		Version: conflict.Current.Number,
	}
	if event.Exists && json.Unmarshal(conflict.Current.Value, &event.Record) != nil {
		return deduplicator.WriteUncertain{}
	}
	return event
}

func readRecord(ctx context.Context, client *storer.Client, name string) deduplicator.Event {
	object, err := client.WithoutRetry(storer.PriorityNormal).Get(ctx, storer.KindCall, name)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return deduplicator.ReadResult{}
	}
	event := deduplicator.ReadResult{
		Exists:  true,
		Version: object.Number,
	}
	if err != nil || json.Unmarshal(object.Value, &event.Record) != nil {
		return deduplicator.ReadFailed{}
	}
	return event
}

func (c *Caller) sendOnce(ctx context.Context, call Call, placement controller.CallPlacement, before time.Time) deduplicator.Event {
	outcome, sent, err := c.send(ctx, call, placement, before)
	switch {
	case err == nil:
		return deduplicator.Answered{
			Outcome: outcome,
		}
	case sent:
		return deduplicator.SendFailed{}
	default:
		return deduplicator.NotSent{}
	}
}

// send makes one call on a new connection and reports whether any byte of it may have been sent.
func (c *Caller) send(ctx context.Context, call Call, placement controller.CallPlacement, before time.Time) (deduplicator.Outcome, bool, error) {
	if !c.options.Clock.Now().Before(before) {
		return deduplicator.Outcome{}, false, context.DeadlineExceeded
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + placement.Address + "/v1/call/" + url.PathEscape(call.Request.Call))
	req.Header.Set("Idempotency-Key", call.Key)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	// The service may have closed a kept-alive connection meanwhile; the error would not show whether the call ran.
	req.SetConnectionClose()
	req.SetBody(call.Body)
	if err := c.client.DoDeadline(ctx, req, resp, before); err != nil {
		return deduplicator.Outcome{}, maybeSent(err), err
	}
	return deduplicator.Outcome{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, true, nil
}

// maybeSent reports whether any byte of the call may have been sent: none was if dialling failed or no connection was free.
func maybeSent(err error) bool {
	var operation *net.OpError
	dialFailed := errors.As(err, &operation) && operation.Op == "dial"
	return !dialFailed && !errors.Is(err, hertzerrors.ErrNoFreeConns)
}

// Pending returns the number of outcomes that are not yet known to be stored.
func (c *Caller) Pending() int {
	return c.settler.pending()
}
