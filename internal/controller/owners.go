package controller

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

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
