package controller

import (
	"context"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

func (c *Controller) electorActions(actions []elector.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case elector.WriteTable:
			c.writeTable(a)
		case elector.ReadTable:
			c.readTable(now)
		case elector.FenceTarget:
			c.fence(a)
		case elector.SetAuthority:
			c.setAuthority(a, now)
		case elector.HandoverDone:
			c.table.handedOver = true
		}
	}
}

func (c *Controller) setAuthority(a elector.SetAuthority, now time.Time) {
	targetAllocator, ok := c.allocators[a.Target]
	if !ok {
		if a.Share == 0 {
			return
		}
		targetAllocator = allocator.New(c.allocatorOptions(a.Target))
		c.allocators[a.Target] = targetAllocator
		c.peerStates.markQuotasDue()
		c.readTargetRequests(a.Target, now)
	}
	last := c.traffic.summary(a.Target)
	c.allocatorActions(a.Target, targetAllocator.Handle(allocator.AuthorityGiven{
		Share:     a.Share,
		Epoch:     a.Epoch,
		Until:     a.Until,
		KnownBoot: last.Boot,
		KnownWarm: float64(last.WarmPercent) / 100,
	}, now), now)
	if a.Share == 0 {
		c.lapsedTargets[a.Target] = true
		c.orders.RemoveTarget(a.Target)
		return
	}
	delete(c.lapsedTargets, a.Target)
	c.orderActions(c.orders.AddTarget(a.Target, a.Epoch, now), now)
}

func (c *Controller) allocatorOptions(id namer.Target) allocator.Options {
	t := c.targets[id]
	return allocator.Options{
		Target:         id,
		CapacityTokens: t.CapacityTokens,
		PrefillTokens:  int(t.PrefillRate * prefillWindow.Seconds()),
		PrefillRate:    t.PrefillRate,
		Fencing:        t.Fencing,
	}
}

// ownedTargets returns the targets over which this instance has authority, sorted.
func (c *Controller) ownedTargets() []namer.Target {
	ids := make([]namer.Target, 0, len(c.allocators))
	for id := range c.allocators {
		if !c.lapsedTargets[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// toAllocator passes an event to the allocator of a target if this instance has one.
func (c *Controller) toAllocator(target namer.Target, event allocator.Event, now time.Time) {
	if targetAllocator, ok := c.allocators[target]; ok {
		c.allocatorActions(target, targetAllocator.Handle(event, now), now)
	}
}

func (c *Controller) allocatorActions(target namer.Target, actions []allocator.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case allocator.GrantReservation:
			c.answerReserve(a.Request, a.Target, messenger.ReserveAnswer{
				Granted: true,
				Epoch:   a.Epoch,
				Boot:    a.Boot,
				ValidMS: a.Valid.Milliseconds(),
			}, now)
		case allocator.DenyReservation:
			c.answerReserve(a.Request, a.Target, messenger.ReserveAnswer{
				Reason: a.Reason,
			}, now)
		case allocator.CancelRequest:
			c.options.Log.Info().Str("target", string(a.Target)).Str("request", string(a.Request)).Str("reason", string(a.Reason)).Msg("allocator: request cancelled at the engine")
			c.cancelAtEngine(target, a.Request)
		case allocator.ConfirmRequests:
			c.confirmRequests(a, now)
		case allocator.GrantQuota:
			// Returned only for allocator.QuotaAsked, whose caller quotasFor handles it.
		}
	}
}

func (c *Controller) confirmRequests(a allocator.ConfirmRequests, now time.Time) {
	request := messenger.ConfirmRequest{
		Sender:   c.options.Self,
		Holder:   a.Holder,
		Target:   a.Target,
		Requests: a.Requests,
	}
	if a.Holder == c.options.Self {
		c.handlePeer(confirmAnswered{
			holder: a.Holder,
			target: a.Target,
			answer: c.traffic.unknownRequests(request),
		}, now)
		return
	}
	address := c.holderAddress(a.Holder, now)
	c.startIO(peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.Confirm(ctx, address, request)
		return confirmAnswered{
			holder: a.Holder,
			target: a.Target,
			answer: answer,
			err:    err,
		}
	})
}

// quotasFor asks the allocators of the owned targets for the quotas of a recipient.
func (c *Controller) quotasFor(to namer.Holder, number int64, now time.Time) []messenger.Quota {
	var quotas []messenger.Quota
	for _, id := range c.ownedTargets() {
		for _, a := range c.allocators[id].Handle(allocator.QuotaAsked{
			To:     to,
			Number: number,
		}, now) {
			grant, ok := a.(allocator.GrantQuota)
			if !ok {
				c.allocatorActions(id, []allocator.Action{a}, now)
				continue
			}
			quota := messenger.Quota{
				Target:        grant.Target,
				Epoch:         grant.Epoch,
				Boot:          grant.Boot,
				MemoryTokens:  grant.MemoryTokens,
				PrefillTokens: grant.PrefillTokens,
			}
			if grant.Valid != allocator.QuotaValid {
				quota.ValidMS = grant.Valid.Milliseconds()
			}
			quotas = append(quotas, quota)
		}
	}
	return quotas
}

// grantOwnQuotas grants this instance its own quotas of the targets that it owns.
func (c *Controller) grantOwnQuotas(now time.Time) {
	c.applyDemand(messenger.Heartbeat{
		Sender:  c.options.Self,
		Demand:  c.demand(c.options.Self, now),
		Adopted: c.reserver.LastAppliedMessage(c.options.Self),
	}, now)
	c.number++
	c.reserverActions(c.reserver.Handle(reserver.QuotasReceived{
		From:      c.options.Self,
		Number:    c.number,
		Requested: now,
		Quotas:    reserverQuotas(c.quotasFor(c.options.Self, c.number, now)),
	}, now), now)
	for _, id := range c.ownedTargets() {
		c.traffic.setSummary(summaryMessage(c.allocators[id].Summary(now)), now)
	}
	c.traffic.retryQueues(now)
}
