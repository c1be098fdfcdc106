package controller

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/admitter"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/retrier"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// stageName is a stage in the life of an attempt.
type stageName int

// The stages of an attempt.
const (
	stageQueued stageName = iota
	stageReserving
	stageRunning
)

// attempt is one attempt of a request, from its admission to its release.
type attempt struct {
	// id is the admission's.
	id namer.Request
	// reservation is the id under which owners and engines know the attempt. It is new for each try to reserve memory: a
	// late release of an earlier try must not free what a later one holds.
	reservation namer.Request
	admission   *admit
	stage       stageName
	admitted    admitter.Admit
	class       placer.Class
	estimate    estimator.Estimate
	targets     []namer.Target
	// uncached is the prefill that the placement counted on.
	uncached int
	granted  reserver.Granted
	// sendAt is the earliest time to send the attempt to its target.
	sendAt time.Time
}

// unreachablePause is how long an instance places nothing on a target after it could not connect to it. Without a pause
// each new request would try a dead target first, and their repetitions would use up the retry budget.
const unreachablePause = 2 * time.Second

// traffic connects the decisions about requests: admission, placement, reservation and retries.
type traffic struct {
	control   *Controller
	settings  retrier.Settings
	estimator *estimator.Estimator
	placer    *placer.Placer
	admitter  *admitter.Admitter
	budget    *retrier.Budget
	attempts  map[namer.Request]*attempt
	reserved  map[namer.Request]*attempt
	sequence  int64
	calls     map[namer.Target]int
	summaries map[namer.Target]messenger.TargetSummary
	caches    map[namer.Target]int64
	waiting   map[reserveKey]chan<- messenger.ReserveAnswer
	// unreachable has the time of the last failed connection to a target.
	unreachable map[namer.Target]time.Time
	now         time.Time
}

func newTraffic(c *Controller) *traffic {
	t := &traffic{
		control:   c,
		settings:  retrier.DefaultSettings(),
		estimator: estimator.New(estimator.DefaultSettings()),
		budget:    retrier.NewBudget(retrier.DefaultSettings()),
		attempts:  map[namer.Request]*attempt{},
		reserved:  map[namer.Request]*attempt{},
		calls:     map[namer.Target]int{},
		summaries: map[namer.Target]messenger.TargetSummary{},
		caches:    map[namer.Target]int64{},
		waiting:   map[reserveKey]chan<- messenger.ReserveAnswer{},

		unreachable: map[namer.Target]time.Time{},
	}
	t.placer = placer.New(placer.DefaultSettings(), t.estimator, t, t.distance, c.options.Random)
	admission := admitter.DefaultSettings()
	admission.QueueLength = c.options.Settings.Bounds.QueuePerModel
	t.admitter = admitter.New(admission, t.placer)
	return t
}

// Room tells the placer what the quota of a target still allows.
func (t *traffic) Room(target namer.Target) (memory, prefill int) {
	room := t.control.reserver.Room(target, t.now)
	return room.MemoryTokens, room.PrefillTokens
}

func (t *traffic) distance(centre namer.DataCentre) time.Duration {
	return t.control.options.Settings.DataCentreDistance[centre]
}

func (t *traffic) running() int {
	return len(t.attempts)
}

func (t *traffic) queued() int {
	queued := 0
	for _, a := range t.attempts {
		if a.stage == stageQueued {
			queued++
		}
	}
	return queued
}

func (t *traffic) setTarget(record tracker.Target) {
	if record.Kind != tracker.TargetEngine {
		return
	}
	t.estimator.SetTarget(estimator.Target{
		ID:             record.ID,
		Model:          record.Model,
		CapacityTokens: record.CapacityTokens,
		PrefillRate:    record.PrefillRate,
		TokenInterval:  record.TokenInterval,
	})
	t.placer.SetTarget(placer.Target{
		ID:             record.ID,
		Model:          record.Model,
		DataCentre:     record.DataCentre,
		CapacityTokens: record.CapacityTokens,
		GroupContext:   record.GroupContext,
	})
}

func (t *traffic) forgetTarget(id namer.Target) {
	t.estimator.RemoveTarget(id)
	t.placer.RemoveTarget(id)
}

func (t *traffic) restarted(id namer.Target) {
	t.estimator.Restarted(id)
}

func (t *traffic) setDeparture(d tracker.Departure) {
	t.placer.SetDeparture(d.DataCentres, d.Targets)
}

func (t *traffic) setBundle(b roller.Bundle) {
	limits := map[namer.Customer]admitter.Limits{}
	for name, customer := range b.Customers {
		limits[name] = admitter.Limits{
			Weight:            customer.Weight,
			RequestsPerSecond: customer.RequestsPerSecond,
			Concurrency:       customer.Concurrency,
		}
	}
	t.admitter.SetCustomers(limits)
}

func (t *traffic) setSummary(s messenger.TargetSummary, now time.Time) {
	t.summaries[s.Target] = s
	t.placer.Update(placer.Summary{
		Target:       s.Target,
		FreeTokens:   s.FreeTokens,
		QueueTokens:  s.QueueTokens,
		WarmPercent:  s.WarmPercent,
		LongPrefills: s.LongPrefills,
		At:           now,
	})
}

func (t *traffic) summary(id namer.Target) messenger.TargetSummary {
	return t.summaries[id]
}

func (t *traffic) cacheAfter(id namer.Target) int64 {
	return t.caches[id]
}

func (t *traffic) takeCache(id namer.Target, events streamer.CacheEvents, now time.Time) {
	t.caches[id] = events.Next
	for _, e := range events.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		if e.Type == "stored" {
			t.placer.Stored(now, id, prefix)
			continue
		}
		t.placer.Evicted(id, prefix)
	}
}

func (t *traffic) unknown(request messenger.ConfirmRequest) messenger.ConfirmAnswer {
	var answer messenger.ConfirmAnswer
	for _, r := range request.Requests {
		if !t.control.reserver.Knows(r) {
			answer.Unknown = append(answer.Unknown, r)
		}
	}
	return answer
}

// roomChanged tries the queues again: quotas were renewed or memory was released.
func (t *traffic) roomChanged(now time.Time) {
	t.now = now
	if t.control.unconfirmed() {
		return
	}
	for model := range t.control.bundle.Models {
		for {
			action := t.admitter.Next(now, model)
			if action == nil {
				break
			}
			t.act(action, now)
		}
	}
}

func (c *Controller) trafficTick(now time.Time) {
	c.traffic.now = now
	c.traffic.placer.Tick(now)
	c.traffic.admitter.SetInstances(c.tracker.LiveEntries(now))
	c.traffic.roomChanged(now)
}

func (c *Controller) handleTraffic(m message, now time.Time) {
	t := c.traffic
	t.now = now
	switch m := m.(type) {
	case *admit:
		t.admit(m, now)
	case abandoned:
		t.abandon(m.admission, now)
	case firstToken:
		t.firstToken(m, now)
	case startWanted:
		a := t.reserved[namer.Request(m.placement.Attempt)]
		m.reply <- a != nil && t.mayStart(a.granted, now)
	case interval:
		t.learnInterval(m)
	case released:
		t.release(m, now)
	case refused:
		m.record.At = now
		m.record.Instance = c.options.Self.Instance
		m.record.BundleSequence = c.bundle.Sequence
		id, actions := c.recorder.Add(m.record, now)
		m.reply <- id
		c.recorderActions(actions)
	case callWanted:
		m.reply <- t.placeCall(m.request, now)
	case callEnded:
		t.calls[m.target]--
	}
}

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

// reserve asks for the memory of an admitted attempt.
func (t *traffic) reserve(admitted admitter.Admit, now time.Time) {
	a := t.attempts[admitted.Request.ID]
	if a == nil {
		t.admitter.Finish(now, admitted.Request.ID)
		return
	}
	a.stage = stageReserving
	a.admitted = admitted
	a.reservation = t.newID(a.admission.request)
	t.reserved[a.reservation] = a
	t.placer.Start(now, a.reservation, admitted.Decision)
	switch d := admitted.Decision.(type) {
	case placer.Chosen:
		a.class, a.estimate, a.uncached = d.Class, d.Estimate, d.UncachedTokens
		a.sendAt = now.Add(d.Notice)
		a.targets = []namer.Target{d.Target}
		t.control.reserverActions(t.control.reserver.Handle(reserver.Reserve{
			Request:       a.reservation,
			Target:        d.Target,
			Tokens:        d.Estimate.Tokens,
			PrefillTokens: d.UncachedTokens,
			Wait:          t.reserveWait(d.NeedsReservation, admitted.ReserveWait),
		}, now), now)
	case placer.Group:
		a.class, a.estimate = placer.Long, d.Estimate
		a.sendAt = now.Add(d.Notice)
		a.targets = nil
		for _, m := range d.Members {
			a.targets = append(a.targets, m.Target)
		}
		t.control.reserverActions(t.control.reserver.Handle(reserver.ReserveGroup{
			Request:       a.reservation,
			Targets:       a.targets,
			Tokens:        d.Members[0].Tokens,
			PrefillTokens: d.Members[0].Tokens,
			Wait:          t.reserveWait(true, admitted.ReserveWait),
		}, now), now)
	}
}

// reserveMinimum is enough for one message to the owner and back.
const reserveMinimum = 100 * time.Millisecond

func (t *traffic) reserveWait(needed bool, wait time.Duration) time.Duration {
	if !needed {
		return 0
	}
	return max(wait, reserveMinimum)
}

// reserveRefused puts an attempt back into the queue.
func (t *traffic) reserveRefused(refused reserver.Refused, now time.Time) {
	a := t.reserved[refused.Request]
	if a == nil {
		return
	}
	t.requeue(a, now)
}

func (t *traffic) requeue(a *attempt, now time.Time) {
	t.giveBack(a, reserver.Cancelled, now)
	t.admitter.Requeue(now, a.id, a.class)
	a.stage = stageQueued
}

// giveBack ends the reservation of an attempt.
func (t *traffic) giveBack(a *attempt, exit reserver.Exit, now time.Time) {
	delete(t.reserved, a.reservation)
	t.placer.Finish(a.reservation)
	t.control.reserverActions(t.control.reserver.Handle(reserver.Release{
		Request: a.reservation,
		Exit:    exit,
	}, now), now)
}

// mayStart asks once more for each part: while the later parts of a group were reserved, the time in which the first may
// start can have run out.
func (t *traffic) mayStart(g reserver.Granted, now time.Time) bool {
	for _, grant := range g.Grants {
		for _, a := range t.control.reserver.Handle(reserver.Start{
			Request: g.Request,
			Target:  grant.Target,
			Boot:    cmp.Or(t.control.boots[grant.Target], grant.Boot),
		}, now) {
			if _, denied := a.(reserver.StartDenied); denied {
				return false
			}
			t.control.reserverActions([]reserver.Action{a}, now)
		}
	}
	return true
}

// granted starts an attempt whose memory is reserved.
func (t *traffic) granted(g reserver.Granted, now time.Time) {
	a := t.reserved[g.Request]
	if a == nil {
		t.control.reserverActions(t.control.reserver.Handle(reserver.Release{
			Request: g.Request,
			Exit:    reserver.CallerGone,
		}, now), now)
		return
	}
	if !t.mayStart(g, now) {
		t.requeue(a, now)
		return
	}
	a.granted = g
	placement := t.placementOf(a, g)
	placement.Notice = max(0, a.sendAt.Sub(now))
	a.stage = stageRunning
	a.admission.reply <- admission{
		placement: placement,
	}
}

func (t *traffic) placementOf(a *attempt, g reserver.Granted) *Placement {
	placement := &Placement{
		Attempt:       string(a.reservation),
		Priority:      a.admitted.Priority,
		Class:         a.class.String(),
		Holder:        t.control.options.Self.String(),
		FirstToken:    a.estimate.FirstToken(),
		TokenInterval: t.estimator.TokenInterval(a.targets[0]),
	}
	for _, grant := range g.Grants {
		placement.Parts = append(placement.Parts, Part{
			Target:  grant.Target,
			Address: t.control.targets[grant.Target].Address,
			Epoch:   grant.Epoch,
			Tokens:  grant.Tokens,
		})
	}
	return placement
}

func (t *traffic) firstToken(m firstToken, now time.Time) {
	id := namer.Request(m.placement.Attempt)
	a := t.reserved[id]
	if a == nil {
		return
	}
	t.placer.FirstToken(id)
	for _, target := range a.targets {
		t.control.reserverActions(t.control.reserver.Handle(reserver.PrefillDone{
			Request: id,
			Target:  target,
		}, now), now)
	}
	t.learnPrefill(a, m.elapsed, now)
}

const (
	// learnedPrompt is the fewest uncached tokens whose prefill says something about the target's rate.
	learnedPrompt = 1000
	// prefillOverhead is the part of the time to the first token that is no prefill: connecting and a step in progress.
	prefillOverhead = 20 * time.Millisecond
)

// learnPrefill learns a target's rate from a prefill that had no others in front.
func (t *traffic) learnPrefill(a *attempt, elapsed time.Duration, now time.Time) {
	target := a.targets[0]
	busy := a.estimate.Wait > 0 || t.summaries[target].QueueTokens > 0
	if len(a.targets) > 1 || a.uncached < learnedPrompt || busy {
		return
	}
	normal := t.control.targets[target].PrefillRate
	expected := time.Duration(float64(a.uncached) / normal * float64(time.Second))
	prefill := max(expected, elapsed-prefillOverhead-2*t.estimator.TokenInterval(target))
	if expected < 2*prefillOverhead && prefill > 2*expected {
		// Too short to tell a slow target from a slow network: seen as warm targets being held at the cold share.
		return
	}
	t.estimator.Observe(estimator.Observation{
		Target:        target,
		PrefillTokens: a.uncached,
		Prefill:       prefill,
	})
	t.control.toAllocator(target, allocator.PrefillObserved{
		Boot: t.control.boots[target],
		Rate: float64(a.uncached) / prefill.Seconds(),
	}, now)
}

// learnInterval learns the time between tokens while a stream runs.
func (t *traffic) learnInterval(m interval) {
	a := t.reserved[namer.Request(m.placement.Attempt)]
	if a == nil || len(a.targets) > 1 {
		return
	}
	t.estimator.Observe(estimator.Observation{
		Target:         a.targets[0],
		TokenInterval:  m.mean,
		IntervalTokens: m.tokens,
	})
}

func (t *traffic) release(m released, now time.Time) {
	a := t.reserved[namer.Request(m.placement.Attempt)]
	if a == nil {
		return
	}
	t.finish(a, exitOf(m.outcome), now)
}

func exitOf(o Outcome) reserver.Exit {
	if o == Finished {
		return reserver.Finished
	}
	return reserver.Failed
}

// finish gives back everything that the attempt holds.
func (t *traffic) finish(a *attempt, exit reserver.Exit, now time.Time) {
	delete(t.attempts, a.id)
	t.giveBack(a, exit, now)
	t.admitter.Finish(now, a.id)
	t.roomChanged(now)
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

// placeCall chooses the target of a service call with the fewest calls under way.
func (t *traffic) placeCall(r *CallRequest, now time.Time) callAdmission {
	if err := t.control.closedToNewWork(now); err != nil {
		return callAdmission{
			err: err,
		}
	}
	bundle := t.control.bundle
	if _, ok := bundle.Customers[r.Customer]; !ok {
		return callAdmission{
			err: refusal(refuser.UnknownCustomer, fmt.Sprintf("customer %q is not in the bundle: check the header", r.Customer)),
		}
	}
	call, ok := bundle.Services[r.Service].Calls[r.Call]
	if !ok {
		return callAdmission{
			err: refusal(refuser.UnknownService, fmt.Sprintf("service %q has no call %q in the bundle: check the path", r.Service, r.Call)),
		}
	}
	best, ok := t.leastCalled(r)
	if !ok {
		none := refusal(refuser.NoTarget, "no target of the service is in service: try again later")
		none.RetryAfter = time.Second
		return callAdmission{
			err: none,
		}
	}
	t.calls[best.ID]++
	return callAdmission{
		placement: CallPlacement{
			Target:     best.ID,
			Address:    best.Address,
			Repeatable: call.Repeatable,
			Deadline:   now.Add(patience(r.Patience, bundle.Rules)),
		},
	}
}

func (t *traffic) leastCalled(r *CallRequest) (tracker.Target, bool) {
	var best tracker.Target
	for _, target := range t.control.tracker.Targets() {
		if target.Kind != tracker.TargetService || target.Service != r.Service || t.control.tracker.TargetOut(target.ID) {
			continue
		}
		if slices.Contains(r.Exclude, target.ID) {
			continue
		}
		if best.ID == "" || t.calls[target.ID] < t.calls[best.ID] {
			best = target
		}
	}
	return best, best.ID != ""
}
