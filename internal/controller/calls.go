package controller

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Admit waits until the request is placed or refused.
func (c *Controller) Admit(ctx context.Context, request *Request) (*Placement, error) {
	return c.place(ctx, request, nil)
}

// Retry places a further attempt of a request whose last one failed.
func (c *Controller) Retry(ctx context.Context, request *Request, failure Failure) (*Placement, error) {
	return c.place(ctx, request, &failure)
}

func (c *Controller) place(ctx context.Context, request *Request, failure *Failure) (*Placement, error) {
	reply := make(chan admission, 1)
	m := &admit{
		request: request,
		failure: failure,
		reply:   reply,
	}
	if !c.post(c.ctx, m) {
		return nil, stopped()
	}
	select {
	case a := <-reply:
		return a.placement, a.err
	case <-c.ctx.Done():
		return nil, stopped()
	case <-ctx.Done():
		return nil, c.giveUp(m, reply)
	}
}

// giveUp withdraws an admission whose caller has gone or whose time is over; a placement that was already on its way
// is found and released by the control goroutine.
func (c *Controller) giveUp(m *admit, reply <-chan admission) error {
	c.post(c.ctx, abandoned{
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

func stopped() error {
	return refusal(refuser.Leaving, "this instance has stopped: use another address")
}

// FirstToken tells that the first token of an attempt came after a time.
func (c *Controller) FirstToken(placement *Placement, elapsed time.Duration) {
	c.post(c.ctx, firstToken{
		placement: placement,
		elapsed:   elapsed,
	})
}

// MayStart asks whether an attempt that waited after its placement may still be sent.
func (c *Controller) MayStart(ctx context.Context, placement *Placement) bool {
	reply := make(chan bool, 1)
	allowed, err := ask(ctx, c, reply, startWanted{
		placement: placement,
		reply:     reply,
	})
	return err == nil && allowed
}

// Interval tells the mean time between some tokens of an attempt.
func (c *Controller) Interval(placement *Placement, mean time.Duration, tokens int) {
	c.post(c.ctx, interval{
		placement: placement,
		mean:      mean,
		tokens:    tokens,
	})
}

// Release gives back what an attempt holds.
func (c *Controller) Release(placement *Placement, outcome Outcome) {
	c.post(c.ctx, released{
		placement: placement,
		outcome:   outcome,
	})
}

// Refused records a refusal and returns its id.
func (c *Controller) Refused(request *Request, r *refuser.Refusal) string {
	return c.record(refuser.Record{
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

// RefusedCall records the refusal of a service call and returns its id.
func (c *Controller) RefusedCall(request *CallRequest, r *refuser.Refusal) string {
	return c.record(refuser.Record{
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

func (c *Controller) record(record refuser.Record) string {
	reply := make(chan string, 1)
	id, err := ask(c.ctx, c, reply, refused{
		record: record,
		reply:  reply,
	})
	if err != nil {
		return ""
	}
	return id
}

// PlaceCall names the target of a service call, or refuses the call; EndCall must follow a placement.
func (c *Controller) PlaceCall(ctx context.Context, request *CallRequest) (CallPlacement, error) {
	reply := make(chan callAdmission, 1)
	a, err := ask(ctx, c, reply, callWanted{
		request: request,
		reply:   reply,
	})
	if err != nil {
		return CallPlacement{}, stopped()
	}
	return a.placement, a.err
}

// EndCall tells that a placed call has ended.
func (c *Controller) EndCall(target namer.Target) {
	c.post(c.ctx, callEnded{
		target: target,
	})
}

// Addresses answers which instances a caller may use.
func (c *Controller) Addresses() (AddressAnswer, error) {
	reply := make(chan AddressAnswer, 1)
	answer, err := ask(c.ctx, c, reply, addressesWanted{
		reply: reply,
	})
	if err != nil {
		return answer, stopped()
	}
	if len(answer.Addresses) == 0 {
		none := refusal(refuser.NotReady, "no instance is known that accepts requests: try again later")
		none.RetryAfter = time.Second
		return answer, none
	}
	return answer, nil
}

// Ready reports whether this instance takes new work.
func (c *Controller) Ready() bool {
	reply := make(chan bool, 1)
	ready, err := ask(c.ctx, c, reply, readyWanted{
		reply: reply,
	})
	return err == nil && ready
}

// Leave starts a planned stop; Done tells when it has ended.
func (c *Controller) Leave() {
	c.post(c.ctx, leaveWanted{})
}

// StoreHeard reports whether the store answered lately.
func (c *Controller) StoreHeard() bool {
	age := c.storeAge(c.options.Clock.Now())
	return age >= 0 && age < c.options.Settings.Times.Isolation
}
