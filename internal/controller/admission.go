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

// unreachablePause is how long an instance places nothing on a target after it could not connect to it. Without a pause
// each new request would try a dead target first, and their repetitions would use up the retry budget.
const unreachablePause = 2 * time.Second

func (t *traffic) admit(m *admit, now time.Time) {
	if refusal := t.control.closedToNewWork(now); refusal != nil && m.failure == nil {
		m.reply <- admission{
			err: refusal,
		}
		return
	}
	t.noteUnreachable(m.failure, now)
	if err := t.check(m, now); err != nil {
		m.reply <- admission{
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
		t.budget.Request(now)
		t.act(t.admitter.Submit(now, t.admissionOf(a)), now)
		return
	}
	t.act(t.admitter.Resubmit(now, t.admissionOf(a)), now)
}

// newID returns an id that is unique over all instances: two of them may serve the same request id of a caller.
func (t *traffic) newID(r *Request) namer.Request {
	t.sequence++
	return namer.Request(fmt.Sprintf("%s.%s-%d", r.ID, t.control.options.Self.Incarnation, t.sequence))
}

// check completes the request from the bundle, or refuses it.
func (t *traffic) check(m *admit, now time.Time) error {
	r := m.request
	bundle := t.control.bundle
	if _, ok := bundle.Customers[r.Customer]; !ok {
		return refusal(refuser.UnknownCustomer, fmt.Sprintf("customer %q is not in the bundle: check the header", r.Customer))
	}
	model, ok := bundle.Models[r.Model]
	if !ok {
		return refusal(refuser.UnknownModel, fmt.Sprintf("model %q is not in the bundle: check the name", r.Model))
	}
	if r.PromptTokens > model.MaxPromptTokens {
		return refusal(refuser.PromptExceedsTargets, fmt.Sprintf("the prompt has %d tokens, the model takes %d: shorten it", r.PromptTokens, model.MaxPromptTokens))
	}
	if r.MaxTokens > model.MaxOutputTokens {
		return refusal(refuser.MalformedRequest, fmt.Sprintf("max_tokens is %d, the model gives at most %d: lower it", r.MaxTokens, model.MaxOutputTokens))
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Received.Add(patience(r.Patience, bundle.Rules))
	}
	if m.failure != nil {
		t.noteFailure(m.failure, now)
		return t.checkRetry(r.Ran, now)
	}
	return nil
}

// noteFailure tells the elector when an engine refused an attempt for its old epoch.
func (t *traffic) noteFailure(f *Failure, now time.Time) {
	var engine *streamer.EngineError
	if !errors.As(f.Cause, &engine) || engine.Code != streamer.CodeStaleEpoch {
		return
	}
	for _, p := range f.Placement.Parts {
		if p.Address == engine.Address {
			t.control.staleEpoch(p.Target, p.Epoch, now)
		}
	}
}

func (t *traffic) checkRetry(ran refuser.Ran, now time.Time) error {
	if !t.budget.Spend(now) {
		return &refuser.Refusal{
			Reason:     refuser.RetryBudgetSpent,
			Ran:        ran,
			Message:    "the target failed and too many requests were repeated lately: send it again with resume_from",
			RetryAfter: t.settings.BudgetWindow,
		}
	}
	return nil
}

func patience(wanted time.Duration, rules roller.Rules) time.Duration {
	if wanted == 0 {
		wanted = rules.DefaultDeadline
	}
	if rules.MaxDeadline > 0 {
		wanted = min(wanted, rules.MaxDeadline)
	}
	return wanted
}

func refusal(reason refuser.Reason, message string) *refuser.Refusal {
	return &refuser.Refusal{
		Reason:  reason,
		Ran:     refuser.RanNo,
		Message: message,
	}
}

// closedToNewWork returns why this instance takes no new work at all, or nil.
func (c *Controller) closedToNewWork(now time.Time) error {
	switch {
	case !c.accepting:
		return refusal(refuser.Leaving, "this instance is leaving: use another address")
	case !c.bundled || !c.follower.Ready():
		r := refusal(refuser.NotReady, "this instance has no bundle in force yet: use another address")
		r.RetryAfter = time.Second
		return r
	case c.tracker.Isolated(now):
		r := refusal(refuser.Isolated, "this instance hears neither the store nor other instances: use another address")
		r.RetryAfter = time.Second
		return r
	}
	return nil
}

func (t *traffic) admissionOf(a *attempt) admitter.Request {
	r := a.admission.request
	asked := admitter.Request{
		Request: placer.Request{
			ID:           a.id,
			Model:        r.Model,
			PromptTokens: r.PromptTokens,
			OutputTokens: r.MaxTokens,
			Prefix:       prefixNumbers(r.Prefix),
		},
		Customer: r.Customer,
		Arrived:  r.Received,
		Deadline: r.Deadline,
	}
	if len(t.unreachable) > 0 {
		asked.Exclude = t.avoided(r.Model, t.now)
	}
	if f := a.admission.failure; f != nil {
		for _, p := range f.Placement.Parts {
			asked.Exclude = append(asked.Exclude, p.Target)
		}
	}
	return asked
}

// noteUnreachable remembers a target to which no connection could be opened. In a group it is not known which one.
func (t *traffic) noteUnreachable(f *Failure, now time.Time) {
	if f != nil && f.Reason == refuser.ConnectFailed && len(f.Placement.Parts) == 1 {
		t.unreachable[f.Placement.Parts[0].Target] = now
	}
}

// avoided returns the model's targets that could not be reached just now, or none if there are no others: the fault may
// then be this instance's.
func (t *traffic) avoided(model namer.Model, now time.Time) []namer.Target {
	var avoided []namer.Target
	others := false
	for _, target := range t.control.tracker.Targets() {
		if target.Model != model {
			continue
		}
		if failed, ok := t.unreachable[target.ID]; ok && now.Sub(failed) < unreachablePause {
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

func prefixNumbers(hashes []string) []uint64 {
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

func (t *traffic) act(action admitter.Action, now time.Time) {
	switch action := action.(type) {
	case admitter.Admit:
		t.reserve(action, now)
	case admitter.Queue:
		t.attempts[action.Request.ID].stage = stageQueued
	case admitter.Refuse:
		t.end(action.Request.ID, t.afterStart(action))
	}
}

// afterStart corrects what a refusal says of work that ran in an earlier attempt.
func (t *traffic) afterStart(action admitter.Refuse) *refuser.Refusal {
	a := t.attempts[action.Request.ID]
	if a != nil && a.admission.failure != nil {
		action.Refusal.Ran = a.admission.request.Ran
	}
	return action.Refusal
}

func (t *traffic) end(id namer.Request, refusal *refuser.Refusal) {
	a, ok := t.attempts[id]
	if !ok {
		return
	}
	delete(t.attempts, id)
	a.admission.reply <- admission{
		err: refusal,
	}
}

// abandon ends an admission whose caller has gone before it got a placement.
func (t *traffic) abandon(m *admit, now time.Time) {
	for _, a := range t.attempts {
		if a.admission != m {
			continue
		}
		if a.stage == stageQueued {
			t.admitter.Cancel(t.admissionOf(a))
			delete(t.attempts, a.id)
			return
		}
		t.finish(a, reserver.CallerGone, now)
		return
	}
}
