package coordinator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/sizer"
)

// sizingInterval is the interval of decisions on the number of engines; an engine takes seconds to start.
const sizingInterval = 200 * time.Millisecond

// sizing is the state of the duty to order engines. It is derived from what this instance observes and starts anew with each turn.
type sizing struct {
	fence  int64
	next   time.Time
	logged time.Time
	sizers map[namer.Service]*sizer.Sizer
}

// tendEngines orders engines; it is called at each upkeep of the instance that holds the duties. Only a leader knows what callers ask of
// all instances. While the store is lost, nobody knows which engines there are, and no order is due.
func (c *Coordinator) tendEngines(ctx context.Context, now time.Time, t turn) {
	if c.convener.Role() != convener.Leading || c.rules == nil ||
		c.storeState.StoreLost && !c.storeState.Covered || now.Before(c.sizing.next) {
		return
	}
	if c.sizing.fence != t.act.Fence {
		c.sizing = sizing{
			fence:  t.act.Fence,
			sizers: map[namer.Service]*sizer.Sizer{},
		}
	}
	c.sizing.next = now.Add(sizingInterval)
	logs := now.Sub(c.sizing.logged) >= loadInterval
	if logs {
		c.sizing.logged = now
	}
	for i := range c.rules.Rules.Services {
		if s := &c.rules.Rules.Services[i]; s.Scaling != nil && s.Engine != nil {
			c.sizeService(ctx, now, t, s, logs)
		}
	}
}

// sizeService decides on the number of engines of one service.
func (c *Coordinator) sizeService(ctx context.Context, now time.Time, t turn, service *matcher.Service, logs bool) {
	centres, slots := c.enginesOf(service.Name)
	decider := c.sizing.sizers[service.Name]
	if decider == nil {
		decider = sizer.New(c.options.Sizer, *service.Scaling, slots)
		decider.Begin(now)
		c.sizing.sizers[service.Name] = decider
	}
	decider.SetScaling(*service.Scaling, slots)
	demand := c.scheduler.Demand(service.Name)
	decider.Observe(now, sizer.Demand{
		Offered:  demand.Offered,
		Waiting:  demand.Waiting,
		Requests: demand.Running + demand.Queued,
	})
	orders, wanted := decider.Decide(now, centres)
	present := 0
	for _, centre := range centres {
		if !centre.Evacuated {
			present += centre.Present
		}
	}
	if c.options.Sizing != nil {
		c.options.Sizing.recordEngines(service.Name, present, wanted)
	}
	if logs {
		c.options.Log.Info().Str("service", string(service.Name)).Int("present", present).Int("wanted", wanted).
			Float64("offered", decider.Rate()).Dur("waiting", demand.Waiting).Int("running", demand.Running).
			Int("queued", demand.Queued).Msg("sizing: engines")
	}
	for _, o := range orders {
		c.orderEngines(ctx, t, service.Name, decider, o)
	}
}

// enginesOf counts the engines of a service in each data centre, and returns the slots of one.
func (c *Coordinator) enginesOf(service namer.Service) (centres []sizer.Centre, slots int) {
	catalogue := c.View().Catalogue
	found := map[namer.DataCentre]sizer.Centre{}
	for _, target := range catalogue.Targets {
		if target.Service != service {
			continue
		}
		centre := found[target.DataCentre]
		centre.DataCentre = target.DataCentre
		centre.Evacuated = catalogue.Evacuated[target.DataCentre]
		if target.Leaving {
			centre.Leaving++
		} else {
			centre.Present++
			slots = max(slots, target.Slots)
		}
		found[target.DataCentre] = centre
	}
	for _, centre := range found {
		centres = append(centres, centre)
	}
	slices.SortFunc(centres, func(a, b sizer.Centre) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return centres, slots
}

// orderEngines sends an order. One that isn't sent, since the calls of this second are used up, counts as refused.
func (c *Coordinator) orderEngines(ctx context.Context, t turn, service namer.Service, decider *sizer.Sizer, o sizer.Order) {
	call := func(ctx context.Context, act Act) error {
		return c.options.Duties.Calls.OrderEngines(ctx, act, service, o.DataCentre, o.Count)
	}
	finish := func(_ time.Time, err error) {
		outcome := orderOutcome(err)
		decider.Answered(o.DataCentre, o.Count, outcome)
		c.recordOrder(service, t, o, outcome, err)
	}
	if !c.callDuty(ctx, t, call, finish) {
		decider.Answered(o.DataCentre, o.Count, sizer.Refused)
		c.recordOrder(service, t, o, sizer.Refused, nil)
	}
}

func orderOutcome(err error) sizer.Outcome {
	var failed *DutyError
	switch {
	case err == nil:
		return sizer.Accepted
	case errors.As(err, &failed) && !failed.MayHaveRun:
		return sizer.Refused
	default:
		return sizer.Lost
	}
}

func (c *Coordinator) recordOrder(service namer.Service, t turn, o sizer.Order, outcome sizer.Outcome, err error) {
	if c.options.Sizing != nil {
		c.options.Sizing.recordOrder(o.Reason, outcome)
	}
	c.options.Log.Info().Str("service", string(service)).Str("data_centre", string(o.DataCentre)).Int("count", o.Count).
		Int("present", o.Present).Int("wanted", o.Wanted).Str("reason", string(o.Reason)).Str("outcome", string(outcome)).
		Int64("fence", t.act.Fence).Err(err).Msg("sizing: order")
}

// logInvalidScaling names the services whose number of engines stays fixed, since its limits can't be read.
func (c *Coordinator) logInvalidScaling() {
	for _, s := range c.rules.Rules.Services {
		if s.InvalidScaling {
			c.options.Log.Warn().Str("service", string(s.Name)).Int64("version", c.rules.Rules.Version).
				Msg("sizing: limits of the number of engines ignored")
		}
	}
}
