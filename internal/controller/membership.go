package controller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/elector"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// nearest returns the other data centres, nearest first by the distances in the settings.
func nearest(s configurer.Settings) []namer.DataCentre {
	names := slices.Collect(maps.Keys(s.DataCentreDistance))
	slices.SortFunc(names, func(a, b namer.DataCentre) int {
		return cmp.Or(cmp.Compare(s.DataCentreDistance[a], s.DataCentreDistance[b]), cmp.Compare(a, b))
	})
	return names
}

func (c *Controller) trackerActions(actions []tracker.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case tracker.WriteMember:
			c.renewMember(a.Member, now)
		case tracker.FetchDeparture:
			c.fetchDeparture(a, now)
		case tracker.PeerLost:
			c.options.Log.Warn().Str("instance", a.Holder.String()).Msg("tracker: member lost")
		case tracker.ApplyDeparture:
			c.options.Log.Info().Int64("version", a.Version).Str("change", a.Departure.Change).Msg("tracker: departures changed")
			c.traffic.setDeparture(a.Departure)
		case tracker.StopAccepting:
			c.options.Log.Info().Msg("tracker: refusing new requests")
			c.accepting = false
		case tracker.ResumeAccepting:
			c.accepting = true
		case tracker.Exit:
			c.exit()
		}
	}
}

// exit ends the planned stop once the last member record is written, which tells the others that this process has stopped.
func (c *Controller) exit() {
	c.exiting = true
	c.exitWhenWritten()
}

func (c *Controller) exitWhenWritten() {
	if c.exiting && !c.exited && !c.member.writing {
		c.exited = true
		close(c.done)
	}
}

func (c *Controller) fetchDeparture(a tracker.FetchDeparture, now time.Time) {
	address := c.holderAddress(a.Peer, now)
	c.startIO(peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.FetchDeparture(ctx, address, messenger.FetchDepartureRequest{
			Version: a.Version,
		})
		return departuresFetched{
			requested: now,
			peer:      a.Peer,
			answer:    answer,
			err:       err,
		}
	})
}

// sendHeartbeats calls the peers for which mustCall is true, or all peers.
func (c *Controller) sendHeartbeats(now time.Time, all bool) {
	number := c.nextHeartbeatNumber(now)
	peers := c.tracker.Peers(now)
	c.peerStates.forget(peers, now)
	for _, p := range peers {
		if p.State == tracker.StateLeft || (!all && !c.mustCall(p, now)) {
			continue
		}
		heartbeat := c.heartbeatFor(p.Holder, number, now)
		c.addCallQuotas(&heartbeat, p.Holder, now)
		c.sendHeartbeat(p, heartbeat, now)
	}
	c.contactSeeds(number, peers, now)
}

// contactSeeds sends heartbeats to the seed addresses of the settings until this instance has first reached the store.
// Before that it cannot read the member records, and peers do not know the address of a new instance.
func (c *Controller) contactSeeds(number int64, known []tracker.Peer, now time.Time) {
	if c.storeAge(now) >= 0 {
		return
	}
	for _, seed := range c.options.Settings.Seeds {
		isPeer := slices.ContainsFunc(known, func(p tracker.Peer) bool { return p.PeerAddress == seed })
		if isPeer || seed == c.options.Settings.Advertise.Peers {
			continue
		}
		heartbeat := c.newHeartbeat(number, now)
		c.addAddresses(&heartbeat, namer.Holder{})
		c.sendHeartbeat(tracker.Peer{
			PeerAddress: seed,
		}, heartbeat, now)
	}
}

// heartbeatFor returns the heartbeat for one peer, without quotas.
func (c *Controller) heartbeatFor(peer namer.Holder, number int64, now time.Time) messenger.Heartbeat {
	heartbeat := c.newHeartbeat(number, now)
	c.addAddresses(&heartbeat, peer)
	heartbeat.Heard = c.heardNumbers(peer, now)
	heartbeat.Targets = c.changedSummaries(peer, now)
	c.addDemand(&heartbeat, peer, now)
	return heartbeat
}

func (c *Controller) sendHeartbeat(p tracker.Peer, heartbeat messenger.Heartbeat, now time.Time) {
	c.startIO(peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.Heartbeat(ctx, p.PeerAddress, heartbeat)
		return heartbeatAnswered{
			peer:   p,
			sent:   now,
			answer: answer,
			err:    err,
		}
	})
}

// newHeartbeat returns a heartbeat with the fields that are the same for all peers.
func (c *Controller) newHeartbeat(number int64, now time.Time) messenger.Heartbeat {
	version, _ := c.tracker.Departures()
	heartbeat := messenger.Heartbeat{
		Sender:           c.options.Self,
		BundleSequence:   c.follower.Sequence(),
		DepartureVersion: version,
		TableVersion:     c.elector.TableVersion(),
		StoreAgeMS:       storeAgeMS(c.storeAge(now)),
		Number:           number,
	}
	if state := c.tracker.State(); state != tracker.StateServing {
		heartbeat.State = state
	}
	return heartbeat
}

func storeAgeMS(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func summaryMessage(s allocator.Summary) messenger.TargetSummary {
	return messenger.TargetSummary{
		Target:       s.Target,
		Epoch:        s.Epoch,
		Boot:         s.Boot,
		FreeTokens:   s.FreeTokens,
		QueueTokens:  s.QueueTokens,
		WarmPercent:  s.WarmPercent,
		LongPrefills: s.LongPrefills,
	}
}

func (c *Controller) demand(owner namer.Holder, now time.Time) []messenger.Demand {
	var demand []messenger.Demand
	for _, d := range c.reserver.Demand(owner, now) {
		demand = append(demand, messenger.Demand{
			Target:       d.Target,
			UsedTokens:   d.UsedTokens,
			WantedTokens: d.WantedTokens,
		})
	}
	return demand
}

func (c *Controller) handlePeer(m message, now time.Time) {
	switch m := m.(type) {
	case heartbeatReceived:
		c.peerStates.peer(m.heartbeat.Sender).lastCall = now
		c.handleHeartbeat(m.heartbeat, now)
		c.applyCallQuotas(m.heartbeat, now)
		number := c.nextHeartbeatNumber(now)
		answer := c.heartbeatFor(m.heartbeat.Sender, number, now)
		answer.Quotas = c.dueQuotas(m.heartbeat.Sender, number, now)
		m.reply <- answer
	case heartbeatAnswered:
		c.handleHeartbeatAnswer(m, now)
	case reserveReceived:
		c.handleReserve(m, now)
	case reserveAnswered:
		c.handleReserveAnswer(m, now)
	case releaseReceived:
		c.toAllocator(m.request.Target, allocator.Released{
			From:    m.request.Sender,
			Request: m.request.Request,
		}, now)
	case confirmReceived:
		m.reply <- c.traffic.unknownRequests(m.request)
	case confirmAnswered:
		if m.err == nil && len(m.answer.Unknown) > 0 {
			c.toAllocator(m.target, allocator.RequestsNotKnown{
				Holder:   m.holder,
				Requests: m.answer.Unknown,
			}, now)
		}
	}
}

func (c *Controller) handleHeartbeatAnswer(m heartbeatAnswered, now time.Time) {
	if m.err != nil {
		// The peer may not have received the values in the call.
		c.peerStates.peer(m.peer.Holder).resetReported()
		c.options.Log.Debug().Str("peer", m.peer.Holder.String()).Err(m.err).Msg("controller: peer did not answer a heartbeat")
		return
	}
	c.handleHeartbeat(m.answer, now)
	c.applyQuotas(m.answer, m.sent, now)
	c.confirmDepartures(m.sent, m.answer.DepartureVersion, now)
}

func reserverQuotas(messages []messenger.Quota) []reserver.Quota {
	result := make([]reserver.Quota, 0, len(messages))
	for _, q := range messages {
		result = append(result, reserver.Quota{
			Target:        q.Target,
			Epoch:         q.Epoch,
			Boot:          q.Boot,
			MemoryTokens:  q.MemoryTokens,
			PrefillTokens: q.PrefillTokens,
			Valid:         quotaValidity(q),
		})
	}
	return result
}

func quotaValidity(q messenger.Quota) time.Duration {
	if q.ValidMS == 0 {
		return allocator.QuotaValid
	}
	return time.Duration(q.ValidMS) * time.Millisecond
}

func trackerHeard(message map[namer.Holder]int64) []tracker.HeardNumber {
	reports := make([]tracker.HeardNumber, 0, len(message))
	for h, n := range message {
		reports = append(reports, tracker.HeardNumber{
			Holder: h,
			Number: n,
		})
	}
	return reports
}

// handleHeartbeat passes a peer's heartbeat to all components that use it.
func (c *Controller) handleHeartbeat(heartbeat messenger.Heartbeat, now time.Time) {
	p := c.peerStates.peer(heartbeat.Sender)
	p.lastNumber = max(p.lastNumber, heartbeat.Number)
	heard := trackerHeard(heartbeat.Heard)
	state := cmp.Or(heartbeat.State, tracker.StateServing)
	c.trackerActions(c.tracker.ObserveHeartbeat(tracker.Heartbeat{
		Sender:           heartbeat.Sender,
		State:            state,
		DataCentre:       heartbeat.DataCentre,
		CallerAddress:    heartbeat.CallerAddress,
		PeerAddress:      heartbeat.PeerAddress,
		Number:           heartbeat.Number,
		DepartureVersion: heartbeat.DepartureVersion,
		Heard:            heard,
	}, now), now)
	c.electorActions(c.elector.Handle(elector.HeartbeatReceived{
		From:         heartbeat.Sender,
		State:        state,
		Number:       heartbeat.Number,
		TableVersion: heartbeat.TableVersion,
		Echoes:       heard,
	}, now), now)
	age := time.Duration(heartbeat.StoreAgeMS) * time.Millisecond
	c.followerActions(c.follower.ObservePeer(heartbeat.Sender.Instance, heartbeat.BundleSequence, age, now), now)
	for _, t := range heartbeat.Targets {
		c.applySummary(t, now)
	}
	c.applyDemand(heartbeat, now)
}

func (c *Controller) applySummary(s messenger.TargetSummary, now time.Time) {
	if _, own := c.allocators[s.Target]; own && !c.lapsedTargets[s.Target] {
		return
	}
	c.traffic.setSummary(s, now)
	c.observeBootID(s.Target, s.Boot, now)
}

// applyDemand passes the sender's demand to the allocators. A report with adopted quotas is complete: a target missing from
// it is not in use.
func (c *Controller) applyDemand(heartbeat messenger.Heartbeat, now time.Time) {
	demand := map[namer.Target]messenger.Demand{}
	for _, d := range heartbeat.Demand {
		demand[d.Target] = d
		if d.WantedTokens > 0 {
			c.peerStates.peer(heartbeat.Sender).quotasSentAt = time.Time{}
		}
	}
	for id := range c.allocators {
		if d, reported := demand[id]; reported || heartbeat.Adopted != 0 {
			c.toAllocator(id, allocator.DemandReported{
				From:         heartbeat.Sender,
				UsedTokens:   d.UsedTokens,
				WantedTokens: d.WantedTokens,
				Adopted:      heartbeat.Adopted,
			}, now)
		}
	}
}
