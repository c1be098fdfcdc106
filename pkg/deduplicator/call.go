package deduplicator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Request describes one attempt of a caller to execute a call.
type Request struct {
	Name     string
	Digest   string
	Deadline time.Time
	Holder   namer.Holder
	// Attempt must be unique among the calls of the holder.
	Attempt int64
}

// Event is an input of the call's state machine.
type Event interface{ event() }

// Arrive starts the call.
type Arrive struct{}

// Written means that the store has confirmed the last write.
type Written struct {
	Version int64
}

// Conflict means that the last write was rejected because the object has another version.
type Conflict struct {
	Exists  bool
	Version int64
	Record  Record
}

// WriteUncertain means that the last write got no response; it may have taken effect or still do so.
type WriteUncertain struct{}

// WriteRefused means that the last write did not take effect: retry budget spent, rate limit, or not sent.
type WriteRefused struct{}

// ReadResult is the current state of the object.
type ReadResult struct {
	Exists  bool
	Version int64
	Record  Record
}

// ReadFailed means that the object could not be read.
type ReadFailed struct{}

// NotSent means that no byte of the call was sent: the connection failed, or the deadline had passed.
type NotSent struct{}

// Answered is the complete response of the service.
type Answered struct {
	Outcome Outcome
}

// SendFailed means that the call may have been executed but its response is lost.
type SendFailed struct{}

// CheckDeadline makes the call check its deadline.
type CheckDeadline struct{}

func (Arrive) event()         {}
func (Written) event()        {}
func (Conflict) event()       {}
func (WriteUncertain) event() {}
func (WriteRefused) event()   {}
func (ReadResult) event()     {}
func (ReadFailed) event()     {}
func (NotSent) event()        {}
func (Answered) event()       {}
func (SendFailed) event()     {}
func (CheckDeadline) event()  {}

// Action is an instruction to the code that drives a state machine of this package.
type Action interface{ action() }

// Create writes the record if it is absent; report Written, Conflict, WriteUncertain or WriteRefused.
type Create struct {
	Name   string
	Record Record
}

// Update writes the record at a version; report Written, Conflict, WriteUncertain or WriteRefused.
type Update struct {
	Name    string
	Version int64
	Record  Record
}

// Read reads the record; report ReadResult or ReadFailed.
type Read struct {
	Name string
}

// Send sends the call once, without retries and not after Before; report NotSent, Answered or SendFailed.
type Send struct {
	Before time.Time
}

// Answer is the response to the caller; exactly one of Outcome and Refusal is set.
type Answer struct {
	Outcome  *Outcome
	Replayed bool
	Refusal  *refuser.Refusal
}

// Settle passes a final record that is not known to be stored to the Settler.
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

// maxTries bounds the attempts to claim a record that other writers keep changing.
const maxTries = 4

type phase int

const (
	phaseNew phase = iota
	// phaseClaiming: a write of state started is in progress.
	phaseClaiming
	// phaseReading: that write got no response, so the record is being read back.
	phaseReading
	phaseSending
	// phaseFinishing: a write of state done or not_run is in progress.
	phaseFinishing
	phaseEnded
)

// Call is the state machine of one attempt to execute a non-idempotent call.
type Call struct {
	request Request
	phase   phase
	version int64
	tries   int
	// claimUncertain means that a write of state started was not confirmed and may still take effect.
	claimUncertain bool
	final          Record
	// deferredRefusal is sent to the caller when the final write has ended or the deadline has passed.
	deferredRefusal *refuser.Refusal
	answered        bool
}

// NewCall returns the state machine of a call; its first event must be Arrive.
func NewCall(request Request) *Call {
	return &Call{
		request: request,
	}
}

// Ended reports whether the call has reached its final state.
func (c *Call) Ended() bool {
	return c.phase == phaseEnded
}

// Step processes an event and returns the actions to execute, in order.
func (c *Call) Step(event Event, now time.Time) []Action {
	if _, ok := event.(CheckDeadline); ok {
		return c.checkDeadline(now)
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
	if c.deadlinePassed(now) {
		return c.refuse(refuser.DeadlinePast, refuser.RanNo, "the deadline had passed on arrival: send a later one")
	}
	return c.create()
}

func (c *Call) stepClaiming(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Written:
		return c.sendClaimed(e.Version, now)
	case Conflict:
		return c.resolve(e.Exists, e.Version, e.Record, now)
	case WriteUncertain:
		c.claimUncertain = true
		c.phase = phaseReading
		return []Action{Read{
			Name: c.request.Name,
		}}
	case WriteRefused:
		return c.refuseStoreUnavailable()
	default:
		return nil
	}
}

func (c *Call) stepReading(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case ReadResult:
		return c.resolve(e.Exists, e.Version, e.Record, now)
	case ReadFailed:
		return c.refuseStoreUnavailable()
	default:
		return nil
	}
}

func (c *Call) stepSending(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case NotSent:
		// The caller is answered after not_run is stored, so that an immediate retry succeeds.
		c.deferredRefusal = c.notSentRefusal(now)
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
	case WriteUncertain, WriteRefused:
		return append([]Action{c.settle(c.final)}, c.end()...)
	default:
		return nil
	}
}

// checkDeadline answers a caller whose deadline has passed; a call that was sent continues, so that its outcome is recorded.
func (c *Call) checkDeadline(now time.Time) []Action {
	if !c.deadlinePassed(now) {
		return nil
	}
	switch c.phase {
	case phaseClaiming, phaseReading:
		c.claimUncertain = true
		return c.abandon(refuser.DeadlineExceeded, "the deadline passed before the call was sent")
	case phaseSending:
		return c.answer(Answer{
			Refusal: refusal(refuser.OutcomeUnknown, refuser.RanUnknown, "the call was sent and the deadline passed before its answer: it is not repeated"),
		})
	case phaseFinishing:
		return c.answerDeferred()
	default:
		return nil
	}
}

// resolve chooses the next step by the stored record.
func (c *Call) resolve(exists bool, version int64, r Record, now time.Time) []Action {
	switch {
	case !exists:
		return c.create()
	case r.Holder == c.request.Holder && r.Attempt == c.request.Attempt && r.State == StateStarted:
		return c.sendClaimed(version, now)
	case r.Digest != c.request.Digest:
		return c.refuse(refuser.KeyReused, refuser.RanNo, "another request used this idempotency key: use a new key")
	case r.State == StateDone:
		return c.replay(r)
	case r.State == StateNotRun:
		return c.reclaim(version)
	default:
		return c.refuse(refuser.OutcomeUnknown, refuser.RanUnknown, "another attempt with this idempotency key was started: it is not repeated")
	}
}

func (c *Call) create() []Action {
	if c.tries == maxTries {
		return c.refuseStoreUnavailable()
	}
	c.tries++
	c.phase = phaseClaiming
	return []Action{Create{
		Name:   c.request.Name,
		Record: c.record(StateStarted),
	}}
}

// reclaim claims a record in state not_run, conditional on its version.
func (c *Call) reclaim(version int64) []Action {
	if c.tries == maxTries {
		return c.refuseStoreUnavailable()
	}
	c.tries++
	c.phase = phaseClaiming
	return []Action{Update{
		Name:    c.request.Name,
		Version: version,
		Record:  c.record(StateStarted),
	}}
}

// sendClaimed sends the call, unless the deadline has passed since the claim was written, for example in a process pause.
func (c *Call) sendClaimed(version int64, now time.Time) []Action {
	c.version = version
	c.claimUncertain = false
	if c.deadlinePassed(now) {
		c.deferredRefusal = c.notSentRefusal(now)
		return append(c.answerDeferred(), c.finish(StateNotRun, nil)...)
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
	c.final.Outcome = storedOutcome(outcome)
	return []Action{Update{
		Name:    c.request.Name,
		Version: c.version,
		Record:  c.final,
	}}
}

// storedOutcome returns the outcome to store, without a body over MaxBodyBytes.
func storedOutcome(o *Outcome) *Outcome {
	if o == nil || len(o.Body) <= MaxBodyBytes {
		return o
	}
	short := *o
	short.Body = nil
	short.BodyDropped = true
	return &short
}

func (c *Call) notSentRefusal(now time.Time) *refuser.Refusal {
	if c.deadlinePassed(now) {
		return refusal(refuser.DeadlineExceeded, refuser.RanNo, "the deadline passed before the call was sent")
	}
	return refusal(refuser.TargetFailed, refuser.RanNo, "no connection to the service could be opened: try again")
}

func (c *Call) refuseStoreUnavailable() []Action {
	return c.abandon(refuser.StoreUnavailable, "this attempt was not sent because its call record could not be written: try again")
}

// abandon refuses a call that was not sent; the settler resolves a claim that may still take effect.
func (c *Call) abandon(reason refuser.Reason, message string) []Action {
	actions := c.refuse(reason, refuser.RanNo, message)
	if c.claimUncertain {
		actions = append(actions, c.settle(c.record(StateNotRun)))
	}
	return actions
}

func (c *Call) refuse(reason refuser.Reason, ran refuser.Ran, message string) []Action {
	return append(c.answer(Answer{
		Refusal: refusal(reason, ran, message),
	}), c.end()...)
}

// end ends the call and sends a deferred refusal.
func (c *Call) end() []Action {
	c.phase = phaseEnded
	return c.answerDeferred()
}

func (c *Call) answerDeferred() []Action {
	if c.deferredRefusal == nil {
		return nil
	}
	refused := c.deferredRefusal
	c.deferredRefusal = nil
	return c.answer(Answer{
		Refusal: refused,
	})
}

// answer returns the first answer and drops any later one.
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

func (c *Call) deadlinePassed(now time.Time) bool {
	return !now.Before(c.request.Deadline)
}

func refusal(reason refuser.Reason, ran refuser.Ran, message string) *refuser.Refusal {
	return &refuser.Refusal{
		Reason:  reason,
		Ran:     ran,
		Message: message,
	}
}
