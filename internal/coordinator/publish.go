package coordinator

import (
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// publish updates the view for traffic goroutines, and the targets of the scheduler and the balancer.
func (c *Coordinator) publish() {
	view := &View{
		Rules:     c.rules,
		Catalogue: c.catalogue.Catalogue(),
		Members:   c.listMembers(),
		Crowded:   c.crowded,
		Leaving:   c.leaving,
		Informed:  c.isInformed(c.options.Clock.Now()),
		Began:     c.began,
		StoreLost: c.storeLost(),
		StoreEra:  c.era - 1,
		Isolated:  c.isolatedParts(),

		RulesRetained: c.rulesRetained,
	}
	view.Instances = c.countInstances(len(view.Members))
	c.view.Store(view)
	c.announceInformed(view)
	c.membersChanged = true
	if c.rules == nil {
		return
	}
	now := c.options.Clock.Now()
	c.hasUnannounced = false
	var engines []scheduler.Engine
	var plain []balancer.Target
	for _, t := range view.Catalogue.Targets {
		service := c.rules.Service(t.Service)
		if service == nil || !view.Catalogue.Usable(t.ID) {
			continue
		}
		if service.Engine == nil {
			plain = append(plain, plainTarget(&t))
			continue
		}
		if c.convener.Role() == convener.Leading && c.hasFedFollowers() && now.Sub(c.firstListed[t.ID]) < announceDelay {
			// Followers that receive changes from the leader don't know the target yet and would reject placements on it.
			c.hasUnannounced = true
			continue
		}
		engine := engineOf(&t, service)
		if c.schedulesAlone() {
			// Other instances may schedule alone too, so each takes an equal share of the rate.
			engine.ColdRate /= float64(view.Instances)
		}
		engines = append(engines, engine)
	}
	c.scheduler.SetEngines(engines)
	c.engines = len(engines)
	if c.schedulesAlone() && len(engines) > 0 {
		c.engines = max(1, len(engines)/max(1, view.Instances))
	}
	c.balancer.SetTargets(plain)
}

// announceDelay is the maximum delay until a follower learns of a new target from its leader: the feed interval and two
// rounds of upkeep.
const announceDelay = feedInterval + 2*upkeepInterval

// assumedInstances is the assumed number of instances until a leader has announced its members. After a power loss all
// instances start at once, and each must use only its share of common limits.
const assumedInstances = 64

// countInstances returns the number of instances with which this one shares common limits: those that callers use, or all if this
// one isn't among them.
func (c *Coordinator) countInstances(members int) int {
	switch {
	case len(c.members) == 0 && c.schedulesAlone():
		return assumedInstances
	case c.convener.Role() != convener.Leading && len(c.members) > 0 && !c.listed():
		return max(members, len(c.members), c.instances)
	default:
		return max(members, len(c.members))
	}
}

// schedulesAlone reports whether this instance's scheduler places the work of this instance only.
func (c *Coordinator) schedulesAlone() bool {
	switch c.convener.Role() {
	case convener.Following:
		return false
	case convener.Leading:
		return len(c.followers) == 0
	default:
		return true
	}
}

func plainTarget(t *cataloguer.Target) balancer.Target {
	return balancer.Target{
		ID:         t.ID,
		Service:    t.Service,
		Address:    t.Address,
		DataCentre: t.DataCentre,
		Slots:      t.Slots,
		Started:    t.Started,
	}
}

func engineOf(t *cataloguer.Target, service *matcher.Service) scheduler.Engine {
	return scheduler.Engine{
		ID:         t.ID,
		Service:    t.Service,
		Address:    t.Address,
		DataCentre: t.DataCentre,
		Slots:      t.Slots,
		Started:    t.Started,
		Speed:      *service.Engine,
		ColdUntil:  t.ColdUntil,
		ColdRate:   service.ColdRate,
	}
}
