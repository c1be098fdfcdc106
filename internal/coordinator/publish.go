package coordinator

import (
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// publish gives the present state to traffic and to the parts that choose targets.
func (c *Coordinator) publish() {
	view := &View{
		Rules:     c.rules,
		Catalogue: c.catalogue.Catalogue(),
		Members:   c.listMembers(),
		Leaving:   c.leaving,
	}
	view.Instances = c.countInstances(len(view.Members))
	c.view.Store(view)
	c.untold = true
	if c.rules == nil {
		return
	}
	now := c.options.Clock.Now()
	c.unannounced = false
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
		if c.convener.Role() == convener.Leading && c.large() && now.Sub(c.listed[t.ID]) < announceTime {
			// Followers that are fed do not know it yet, and would send nothing there.
			c.unannounced = true
			continue
		}
		engine := engineOf(&t, service)
		if c.alone() {
			// The others may be alone too, and nobody counts for all.
			engine.ColdRate /= float64(view.Instances)
		}
		engines = append(engines, engine)
	}
	c.scheduler.SetEngines(engines)
	c.balancer.SetTargets(plain)
}

// announceTime is how long after the leader a follower that it feeds knows a new target: the feeding's interval and two rounds
// of upkeep.
const announceTime = feedInterval + 2*upkeepInterval

// assumedInstances is the size of the deployment before a leader has named its members. All start at the same moment after
// a loss of power, and each must keep to its part of what they share.
const assumedInstances = 64

func (c *Coordinator) countInstances(members int) int {
	if len(c.members) == 0 && c.alone() {
		return assumedInstances
	}
	return max(members, len(c.members))
}

// alone reports whether this instance's own scheduler decides for this instance only.
func (c *Coordinator) alone() bool {
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
