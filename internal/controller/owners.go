package controller

import (
	"context"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

// reserveKey identifies a reservation request for which a peer awaits the decision.
type reserveKey struct {
	request namer.Request
	target  namer.Target
}

func (c *Controller) handleReserve(m reserveReceived, now time.Time) {
	targetAllocator, ok := c.allocators[m.request.Target]
	if !ok {
		m.reply <- messenger.ReserveAnswer{
			Reason: "not_owner",
		}
		return
	}
	c.traffic.pendingReserves[reserveKey{
		request: m.request.Request,
		target:  m.request.Target,
	}] = m.reply
	c.allocatorActions(m.request.Target, targetAllocator.Handle(allocator.ReserveAsked{
		From:          m.request.Sender,
		Request:       m.request.Request,
		Tokens:        m.request.Tokens,
		PrefillTokens: m.request.PrefillTokens,
		Wait:          time.Duration(m.request.WaitMS) * time.Millisecond,
	}, now), now)
	c.markQuotasDueIfWaiting(m.request.Target, now)
}

// markQuotasDueIfWaiting makes new quotas due if a reservation waits for the target's memory: quotas are smaller meanwhile,
// and peers learn of it with the next heartbeats.
func (c *Controller) markQuotasDueIfWaiting(target namer.Target, now time.Time) {
	if c.allocators[target].Summary(now).WaitingReservations > 0 {
		c.peerStates.markQuotasDue()
	}
}

// answerReserve passes an allocator's decision to the waiting peer, or to this instance's reserver if no peer waits.
func (c *Controller) answerReserve(request namer.Request, target namer.Target, answer messenger.ReserveAnswer, now time.Time) {
	key := reserveKey{
		request: request,
		target:  target,
	}
	if reply, ok := c.traffic.pendingReserves[key]; ok {
		delete(c.traffic.pendingReserves, key)
		reply <- answer
		return
	}
	c.deliverReserveAnswer(request, target, answer, now)
}

func (c *Controller) deliverReserveAnswer(request namer.Request, target namer.Target, answer messenger.ReserveAnswer, now time.Time) {
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

func (c *Controller) handleReserveAnswer(m reserveAnswered, now time.Time) {
	if m.err == nil {
		c.deliverReserveAnswer(m.request.Request, m.request.Target, m.answer, now)
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
			c.traffic.startAttempt(a, now)
		case reserver.Refused:
			c.traffic.handleReserveRefused(a, now)
		case reserver.AskOwner:
			c.askOwner(a, now)
		case reserver.ReleaseAtOwner:
			c.releaseAtOwner(a, now)
		case reserver.TargetLost:
			c.options.Log.Info().Str("target", string(a.Target)).Str("request", string(a.Request)).Msg("reserver: target restarted during a request")
		case reserver.StartAllowed, reserver.StartDenied:
			// Returned only for reserver.Start, whose caller mayStart handles them.
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
		if c.allocators[a.Target] != nil {
			c.markQuotasDueIfWaiting(a.Target, now)
		}
		return
	}
	address := c.holderAddress(a.Owner, now)
	c.startIO(a.Wait+peerTimeout, func(ctx context.Context) message {
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
	c.startIO(peerTimeout, func(ctx context.Context) message {
		err := c.options.Peers.Release(ctx, address, messenger.ReleaseRequest{
			Sender:  c.options.Self,
			Target:  a.Target,
			Request: a.Request,
		})
		if err != nil {
			c.options.Log.Debug().Err(err).Msg("controller: owner did not answer the release of a reservation")
		}
		return nil
	})
}
