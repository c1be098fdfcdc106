package controller

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

const (
	// engineTimeout bounds the short calls to engines.
	engineTimeout = time.Second
	// prefillWindow is the time in which the prefill of a full quota would be done on a warm engine; it bounds the
	// prompt tokens that wait for prefill on a target.
	prefillWindow = 4 * time.Second
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

func (c *Controller) fence(a elector.FenceTarget) {
	address := c.targets[a.Target].Address
	c.start(engineTimeout, func(ctx context.Context) message {
		return fenceAnswered{
			target: a.Target,
			epoch:  a.Epoch,
			err: c.options.Engines.Order(ctx, address, streamer.Order{
				Epoch: a.Epoch,
				Kind:  streamer.OrderFence,
			}),
		}
	})
}

func (c *Controller) setAuthority(a elector.SetAuthority, now time.Time) {
	owned, ok := c.owned[a.Target]
	if !ok {
		if a.Share == 0 {
			return
		}
		owned = allocator.New(c.allocatorOptions(a.Target))
		c.owned[a.Target] = owned
		c.exchanges.renewQuotas()
		c.listEngine(a.Target, now)
	}
	last := c.traffic.summary(a.Target)
	c.allocatorActions(a.Target, owned.Handle(allocator.AuthorityGiven{
		Share:     a.Share,
		Epoch:     a.Epoch,
		Until:     a.Until,
		KnownBoot: last.Boot,
		KnownWarm: float64(last.WarmPercent) / 100,
	}, now), now)
	if a.Share == 0 {
		c.lapsed[a.Target] = true
		c.orders.Disown(a.Target)
		return
	}
	delete(c.lapsed, a.Target)
	c.orderActions(c.orders.Own(a.Target, a.Epoch, now), now)
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

// holding returns the targets over which this instance has authority, sorted.
func (c *Controller) holding() []namer.Target {
	held := make([]namer.Target, 0, len(c.owned))
	for id := range c.owned {
		if !c.lapsed[id] {
			held = append(held, id)
		}
	}
	slices.Sort(held)
	return held
}

// toAllocator hands an event to the allocator of a target if this instance has one.
func (c *Controller) toAllocator(target namer.Target, event allocator.Event, now time.Time) {
	if owned, ok := c.owned[target]; ok {
		c.allocatorActions(target, owned.Handle(event, now), now)
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
			c.confirm(a, now)
		case allocator.GrantQuota:
			// Quotas are only granted in answer to QuotaAsked, whose caller takes them.
		}
	}
}

func (c *Controller) cancelAtEngine(target namer.Target, request namer.Request) {
	address := c.targets[target].Address
	c.start(engineTimeout, func(ctx context.Context) message {
		if err := c.options.Engines.Cancel(ctx, address, string(request)); err != nil {
			c.options.Log.Debug().Err(err).Msg("controller: cancel failed")
		}
		return nil
	})
}

func (c *Controller) confirm(a allocator.ConfirmRequests, now time.Time) {
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
			answer: c.traffic.unknown(request),
		}, now)
		return
	}
	address := c.holderAddress(a.Holder, now)
	c.start(peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.Confirm(ctx, address, request)
		return confirmAnswered{
			holder: a.Holder,
			target: a.Target,
			answer: answer,
			err:    err,
		}
	})
}

// quotasFor asks each allocator for the quota of a recipient.
func (c *Controller) quotasFor(to namer.Holder, number int64, now time.Time) []messenger.Quota {
	var quotas []messenger.Quota
	for _, id := range c.holding() {
		for _, a := range c.owned[id].Handle(allocator.QuotaAsked{
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

// grantOwnQuotas gives this instance its own share of the targets that it owns.
func (c *Controller) grantOwnQuotas(now time.Time) {
	c.takeDemand(messenger.Heartbeat{
		Sender:  c.options.Self,
		Demand:  c.demand(c.options.Self, now),
		Adopted: c.reserver.Adopted(c.options.Self),
	}, now)
	c.number++
	c.reserverActions(c.reserver.Handle(reserver.QuotasReceived{
		From:      c.options.Self,
		Number:    c.number,
		Requested: now,
		Quotas:    quotas(c.quotasFor(c.options.Self, c.number, now)),
	}, now), now)
	for _, id := range c.holding() {
		c.traffic.setSummary(summaryMessage(c.owned[id].Summary(now)), now)
	}
	c.traffic.roomChanged(now)
}

// listEngines reads the request lists of the owned targets, for reconciliation.
func (c *Controller) listEngines(now time.Time) {
	for id := range c.owned {
		c.listEngine(id, now)
	}
}

func (c *Controller) listEngine(id namer.Target, now time.Time) {
	address := c.targets[id].Address
	c.start(engineTimeout, func(ctx context.Context) message {
		list, err := c.options.Engines.Requests(ctx, address)
		return engineListed{
			target:    id,
			requested: now,
			list:      list,
			err:       err,
		}
	})
}

func (c *Controller) readLoads() {
	for id := range c.owned {
		address := c.targets[id].Address
		c.start(engineTimeout, func(ctx context.Context) message {
			load, err := c.options.Engines.Load(ctx, address)
			return engineLoaded{
				target: id,
				load:   load,
				err:    err,
			}
		})
	}
}

// readCaches reads the prefix cache events of the owned targets.
func (c *Controller) readCaches() {
	for _, id := range c.holding() {
		address := c.targets[id].Address
		after := c.traffic.cacheAfter(id)
		c.start(engineTimeout, func(ctx context.Context) message {
			events, err := c.options.Engines.CacheEvents(ctx, address, after)
			return cacheRead{
				target: id,
				events: events,
				err:    err,
			}
		})
	}
}

func (c *Controller) handleEngine(m message, now time.Time) {
	switch m := m.(type) {
	case engineListed:
		c.takeEngineList(m, now)
	case engineLoaded:
		c.takeLoad(m, now)
	case cacheRead:
		if m.err == nil {
			c.traffic.takeCache(m.target, m.events, now)
		}
	case fenceAnswered:
		c.takeFence(m, now)
	}
}

func (c *Controller) takeEngineList(m engineListed, now time.Time) {
	if m.err != nil {
		return
	}
	running := make([]allocator.Running, 0, len(m.list.Requests))
	for _, r := range m.list.Requests {
		running = append(running, allocator.Running{
			Request:        namer.Request(r.RequestID),
			Holder:         namer.ParseHolder(r.Holder),
			Epoch:          r.Epoch,
			ReservedTokens: r.ReservedTokens,
			ProducedTokens: r.ProducedTokens,
		})
	}
	c.toAllocator(m.target, allocator.Listed{
		Boot:      shortBoot(m.list.BootID),
		Requested: m.requested,
		Requests:  running,
	}, now)
	c.sawBoot(m.target, shortBoot(m.list.BootID), now)
	c.loseHolders(m.target, running, now)
}

// loseHolders tells the allocator which holders of running requests are confirmed gone.
func (c *Controller) loseHolders(target namer.Target, running []allocator.Running, now time.Time) {
	told := map[namer.Holder]bool{}
	for _, r := range running {
		if told[r.Holder] || r.Holder == c.options.Self {
			continue
		}
		told[r.Holder] = true
		if c.tracker.ConfirmedGone(r.Holder, now) {
			c.toAllocator(target, allocator.HolderLost{
				Holder: r.Holder,
			}, now)
		}
	}
}

func (c *Controller) takeLoad(m engineLoaded, now time.Time) {
	if m.err != nil {
		return
	}
	c.toAllocator(m.target, allocator.LoadReported{
		Boot:        shortBoot(m.load.BootID),
		Age:         time.Duration(m.load.AgeMS) * time.Millisecond,
		Cold:        m.load.Cold,
		QueueTokens: m.load.QueueTokens,
	}, now)
	c.orderActions(c.orders.ObserveBoot(m.target, m.load.BootID, now), now)
	c.sawBoot(m.target, shortBoot(m.load.BootID), now)
}

// shortBoot shortens the boot id of an engine for messages: 64 bits of a hash tell one boot from the next.
func shortBoot(id string) string {
	if id == "" {
		return ""
	}
	digest := sha256.Sum256([]byte(id))
	return base64.RawURLEncoding.EncodeToString(digest[:8])
}

// sawBoot notes the boot id that an engine reported; a new one means that its memory is empty.
func (c *Controller) sawBoot(target namer.Target, boot string, now time.Time) {
	if boot == "" || c.boots[target] == boot || c.pastBoots[boot] {
		return
	}
	known := c.boots[target] != ""
	if known {
		// Answers can arrive out of order: one from before the restart must not undo what came after it.
		c.pastBoots[c.boots[target]] = true
	}
	c.boots[target] = boot
	c.electorActions(c.elector.Handle(elector.BootSeen{
		Target: target,
		Boot:   boot,
	}, now), now)
	if !known {
		return
	}
	c.options.Log.Warn().Str("target", string(target)).Msg("controller: target restarted")
	c.traffic.restarted(target)
	c.reserverActions(c.reserver.Handle(reserver.TargetRestarted{
		Target: target,
		Boot:   boot,
	}, now), now)
}

// staleEpoch notes that an engine rejected an epoch of this instance.
func (c *Controller) staleEpoch(target namer.Target, epoch namer.Epoch, now time.Time) {
	c.electorActions(c.elector.Handle(elector.EpochRejected{
		Target: target,
		Epoch:  epoch,
	}, now), now)
}

func (c *Controller) takeFence(m fenceAnswered, now time.Time) {
	var engine *streamer.EngineError
	refused := errors.As(m.err, &engine) && engine.Status == http.StatusConflict
	if m.err != nil && !refused {
		// An engine that gave no answer is asked again by the elector.
		return
	}
	c.electorActions(c.elector.Handle(elector.FenceAnswered{
		Target:   m.target,
		Epoch:    m.epoch,
		Boot:     c.boots[m.target],
		Accepted: m.err == nil,
	}, now), now)
}

// reserveKey identifies a reservation that a peer waits for.
type reserveKey struct {
	request namer.Request
	target  namer.Target
}

func (c *Controller) takeReserve(m reserveHeard, now time.Time) {
	owned, ok := c.owned[m.request.Target]
	if !ok {
		m.reply <- messenger.ReserveAnswer{
			Reason: "not_owner",
		}
		return
	}
	c.traffic.waiting[reserveKey{
		request: m.request.Request,
		target:  m.request.Target,
	}] = m.reply
	c.allocatorActions(m.request.Target, owned.Handle(allocator.ReserveAsked{
		From:          m.request.Sender,
		Request:       m.request.Request,
		Tokens:        m.request.Tokens,
		PrefillTokens: m.request.PrefillTokens,
		Wait:          time.Duration(m.request.WaitMS) * time.Millisecond,
	}, now), now)
	c.shrinkQuotas(m.request.Target, now)
}

// shrinkQuotas makes the smaller quotas beside a reservation that waits for memory known with the next heartbeats.
func (c *Controller) shrinkQuotas(target namer.Target, now time.Time) {
	if c.owned[target].Summary(now).WaitingForReserve > 0 {
		c.exchanges.renewQuotas()
	}
}

// answerReserve hands an allocator's decision to the peer that waits for it, or to the own reserver.
func (c *Controller) answerReserve(request namer.Request, target namer.Target, answer messenger.ReserveAnswer, now time.Time) {
	key := reserveKey{
		request: request,
		target:  target,
	}
	if reply, ok := c.traffic.waiting[key]; ok {
		delete(c.traffic.waiting, key)
		reply <- answer
		return
	}
	c.ownReserveAnswered(request, target, answer, now)
}

func (c *Controller) ownReserveAnswered(request namer.Request, target namer.Target, answer messenger.ReserveAnswer, now time.Time) {
	owner, _ := c.elector.Owner(target, now)
	c.reserverActions(c.reserver.Handle(reserver.OwnerAnswered{
		Owner:   owner,
		Request: request,
		Target:  target,
		Granted: answer.Granted,
		Epoch:   answer.Epoch,
		Boot:    answer.Boot,
		Valid:   time.Duration(answer.ValidMS) * time.Millisecond,
		Reason:  answer.Reason,
	}, now), now)
}

func (c *Controller) takeReserveAnswer(m reserveAnswered, now time.Time) {
	if m.err == nil {
		c.ownReserveAnswered(m.request.Request, m.request.Target, m.answer, now)
		return
	}
	c.reserverActions(c.reserver.Handle(reserver.OwnerAnswered{
		Request: m.request.Request,
		Target:  m.request.Target,
		Unknown: true,
	}, now), now)
}

func (c *Controller) reserverActions(actions []reserver.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case reserver.Granted:
			c.traffic.granted(a, now)
		case reserver.Refused:
			c.traffic.reserveRefused(a, now)
		case reserver.AskOwner:
			c.askOwner(a, now)
		case reserver.ReleaseAtOwner:
			c.releaseAtOwner(a, now)
		case reserver.Lost:
			c.options.Log.Info().Str("target", string(a.Target)).Str("request", string(a.Request)).Msg("reserver: target restarted under a request")
		case reserver.StartAllowed, reserver.StartDenied:
			// Start is only asked by admission, which takes its answer.
		}
	}
}

func (c *Controller) askOwner(a reserver.AskOwner, now time.Time) {
	request := messenger.ReserveRequest{
		Sender:        c.options.Self,
		Target:        a.Target,
		Request:       a.Request,
		Tokens:        a.Tokens,
		PrefillTokens: a.PrefillTokens,
		WaitMS:        a.Wait.Milliseconds(),
	}
	if a.Owner == c.options.Self {
		c.toAllocator(a.Target, allocator.ReserveAsked{
			From:          c.options.Self,
			Request:       a.Request,
			Tokens:        a.Tokens,
			PrefillTokens: a.PrefillTokens,
			Wait:          a.Wait,
		}, now)
		if c.owned[a.Target] != nil {
			c.shrinkQuotas(a.Target, now)
		}
		return
	}
	address := c.holderAddress(a.Owner, now)
	c.start(a.Wait+peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.Reserve(ctx, address, request)
		return reserveAnswered{
			request: request,
			answer:  answer,
			err:     err,
		}
	})
}

func (c *Controller) releaseAtOwner(a reserver.ReleaseAtOwner, now time.Time) {
	if a.Owner == c.options.Self {
		c.toAllocator(a.Target, allocator.Released{
			From:    c.options.Self,
			Request: a.Request,
		}, now)
		return
	}
	address := c.holderAddress(a.Owner, now)
	c.start(peerTimeout, func(ctx context.Context) message {
		err := c.options.Peers.Release(ctx, address, messenger.ReleaseRequest{
			Sender:  c.options.Self,
			Target:  a.Target,
			Request: a.Request,
		})
		if err != nil {
			c.options.Log.Debug().Err(err).Msg("controller: release not answered")
		}
		return nil
	})
}
