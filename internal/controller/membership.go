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

// nearest orders the other data centres by the distance in the settings.
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
		case tracker.LosePeer:
			c.options.Log.Warn().Str("instance", a.Holder.String()).Msg("tracker: member lost")
		case tracker.ApplyDeparture:
			c.options.Log.Info().Int64("version", a.Version).Str("change", a.Departure.Change).Msg("tracker: departures changed")
			c.traffic.setDeparture(a.Departure)
		case tracker.StopAccepting:
			c.options.Log.Info().Msg("tracker: new requests are refused from now on")
			c.accepting = false
		case tracker.ResumeAccepting:
			c.accepting = true
		case tracker.Exit:
			c.exit()
		}
	}
}

// exit ends the planned stop once the last member record is written, which tells the others that this process is gone.
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
	c.start(peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.FetchDeparture(ctx, address, messenger.FetchDepartureRequest{
			Version: a.Version,
		})
		return departureFetched{
			requested: now,
			peer:      a.Peer,
			answer:    answer,
			err:       err,
		}
	})
}

// sendHeartbeats calls the peers that it is this instance's turn to call, or all of them.
func (c *Controller) sendHeartbeats(now time.Time, all bool) {
	number := c.nextNumber(now)
	peers := c.tracker.Peers(now)
	c.exchanges.forget(peers, now)
	for _, p := range peers {
		if p.State == tracker.StateLeft || (!all && !c.mustCall(p, now)) {
			continue
		}
		beat := c.beatTo(p.Holder, number, now)
		c.addCallQuotas(&beat, p.Holder, now)
		c.sendHeartbeat(p, beat, now)
	}
	c.askSeeds(number, peers, now)
}

// askSeeds sends heartbeats to the seeds of the settings while this instance has never reached the store: it cannot read
// the member records, and peers that it does not know cannot know a new address.
func (c *Controller) askSeeds(number int64, known []tracker.Peer, now time.Time) {
	if c.storeAge(now) >= 0 {
		return
	}
	for _, seed := range c.options.Settings.Seeds {
		asked := slices.ContainsFunc(known, func(p tracker.Peer) bool { return p.PeerAddress == seed })
		if asked || seed == c.options.Settings.Advertise.Peers {
			continue
		}
		beat := c.beat(number, now)
		c.introduce(&beat, namer.Holder{})
		c.sendHeartbeat(tracker.Peer{
			PeerAddress: seed,
		}, beat, now)
	}
}

// beatTo returns the heartbeat for one peer, without quotas.
func (c *Controller) beatTo(peer namer.Holder, number int64, now time.Time) messenger.Heartbeat {
	beat := c.beat(number, now)
	c.introduce(&beat, peer)
	beat.Heard = c.reports(peer, now)
	beat.Targets = c.changedSummaries(peer, now)
	c.addDemand(&beat, peer, now)
	return beat
}

func (c *Controller) sendHeartbeat(p tracker.Peer, beat messenger.Heartbeat, now time.Time) {
	c.start(peerTimeout, func(ctx context.Context) message {
		answer, err := c.options.Peers.Heartbeat(ctx, p.PeerAddress, beat)
		return beatAnswered{
			peer:   p,
			sent:   now,
			answer: answer,
			err:    err,
		}
	})
}

// beat returns the part of a heartbeat that is the same for all peers.
func (c *Controller) beat(number int64, now time.Time) messenger.Heartbeat {
	version, _ := c.tracker.Departures()
	beat := messenger.Heartbeat{
		Sender:           c.options.Self,
		BundleSequence:   c.follower.Sequence(),
		DepartureVersion: version,
		TableVersion:     c.elector.TableVersion(),
		StoreAgeMS:       storeAgeMS(c.storeAge(now)),
		Number:           number,
	}
	if state := c.tracker.Self(); state != tracker.StateServing {
		beat.State = state
	}
	return beat
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
	case beatHeard:
		c.exchanges.peer(m.beat.Sender).called = now
		c.takeBeat(m.beat, now)
		c.takeCallQuotas(m.beat, now)
		number := c.nextNumber(now)
		answer := c.beatTo(m.beat.Sender, number, now)
		answer.Quotas = c.dueQuotas(m.beat.Sender, number, now)
		m.reply <- answer
	case beatAnswered:
		c.takeBeatAnswer(m, now)
	case reserveHeard:
		c.takeReserve(m, now)
	case reserveAnswered:
		c.takeReserveAnswer(m, now)
	case releaseHeard:
		c.toAllocator(m.request.Target, allocator.Released{
			From:    m.request.Sender,
			Request: m.request.Request,
		}, now)
	case confirmHeard:
		m.reply <- c.traffic.unknown(m.request)
	case confirmAnswered:
		if m.err == nil && len(m.answer.Unknown) > 0 {
			c.toAllocator(m.target, allocator.RequestsDisowned{
				Holder:   m.holder,
				Requests: m.answer.Unknown,
			}, now)
		}
	}
}

func (c *Controller) takeBeatAnswer(m beatAnswered, now time.Time) {
	if m.err != nil {
		// Whatever the call carried may be lost.
		c.exchanges.peer(m.peer.Holder).resend()
		c.options.Log.Debug().Str("peer", m.peer.Holder.String()).Err(m.err).Msg("controller: heartbeat not answered")
		return
	}
	c.takeBeat(m.answer, now)
	c.takeQuotas(m.answer, m.sent, now)
	c.confirmDepartures(m.sent, m.answer.DepartureVersion, now)
}

func quotas(messages []messenger.Quota) []reserver.Quota {
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

func heardReports(message map[namer.Holder]int64) []tracker.Heard {
	reports := make([]tracker.Heard, 0, len(message))
	for h, n := range message {
		reports = append(reports, tracker.Heard{
			Holder: h,
			Number: n,
		})
	}
	return reports
}

// takeBeat hands a peer's heartbeat to every part that learns from it.
func (c *Controller) takeBeat(b messenger.Heartbeat, now time.Time) {
	x := c.exchanges.peer(b.Sender)
	x.number = max(x.number, b.Number)
	heard := heardReports(b.Heard)
	state := cmp.Or(b.State, tracker.StateServing)
	c.trackerActions(c.tracker.ObserveBeat(tracker.Beat{
		Sender:           b.Sender,
		State:            state,
		DataCentre:       b.DataCentre,
		CallerAddress:    b.CallerAddress,
		PeerAddress:      b.PeerAddress,
		Number:           b.Number,
		DepartureVersion: b.DepartureVersion,
		Heard:            heard,
	}, now), now)
	c.electorActions(c.elector.Handle(elector.HeartbeatHeard{
		From:         b.Sender,
		State:        state,
		Number:       b.Number,
		TableVersion: b.TableVersion,
		Heard:        heard,
	}, now), now)
	age := time.Duration(b.StoreAgeMS) * time.Millisecond
	c.followerActions(c.follower.HearPeer(b.Sender.Instance, b.BundleSequence, age, now), now)
	for _, t := range b.Targets {
		c.takeSummary(t, now)
	}
	c.takeDemand(b, now)
}

func (c *Controller) takeSummary(s messenger.TargetSummary, now time.Time) {
	if _, own := c.owned[s.Target]; own && !c.lapsed[s.Target] {
		return
	}
	c.traffic.setSummary(s, now)
	c.sawBoot(s.Target, s.Boot, now)
}

// takeDemand hands the allocators what the sender reports. In a report that names adopted quotas, a target that is not
// mentioned is not in use.
func (c *Controller) takeDemand(b messenger.Heartbeat, now time.Time) {
	demand := map[namer.Target]messenger.Demand{}
	for _, d := range b.Demand {
		demand[d.Target] = d
		if d.WantedTokens > 0 {
			c.exchanges.peer(b.Sender).quotas = time.Time{}
		}
	}
	for id := range c.owned {
		if d, told := demand[id]; told || b.Adopted != 0 {
			c.toAllocator(id, allocator.DemandReported{
				From:         b.Sender,
				UsedTokens:   d.UsedTokens,
				WantedTokens: d.WantedTokens,
				Adopted:      b.Adopted,
			}, now)
		}
	}
}
