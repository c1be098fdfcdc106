package controller

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/admitter"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

// unreachableBackoff is how long an instance skips a target after a failed connection to it. Without a backoff each new
// request would try the dead target first, and the retries would exhaust the retry budget.
const unreachableBackoff = 2 * time.Second

func (t *traffic) admit(m *admissionRequest, now time.Time) {
	if refusal := t.control.checkAccepting(now); refusal != nil && m.failure == nil {
		m.reply <- admissionResult{
			err: refusal,
		}
		return
	}
	t.recordUnreachable(m.failure, now)
	if err := t.checkRequest(m, now); err != nil {
		m.reply <- admissionResult{
			err: err,
		}
		return
	}
	a := &attempt{
		id:        t.newID(m.request),
		admission: m,
	}
	t.attempts[a.id] = a
	if m.failure == nil {
		t.budget.CountRequest(now)
		t.applyAdmitterAction(t.admitter.Submit(now, t.admitterRequest(a)), now)
		return
	}
	t.applyAdmitterAction(t.admitter.Resubmit(now, t.admitterRequest(a)), now)
}

// newID returns an id that is unique across instances: callers may send the same request id to two of them.
func (t *traffic) newID(r *Request) namer.Request {
	t.sequence++
	return namer.Request(fmt.Sprintf("%s.%s-%d", r.ID, t.control.options.Self.Incarnation, t.sequence))
}

// checkRequest validates the request against the bundle, sets its deadline and charges a retry to the retry budget.
func (t *traffic) checkRequest(m *admissionRequest, now time.Time) error {
	r := m.request
	bundle := t.control.bundle
	if _, ok := bundle.Customers[r.Customer]; !ok {
		return newRefusal(refuser.UnknownCustomer, fmt.Sprintf("customer %q is not in the bundle: check the header", r.Customer))
	}
	model, ok := bundle.Models[r.Model]
	if !ok {
		return newRefusal(refuser.UnknownModel, fmt.Sprintf("model %q is not in the bundle: check the name", r.Model))
	}
	if r.PromptTokens > model.MaxPromptTokens {
		return newRefusal(refuser.PromptExceedsTargets, fmt.Sprintf("the prompt has %d tokens, the model takes %d: shorten it", r.PromptTokens, model.MaxPromptTokens))
	}
	if r.MaxTokens > model.MaxOutputTokens {
		return newRefusal(refuser.MalformedRequest, fmt.Sprintf("max_tokens is %d, the model gives at most %d: lower it", r.MaxTokens, model.MaxOutputTokens))
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Received.Add(requestTimeout(r.Timeout, bundle.Rules))
	}
	if m.failure != nil {
		t.detectStaleEpoch(m.failure, now)
		return t.checkRetry(r.Ran, now)
	}
	return nil
}

// detectStaleEpoch tells the elector if an engine rejected an attempt because its epoch was stale.
func (t *traffic) detectStaleEpoch(f *Failure, now time.Time) {
	var engine *streamer.EngineError
	if !errors.As(f.Cause, &engine) || engine.Code != streamer.CodeStaleEpoch {
		return
	}
	for _, p := range f.Placement.Parts {
		if p.Address == engine.Address {
			t.control.reportStaleEpoch(p.Target, p.Epoch, now)
		}
	}
}

func (t *traffic) checkRetry(ran refuser.Ran, now time.Time) error {
	if !t.budget.TryRetry(now) {
		return &refuser.Refusal{
			Reason:     refuser.RetryBudgetSpent,
			Ran:        ran,
			Message:    "the target failed and too many requests were repeated lately: send it again with resume_from",
			RetryAfter: t.retrySettings.BudgetWindow,
		}
	}
	return nil
}

func requestTimeout(timeout time.Duration, rules roller.Rules) time.Duration {
	if timeout == 0 {
		timeout = rules.DefaultDeadline
	}
	if rules.MaxDeadline > 0 {
		timeout = min(timeout, rules.MaxDeadline)
	}
	return timeout
}

func newRefusal(reason refuser.Reason, message string) *refuser.Refusal {
	return &refuser.Refusal{
		Reason:  reason,
		Ran:     refuser.RanNo,
		Message: message,
	}
}

// checkAccepting returns the refusal if this instance accepts no new requests at all, or nil.
func (c *Controller) checkAccepting(now time.Time) error {
	switch {
	case !c.accepting:
		return newRefusal(refuser.Leaving, "this instance is leaving: use another address")
	case !c.bundleInForce || !c.follower.Ready():
		r := newRefusal(refuser.NotReady, "this instance has no bundle in force yet: use another address")
		r.RetryAfter = time.Second
		return r
	case c.tracker.Isolated(now):
		r := newRefusal(refuser.Isolated, "this instance hears neither the store nor other instances: use another address")
		r.RetryAfter = time.Second
		return r
	}
	return nil
}

func (t *traffic) admitterRequest(a *attempt) admitter.Request {
	r := a.admission.request
	request := admitter.Request{
		Request: placer.Request{
			ID:           a.id,
			Model:        r.Model,
			PromptTokens: r.PromptTokens,
			OutputTokens: r.MaxTokens,
			Prefix:       parsePrefixHashes(r.Prefix),
		},
		Customer: r.Customer,
		Arrived:  r.Received,
		Deadline: r.Deadline,
	}
	if len(t.unreachable) > 0 {
		request.Exclude = t.unreachableTargets(r.Model, t.now)
	}
	if f := a.admission.failure; f != nil {
		for _, p := range f.Placement.Parts {
			request.Exclude = append(request.Exclude, p.Target)
		}
	}
	return request
}

// recordUnreachable records the time of a failed connection to a target. A failed group is skipped, since the failure does
// not say which of its targets was unreachable.
func (t *traffic) recordUnreachable(f *Failure, now time.Time) {
	if f != nil && f.Reason == refuser.ConnectFailed && len(f.Placement.Parts) == 1 {
		t.unreachable[f.Placement.Parts[0].Target] = now
	}
}

// unreachableTargets returns the model's targets that are in their backoff. It returns none if that would exclude all of
// them, because the fault may then be on this instance.
func (t *traffic) unreachableTargets(model namer.Model, now time.Time) []namer.Target {
	var avoided []namer.Target
	others := false
	for _, target := range t.control.tracker.Targets() {
		if target.Model != model {
			continue
		}
		if failed, ok := t.unreachable[target.ID]; ok && now.Sub(failed) < unreachableBackoff {
			avoided = append(avoided, target.ID)
			continue
		}
		delete(t.unreachable, target.ID)
		others = true
	}
	if !others {
		return nil
	}
	return avoided
}

func parsePrefixHashes(hashes []string) []uint64 {
	numbers := make([]uint64, 0, len(hashes))
	for _, h := range hashes {
		n, err := strconv.ParseUint(h, 16, 64)
		if err != nil {
			return numbers
		}
		numbers = append(numbers, n)
	}
	return numbers
}

func (t *traffic) applyAdmitterAction(action admitter.Action, now time.Time) {
	switch action := action.(type) {
	case admitter.Admit:
		t.reserve(action, now)
	case admitter.Queue:
		t.attempts[action.Request.ID].stage = stageQueued
	case admitter.Refuse:
		t.refuse(action.Request.ID, t.refusalWithRan(action))
	}
}

// refusalWithRan sets in the refusal of a retry whether earlier attempts may have run.
func (t *traffic) refusalWithRan(action admitter.Refuse) *refuser.Refusal {
	a := t.attempts[action.Request.ID]
	if a != nil && a.admission.failure != nil {
		action.Refusal.Ran = a.admission.request.Ran
	}
	return action.Refusal
}

func (t *traffic) refuse(id namer.Request, refusal *refuser.Refusal) {
	a, ok := t.attempts[id]
	if !ok {
		return
	}
	delete(t.attempts, id)
	a.admission.reply <- admissionResult{
		err: refusal,
	}
}

// cancelAdmission removes an admission whose caller disconnected or timed out, and frees what it reserved.
func (t *traffic) cancelAdmission(m *admissionRequest, now time.Time) {
	for _, a := range t.attempts {
		if a.admission != m {
			continue
		}
		if a.stage == stageQueued {
			t.admitter.Cancel(t.admitterRequest(a))
			delete(t.attempts, a.id)
			return
		}
		t.finish(a, reserver.CallerGone, now)
		return
	}
}
