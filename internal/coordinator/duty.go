package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/tallier"
	"bergamothollow.example/bergamothollow/pkg/warden"
)

// Act identifies the instance that makes a call for a duty. The fence increases with each change of the holder, and no two processes
// have the same one.
type Act struct {
	Holder namer.Instance
	Fence  int64
}

// Duties are the calls to the platform that one instance makes at a time. They fail with a DutyError.
type Duties interface {
	// ReportUsage reports how many requests of each customer engines began in a window.
	ReportUsage(ctx context.Context, act Act, window int64, counts map[namer.Customer]int) error
	// OrderEngines sets the number of engines of a service in a data centre.
	OrderEngines(ctx context.Context, act Act, service namer.Service, dataCentre namer.DataCentre, count int) error
}

// DutyError means that a call for a duty wasn't confirmed.
type DutyError struct {
	// Refused is set if the platform answered that it didn't accept the call.
	Refused bool
	// MayHaveRun is set if the platform may have accepted the call.
	MayHaveRun bool
	Cause      error
}

// Error says whether the call may have been accepted.
func (e *DutyError) Error() string {
	if e.MayHaveRun {
		return fmt.Sprintf("the call may have been accepted: %v", e.Cause)
	}
	return fmt.Sprintf("the call was not accepted: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *DutyError) Unwrap() error {
	return e.Cause
}

// DutyOptions are the duties that the platform asks for and how they are done.
type DutyOptions struct {
	Calls Duties
	// Usage is set if the platform asks for usage reports, and Engines if it asks for orders of engines.
	Usage   bool
	Engines bool
	// CallsPerSecond is how many calls the platform accepts from all instances together.
	CallsPerSecond float64
	// Lease is how long the duties stay with a holder that doesn't renew them.
	Lease time.Duration
	// Elapsed reads a clock that never jumps and counts the time for which the machine is suspended.
	Elapsed func() time.Duration
	// Window is the length of a window of the usage reports, and Delay how long after its end a report is due.
	Window time.Duration
	Delay  time.Duration
}

// turn allows calls for duties until a time of the clock DutyOptions.Elapsed.
type turn struct {
	act   Act
	until time.Duration
}

// dutyCallEnded carries the result of a call for a duty to the control goroutine.
type dutyCallEnded struct {
	finish func(now time.Time, err error)
	err    error
}

func (dutyCallEnded) message() {}

// quitDuties gives the duties up for good.
type quitDuties struct{}

func (quitDuties) message() {}

// QuitDuties gives the duties up, if this instance holds them, so that another one needn't wait for the end of the lease. It returns at
// once; the write takes a round trip to the store.
func (c *Coordinator) QuitDuties() {
	if c.options.Duties != nil {
		c.messages <- quitDuties{}
	}
}

// errTurnOver means that a call wasn't made since the duties may have gone to another instance.
var errTurnOver = errors.New("the duties may be with another instance")

// duties is the state of the duties of this instance.
type duties struct {
	warden  *warden.Warden
	tallier *tallier.Tallier
	clock   tallier.Clock
	// tokens are the calls that may be made now; refilled is when they were last counted.
	tokens   float64
	refilled time.Duration
	// quitting is set once the process is about to end.
	quitting bool
	// calls is the number of calls on their way.
	calls int
	// reporting is set while a report is on its way, and nextReport is when the next may be sent.
	reporting  bool
	nextReport time.Time
	// leadingSince is when this instance began to lead, and lost when followers were lost that haven't joined again.
	leadingSince time.Time
	lost         map[string]time.Time
	storedBytes  int
	// firstOpen is the first window that no instance had closed when this one first saw the present era of the store.
	firstOpen int64
}

// newDuties returns the state at the start.
func newDuties(o Options) duties {
	d := duties{
		lost: map[string]time.Time{},
	}
	if o.Duties != nil {
		d.warden = warden.New(warden.SettingsFor(o.Duties.Lease), o.Self.Name)
		d.tallier = tallier.New(tallier.SettingsFor(o.Duties.Window, o.Duties.Delay), o.Self.Name)
	}
	return d
}

// tendDuties does the duties that this instance holds; it is part of the upkeep.
func (c *Coordinator) tendDuties(ctx context.Context, now time.Time) {
	o := c.options.Duties
	if o == nil {
		return
	}
	if o.Usage {
		c.trueTime()
		c.compareClocks()
		c.sendCounts()
	}
	c.holdDuties(ctx, now)
	c.recordDuties()
	t, holds := c.dutyTurn()
	if !holds {
		return
	}
	if o.Usage {
		c.tendUsage(ctx, now, t)
	}
	if o.Engines {
		c.tendEngines(ctx, now, t)
	}
}

// dutyTurn reports whether this instance may make calls for duties now, and with which fence.
func (c *Coordinator) dutyTurn() (turn, bool) {
	fence, until, holds := c.duties.warden.Turn(c.options.Duties.Elapsed())
	return turn{
		act: Act{
			Holder: c.options.Self.Instance,
			Fence:  fence,
		},
		until: until,
	}, holds
}

// callDuty makes a call for a duty and has the control goroutine call finish with its result. It reports false, and makes no call, if the
// calls of this second are used up or the turn is over.
func (c *Coordinator) callDuty(
	ctx context.Context, t turn, call func(ctx context.Context, act Act) error, finish func(now time.Time, err error),
) bool {
	o, d := c.options.Duties, &c.duties
	at := o.Elapsed()
	d.tokens = min(max(1, o.CallsPerSecond/2), d.tokens+(at-d.refilled).Seconds()*o.CallsPerSecond/2)
	d.refilled = at
	if d.tokens < 1 || at >= t.until {
		return false
	}
	d.tokens--
	d.calls++
	go func() {
		c.send(ctx, dutyCallEnded{
			finish: finish,
			err:    c.callInTurn(ctx, t, call),
		})
	}()
	return true
}

// callInTurn makes the call unless the turn is over, and gives up when it ends.
func (c *Coordinator) callInTurn(ctx context.Context, t turn, call func(ctx context.Context, act Act) error) error {
	left := t.until - c.options.Duties.Elapsed()
	if left <= 0 {
		return &DutyError{
			Cause: errTurnOver,
		}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return call(ctx, t.act)
}
