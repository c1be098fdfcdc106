package controller

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Admit waits until the request is placed or refused.
func (c *Controller) Admit(ctx context.Context, request *Request) (*Placement, error) {
	return c.requestPlacement(ctx, request, nil)
}

// Retry places another attempt of a request whose previous attempt failed.
func (c *Controller) Retry(ctx context.Context, request *Request, failure Failure) (*Placement, error) {
	return c.requestPlacement(ctx, request, &failure)
}

func (c *Controller) requestPlacement(ctx context.Context, request *Request, failure *Failure) (*Placement, error) {
	reply := make(chan admissionResult, 1)
	m := &admissionRequest{
		request: request,
		failure: failure,
		reply:   reply,
	}
	if !c.post(c.ctx, m) {
		return nil, stoppedRefusal()
	}
	select {
	case a := <-reply:
		return a.placement, a.err
	case <-c.ctx.Done():
		return nil, stoppedRefusal()
	case <-ctx.Done():
		return nil, c.cancelAdmission(m, reply)
	}
}

// cancelAdmission cancels an admission whose caller disconnected or whose deadline passed. A placement that was decided in
// the meantime is released.
func (c *Controller) cancelAdmission(m *admissionRequest, reply <-chan admissionResult) error {
	c.post(c.ctx, admissionCancelled{
		admission: m,
	})
	refusal := &refuser.Refusal{
		Reason:  refuser.DeadlineExceeded,
		Ran:     refuser.RanNo,
		Message: "the caller went away or its time was over before a target was free",
	}
	if m.failure != nil {
		refusal.Ran = m.request.Ran
	}
	select {
	case a := <-reply:
		if a.placement != nil {
			c.Release(a.placement, Aborted)
		}
	default:
	}
	return refusal
}

func stoppedRefusal() error {
	return newRefusal(refuser.Leaving, "this instance has stopped: use another address")
}

// RecordFirstToken reports the time that an attempt took to its first token.
func (c *Controller) RecordFirstToken(placement *Placement, elapsed time.Duration) {
	c.post(c.ctx, firstTokenReceived{
		placement: placement,
		elapsed:   elapsed,
	})
}

// MayStart reports whether an attempt that was delayed after its placement may still be sent.
func (c *Controller) MayStart(ctx context.Context, placement *Placement) bool {
	reply := make(chan bool, 1)
	allowed, err := ask(ctx, c, reply, startRequested{
		placement: placement,
		reply:     reply,
	})
	return err == nil && allowed
}

// RecordTokenInterval reports the mean time between tokens of an attempt, measured over the given number of tokens.
func (c *Controller) RecordTokenInterval(placement *Placement, mean time.Duration, tokens int) {
	c.post(c.ctx, tokenIntervalMeasured{
		placement: placement,
		mean:      mean,
		tokens:    tokens,
	})
}

// Release frees the resources that an attempt holds.
func (c *Controller) Release(placement *Placement, outcome Outcome) {
	c.post(c.ctx, attemptReleased{
		placement: placement,
		outcome:   outcome,
	})
}

// RecordRefusal records the refusal of a request and returns the record's id, or an empty string once the controller has
// stopped.
func (c *Controller) RecordRefusal(request *Request, r *refuser.Refusal) string {
	return c.recordRefusal(refuser.Record{
		Customer:   request.Customer,
		Request:    request.ID,
		Subject:    string(request.Model),
		Reason:     r.Reason,
		Ran:        r.Ran,
		Message:    r.Message,
		Deadline:   request.Deadline,
		RetryAfter: r.RetryAfter,
		Figures:    r.Figures,
	})
}

// RecordCallRefusal records the refusal of a service call and returns the record's id, or an empty string once the
// controller has stopped.
func (c *Controller) RecordCallRefusal(request *CallRequest, r *refuser.Refusal) string {
	return c.recordRefusal(refuser.Record{
		Customer:   request.Customer,
		Request:    request.ID,
		Subject:    string(request.Service) + "/" + request.Call,
		Reason:     r.Reason,
		Ran:        r.Ran,
		Message:    r.Message,
		RetryAfter: r.RetryAfter,
		Figures:    r.Figures,
	})
}

func (c *Controller) recordRefusal(record refuser.Record) string {
	reply := make(chan string, 1)
	id, err := ask(c.ctx, c, reply, requestRefused{
		record: record,
		reply:  reply,
	})
	if err != nil {
		return ""
	}
	return id
}

// PlaceCall chooses the target of a service call, or refuses the call. Each placed call must be ended with EndCall.
func (c *Controller) PlaceCall(ctx context.Context, request *CallRequest) (CallPlacement, error) {
	reply := make(chan callAdmissionResult, 1)
	a, err := ask(ctx, c, reply, callRequested{
		request: request,
		reply:   reply,
	})
	if err != nil {
		return CallPlacement{}, stoppedRefusal()
	}
	return a.placement, a.err
}

// EndCall reports that a placed call has ended.
func (c *Controller) EndCall(target namer.Target) {
	c.post(c.ctx, callEnded{
		target: target,
	})
}

// Addresses returns the instances that a caller may use.
func (c *Controller) Addresses() (AddressAnswer, error) {
	reply := make(chan AddressAnswer, 1)
	answer, err := ask(c.ctx, c, reply, addressesRequested{
		reply: reply,
	})
	if err != nil {
		return answer, stoppedRefusal()
	}
	if len(answer.Addresses) == 0 {
		notReady := newRefusal(refuser.NotReady, "no instance is known that accepts requests: try again later")
		notReady.RetryAfter = time.Second
		return answer, notReady
	}
	return answer, nil
}

// Ready reports whether this instance accepts new requests.
func (c *Controller) Ready() bool {
	reply := make(chan bool, 1)
	ready, err := ask(c.ctx, c, reply, readinessRequested{
		reply: reply,
	})
	return err == nil && ready
}

// Leave starts a planned stop; Done is closed when the stop has ended.
func (c *Controller) Leave() {
	c.post(c.ctx, leaveRequested{})
}

// StoreReachable reports whether the store has answered within the isolation time.
func (c *Controller) StoreReachable() bool {
	age := c.storeAge(c.options.Clock.Now())
	return age >= 0 && age < c.options.Settings.Times.Isolation
}
