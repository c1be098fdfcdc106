package deduplicator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Request describes one call of a caller.
type Request struct {
	Name     string
	Digest   string
	Deadline time.Time
	Holder   namer.Holder
	// Attempt must differ for every Call of the holder.
	Attempt int64
}

// Event is what happened to a call.
type Event interface{ event() }

// Arrive starts the call.
type Arrive struct{}

// Written means that the store confirmed the last write.
type Written struct {
	Version int64
}

// Conflict means that the last write did not take effect because the object is at another version.
type Conflict struct {
	Exists  bool
	Version int64
	Record  Record
}

// WriteLost means that the last write may have taken effect.
type WriteLost struct{}

// WriteRefused means that the last write certainly did not take effect: budget spent, rate limit, or not sent.
type WriteRefused struct{}

// ReadBack is the object as it is now.
type ReadBack struct {
	Exists  bool
	Version int64
	Record  Record
}

// ReadFailed means that the object could not be read.
type ReadFailed struct{}

// NotSent means that certainly no byte of the call left: no connection, or its time was over.
type NotSent struct{}

// Answered is the whole answer of the service.
type Answered struct {
	Outcome Outcome
}

// SendFailed means that the call may have run but its answer is lost.
type SendFailed struct{}

// Elapse checks the deadline.
type Elapse struct{}

func (Arrive) event()       {}
func (Written) event()      {}
func (Conflict) event()     {}
func (WriteLost) event()    {}
func (WriteRefused) event() {}
func (ReadBack) event()     {}
func (ReadFailed) event()   {}
func (NotSent) event()      {}
func (Answered) event()     {}
func (SendFailed) event()   {}
func (Elapse) event()       {}

// Action is what a call asks its caller to do.
type Action interface{ action() }

// Create writes the record if it is absent; report Written, Conflict, WriteLost or WriteRefused.
type Create struct {
	Name   string
	Record Record
}

// Update writes the record at a version; report Written, Conflict, WriteLost or WriteRefused.
type Update struct {
	Name    string
	Version int64
	Record  Record
}

// Read reads the record; report ReadBack or ReadFailed.
type Read struct {
	Name string
}

// Send sends the call once, with no retry, and not after Before; report NotSent, Answered or SendFailed.
type Send struct {
	Before time.Time
}

// Answer is for the caller; exactly one of Outcome and Refusal is set.
type Answer struct {
	Outcome  *Outcome
	Replayed bool
	Refusal  *refuser.Refusal
}

// Settle hands a final write that is still open to the Settler.
type Settle struct {
	Name   string
	Record Record
}

func (Create) action() {}
func (Update) action() {}
func (Read) action()   {}
func (Send) action()   {}
func (Answer) action() {}
func (Settle) action() {}

// maxTries bounds how often one call writes its record when the object keeps changing.
const maxTries = 4

type phase int

const (
	phaseNew phase = iota
	// phaseClaiming: a write of state started is open.
	phaseClaiming
	// phaseReading: the answer to that write was lost and the record is read.
	phaseReading
	phaseSending
	// phaseFinishing: a write of state done or not_run is open.
	phaseFinishing
	phaseEnded
)

// Call is the state machine of one call that may not be repeated.
type Call struct {
	request Request
	phase   phase
	version int64
	tries   int
	// lost means that a write of state started was not confirmed and may still take effect.
	lost     bool
	final    Record
	held     *refuser.Refusal
	answered bool
}

// NewCall returns the state machine of a call; step it with Arrive first.
func NewCall(request Request) *Call {
	return &Call{
		request: request,
	}
}

// Ended reports whether the call needs no further event.
func (c *Call) Ended() bool {
	return c.phase == phaseEnded
}

// Step takes an event at a time and returns what to do, in order.
func (c *Call) Step(event Event, now time.Time) []Action {
	if _, elapsed := event.(Elapse); elapsed {
		return c.elapse(now)
	}
	switch c.phase {
	case phaseNew:
		return c.start(event, now)
	case phaseClaiming:
		return c.stepClaiming(event, now)
	case phaseReading:
		return c.stepReading(event, now)
	case phaseSending:
		return c.stepSending(event, now)
	case phaseFinishing:
		return c.stepFinishing(event)
	default:
		return nil
	}
}

func (c *Call) start(event Event, now time.Time) []Action {
	if _, arrived := event.(Arrive); !arrived {
		return nil
	}
	if c.late(now) {
		return c.refuse(refuser.DeadlinePast, refuser.RanNo, "the deadline had passed on arrival: send a later one")
	}
	return c.create()
}

func (c *Call) stepClaiming(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Written:
		return c.claimed(e.Version, now)
	case Conflict:
		return c.judge(e.Exists, e.Version, e.Record, now)
	case WriteLost:
		c.lost = true
		c.phase = phaseReading
		return []Action{Read{
			Name: c.request.Name,
		}}
	case WriteRefused:
		return c.refuseStore()
	default:
		return nil
	}
}

func (c *Call) stepReading(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case ReadBack:
		return c.judge(e.Exists, e.Version, e.Record, now)
	case ReadFailed:
		return c.refuseStore()
	default:
		return nil
	}
}

func (c *Call) stepSending(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case NotSent:
		// The caller is told after the record says not_run, so that it can try again at once.
		c.held = c.notSent(now)
		return c.finish(StateNotRun, nil)
	case Answered:
		outcome := e.Outcome
		return append(c.answer(Answer{
			Outcome: &outcome,
		}), c.finish(StateDone, &outcome)...)
	case SendFailed:
		return c.refuse(refuser.OutcomeUnknown, refuser.RanUnknown, "the call was sent and its answer was lost: it is not repeated")
	default:
		return nil
	}
}

func (c *Call) stepFinishing(event Event) []Action {
	switch event.(type) {
	case Written, Conflict:
		return c.end()
	case WriteLost, WriteRefused:
		return append([]Action{c.settle(c.final)}, c.end()...)
	default:
		return nil
	}
}

// elapse answers a caller whose deadline has passed; a call that was sent goes on, so that its outcome is recorded.
func (c *Call) elapse(now time.Time) []Action {
	if !c.late(now) {
		return nil
	}
	switch c.phase {
	case phaseClaiming, phaseReading:
		c.lost = true
		return c.abandon(refuser.DeadlineExceeded, "the deadline passed before the call was sent")
	case phaseSending:
		return c.answer(Answer{
			Refusal: refusal(refuser.OutcomeUnknown, refuser.RanUnknown, "the call was sent and the deadline passed before its answer: it is not repeated"),
		})
	case phaseFinishing:
		return c.answerHeld()
	default:
		return nil
	}
}

// judge decides by the record that is stored now.
func (c *Call) judge(exists bool, version int64, r Record, now time.Time) []Action {
	switch {
	case !exists:
		return c.create()
	case r.Holder == c.request.Holder && r.Attempt == c.request.Attempt && r.State == StateStarted:
		return c.claimed(version, now)
	case r.Digest != c.request.Digest:
		return c.refuse(refuser.KeyReused, refuser.RanNo, "another request used this idempotency key: use a new key")
	case r.State == StateDone:
		return c.replay(r)
	case r.State == StateNotRun:
		return c.restart(version)
	default:
		return c.refuse(refuser.OutcomeUnknown, refuser.RanUnknown, "another attempt with this idempotency key was started: it is not repeated")
	}
}

func (c *Call) create() []Action {
	if c.tries == maxTries {
		return c.refuseStore()
	}
	c.tries++
	c.phase = phaseClaiming
	return []Action{Create{
		Name:   c.request.Name,
		Record: c.record(StateStarted),
	}}
}

// restart claims a record that says not_run, at the version that said so.
func (c *Call) restart(version int64) []Action {
	if c.tries == maxTries {
		return c.refuseStore()
	}
	c.tries++
	c.phase = phaseClaiming
	return []Action{Update{
		Name:    c.request.Name,
		Version: version,
		Record:  c.record(StateStarted),
	}}
}

// claimed sends the call, unless a pause between the claim and now has used up its time.
func (c *Call) claimed(version int64, now time.Time) []Action {
	c.version = version
	c.lost = false
	if c.late(now) {
		c.held = c.notSent(now)
		return append(c.answerHeld(), c.finish(StateNotRun, nil)...)
	}
	c.phase = phaseSending
	return []Action{Send{
		Before: c.request.Deadline,
	}}
}

func (c *Call) replay(r Record) []Action {
	if r.Outcome == nil || r.Outcome.BodyDropped {
		return c.refuse(refuser.OutcomeUnknown, refuser.RanYes, "the call ran but its answer was too large to be kept")
	}
	return append(c.answer(Answer{
		Outcome:  r.Outcome,
		Replayed: true,
	}), c.end()...)
}

func (c *Call) finish(state State, outcome *Outcome) []Action {
	c.phase = phaseFinishing
	c.final = c.record(state)
	c.final.Outcome = recorded(outcome)
	return []Action{Update{
		Name:    c.request.Name,
		Version: c.version,
		Record:  c.final,
	}}
}

// recorded returns the outcome as it is stored, without a body that is too large.
func recorded(o *Outcome) *Outcome {
	if o == nil || len(o.Body) <= MaxBodyBytes {
		return o
	}
	short := *o
	short.Body = nil
	short.BodyDropped = true
	return &short
}

func (c *Call) notSent(now time.Time) *refuser.Refusal {
	if c.late(now) {
		return refusal(refuser.DeadlineExceeded, refuser.RanNo, "the deadline passed before the call was sent")
	}
	return refusal(refuser.TargetFailed, refuser.RanNo, "no connection to the service could be opened: try again")
}

func (c *Call) refuseStore() []Action {
	return c.abandon(refuser.StoreUnavailable, "this attempt was not sent because its call record could not be written: try again")
}

// abandon refuses a call that was never sent; a write that may still take effect is settled later.
func (c *Call) abandon(reason refuser.Reason, message string) []Action {
	actions := c.refuse(reason, refuser.RanNo, message)
	if c.lost {
		actions = append(actions, c.settle(c.record(StateNotRun)))
	}
	return actions
}

func (c *Call) refuse(reason refuser.Reason, ran refuser.Ran, message string) []Action {
	return append(c.answer(Answer{
		Refusal: refusal(reason, ran, message),
	}), c.end()...)
}

// end closes the call and answers what was held back.
func (c *Call) end() []Action {
	c.phase = phaseEnded
	return c.answerHeld()
}

func (c *Call) answerHeld() []Action {
	if c.held == nil {
		return nil
	}
	held := c.held
	c.held = nil
	return c.answer(Answer{
		Refusal: held,
	})
}

// answer keeps the first answer only.
func (c *Call) answer(a Answer) []Action {
	if c.answered {
		return nil
	}
	c.answered = true
	return []Action{a}
}

func (c *Call) settle(r Record) Action {
	return Settle{
		Name:   c.request.Name,
		Record: r,
	}
}

func (c *Call) record(state State) Record {
	return Record{
		State:    state,
		Holder:   c.request.Holder,
		Attempt:  c.request.Attempt,
		Digest:   c.request.Digest,
		Deadline: c.request.Deadline,
	}
}

func (c *Call) late(now time.Time) bool {
	return !now.Before(c.request.Deadline)
}

func refusal(reason refuser.Reason, ran refuser.Ran, message string) *refuser.Refusal {
	return &refuser.Refusal{
		Reason:  reason,
		Ran:     ran,
		Message: message,
	}
}
