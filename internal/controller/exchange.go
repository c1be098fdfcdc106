package controller

import (
	"crypto/sha256"
	"time"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

const (
	// missedHeartbeats is the number of heartbeat intervals without a call from the peer after which this instance calls.
	missedHeartbeats = 1.5
	// sendTimeRetention is how long the send time of a heartbeat number is kept; quotas that echo an older one have expired.
	sendTimeRetention = 10 * time.Second
	// initialAddressHeartbeats is the number of first heartbeats to a process that carry this instance's addresses.
	initialAddressHeartbeats = 3
	// addressHeartbeatEvery is the number of heartbeats between later ones with addresses, for a receiver that lost the
	// first ones and cannot read the store.
	addressHeartbeatEvery = 15
	// heardRounds is the number of heartbeats over which the last numbers of other processes are spread. A receiver needs
	// them only for a process that it cannot hear directly, and only after that process has been silent for 13.2 s.
	heardRounds = 3
	// quotaRenewal is the time after which a peer gets new quotas. It tolerates one lost message: the next quotas follow
	// within 5 s, and a quota in a call is valid for at least that long.
	quotaRenewal = 2 * time.Second
	// summaryRenewal and demandRenewal are the times after which unchanged values are sent again, since the sender does not
	// notice the loss of an answer.
	summaryRenewal = 5 * time.Second
	demandRenewal  = 3 * time.Second
	// idleRenewal is the time after which a demand of zero is sent again.
	idleRenewal = 15 * time.Second
	// minChangeTokens is the change in tokens that a value must exceed to be reported: one step of chunked prefill.
	minChangeTokens = 2_048
	// minChangeShare is the change that a value must exceed to be reported, as a share of the last reported value.
	minChangeShare = 0.05
)

// peerState is the state of the heartbeats exchanged with one peer.
type peerState struct {
	// lastCall is when the peer last called this instance.
	lastCall time.Time
	// lastNumber is the highest heartbeat number received from the peer itself.
	lastNumber int64
	// heartbeatsSent counts the heartbeats and answers built for the peer.
	heartbeatsSent int
	// quotasSentAt is when quotas were last sent to the peer; zero makes them due.
	quotasSentAt time.Time
	// summaries and demand are the values last reported to the peer.
	summaries map[namer.Target]reportedSummary
	demand    map[namer.Target]reportedDemand
	// reportedLastApplied is the number of the peer's message that was last reported to it as applied.
	reportedLastApplied int64
}

type reportedSummary struct {
	summary messenger.TargetSummary
	at      time.Time
}

type reportedDemand struct {
	used int
	at   time.Time
}

// resetReported clears what was reported to the peer, so that the next heartbeat repeats all of it.
func (p *peerState) resetReported() {
	p.quotasSentAt = time.Time{}
	p.reportedLastApplied = 0
	clear(p.summaries)
	clear(p.demand)
}

// peerStates holds the state of each peer and the send times of this instance's heartbeat numbers.
type peerStates struct {
	peers  map[namer.Holder]*peerState
	sentAt map[int64]time.Time
}

func newPeerStates() peerStates {
	return peerStates{
		peers:  map[namer.Holder]*peerState{},
		sentAt: map[int64]time.Time{},
	}
}

func (s *peerStates) peer(h namer.Holder) *peerState {
	p, ok := s.peers[h]
	if !ok {
		p = &peerState{
			summaries: map[namer.Target]reportedSummary{},
			demand:    map[namer.Target]reportedDemand{},
		}
		s.peers[h] = p
	}
	return p
}

// markQuotasDue makes new quotas for all peers due with the next heartbeats.
func (s *peerStates) markQuotasDue() {
	for _, p := range s.peers {
		p.quotasSentAt = time.Time{}
	}
}

// recordSent records when a number was sent: the validity of quotas that echo it starts then.
func (s *peerStates) recordSent(number int64, now time.Time) {
	s.sentAt[number] = now
}

// forget drops old numbers and, once there are more than twice as many processes as peers, those that are no longer peers.
func (s *peerStates) forget(peers []tracker.Peer, now time.Time) {
	for n, at := range s.sentAt {
		if now.Sub(at) > sendTimeRetention {
			delete(s.sentAt, n)
		}
	}
	if len(s.peers) <= 2*len(peers) {
		return
	}
	known := map[namer.Holder]bool{}
	for _, p := range peers {
		known[p.Holder] = true
	}
	for h := range s.peers {
		if !known[h] {
			delete(s.peers, h)
		}
	}
}

// isCaller reports whether self is the side of a pair that calls the other. One call per interval carries the heartbeats
// of both sides; a hash of the names spreads the calls evenly over the instances.
func isCaller(self, peer namer.Instance) bool {
	low, high := min(self, peer), max(self, peer)
	digest := sha256.Sum256([]byte(string(low) + "/" + string(high)))
	return (self == low) == (digest[0]&1 == 0)
}

// mustCall reports whether this instance calls the peer now: it is the calling side, or the peer's call is overdue.
func (c *Controller) mustCall(p tracker.Peer, now time.Time) bool {
	if isCaller(c.options.Self.Instance, p.Holder.Instance) {
		return true
	}
	timeout := time.Duration(missedHeartbeats * float64(c.options.Settings.Times.Heartbeat))
	return now.Sub(c.peerStates.peer(p.Holder).lastCall) > timeout
}

// applyCallQuotas applies quotas that a peer sent in a call. Their validity starts when this instance sent the message
// whose number they echo. Quotas for an earlier process of the same instance name are ignored.
func (c *Controller) applyCallQuotas(heartbeat messenger.Heartbeat, now time.Time) {
	sent, ok := c.peerStates.sentAt[heartbeat.Echo]
	if !ok || heartbeat.Receiver != c.options.Self.Incarnation || len(heartbeat.Quotas) == 0 {
		return
	}
	c.applyQuotas(heartbeat, sent, now)
}

func (c *Controller) applyQuotas(heartbeat messenger.Heartbeat, requested, now time.Time) {
	c.reserverActions(c.reserver.Handle(reserver.QuotasReceived{
		From:      heartbeat.Sender,
		Number:    heartbeat.Number,
		Requested: requested,
		Quotas:    reserverQuotas(heartbeat.Quotas),
	}, now), now)
	c.traffic.retryQueues(now)
}

// addCallQuotas adds quotas to a call. The receiver must have sent a message before: their validity starts at its send time.
func (c *Controller) addCallQuotas(heartbeat *messenger.Heartbeat, to namer.Holder, now time.Time) {
	number := c.peerStates.peer(to).lastNumber
	if number == 0 {
		return
	}
	heartbeat.Quotas = c.dueQuotas(to, heartbeat.Number, now)
	if len(heartbeat.Quotas) > 0 {
		heartbeat.Echo = number
		heartbeat.Receiver = to.Incarnation
	}
}

// addAddresses adds the data centre and the addresses to the first heartbeats to a process and, at intervals, to later ones.
func (c *Controller) addAddresses(heartbeat *messenger.Heartbeat, to namer.Holder) {
	p := c.peerStates.peer(to)
	if p.heartbeatsSent < initialAddressHeartbeats || p.heartbeatsSent%addressHeartbeatEvery == 0 {
		heartbeat.DataCentre = c.options.Settings.DataCentre
		heartbeat.CallerAddress = c.options.Settings.Advertise.Callers
		heartbeat.PeerAddress = c.options.Settings.Advertise.Peers
	}
	p.heartbeatsSent++
}

// heardNumbers returns the last numbers heard from other processes, for a message to a peer. The peer's own number is
// always included, since its echo may renew the peer's authority; the others take turns.
func (c *Controller) heardNumbers(to namer.Holder, now time.Time) map[namer.Holder]int64 {
	round := c.peerStates.peer(to).heartbeatsSent % heardRounds
	numbers := map[namer.Holder]int64{}
	for i, h := range c.elector.Echoes(to, now) {
		if h.Holder == to || i%heardRounds == round {
			numbers[h.Holder] = h.Number
		}
	}
	return numbers
}

// dueQuotas returns new quotas for a peer if the last ones are due for renewal or the peer has asked for more.
func (c *Controller) dueQuotas(to namer.Holder, number int64, now time.Time) []messenger.Quota {
	p := c.peerStates.peer(to)
	if len(c.ownedTargets()) == 0 || now.Sub(p.quotasSentAt) < quotaRenewal {
		return nil
	}
	p.quotasSentAt = now
	return c.quotasFor(to, number, now)
}

// changedSummaries returns the summaries of owned targets that have changed since they were reported to the peer, or are due
// for renewal.
func (c *Controller) changedSummaries(to namer.Holder, now time.Time) []messenger.TargetSummary {
	p := c.peerStates.peer(to)
	var changed []messenger.TargetSummary
	for _, id := range c.ownedTargets() {
		s := summaryMessage(c.allocators[id].Summary(now))
		reported, ok := p.summaries[id]
		if ok && now.Sub(reported.at) < summaryRenewal && !summaryChanged(reported.summary, s) {
			continue
		}
		p.summaries[id] = reportedSummary{
			summary: s,
			at:      now,
		}
		changed = append(changed, s)
	}
	for id := range p.summaries {
		if _, own := c.allocators[id]; !own || c.lapsedTargets[id] {
			delete(p.summaries, id)
		}
	}
	return changed
}

func summaryChanged(a, b messenger.TargetSummary) bool {
	if a.Epoch != b.Epoch || a.Boot != b.Boot || a.WarmPercent != b.WarmPercent || a.LongPrefills != b.LongPrefills {
		return true
	}
	return changedEnough(a.FreeTokens, b.FreeTokens) || changedEnough(a.QueueTokens, b.QueueTokens)
}

func changedEnough(reported, value int) bool {
	change := max(reported-value, value-reported)
	return change > minChangeTokens && float64(change) > float64(reported)*minChangeShare
}

// addDemand adds the demand on the targets of a peer. If newer quotas of the peer were applied since the last report, the
// report names them and includes every target in use, with exact figures: the peer then ends its earlier quotas, except for
// the use reported here.
func (c *Controller) addDemand(heartbeat *messenger.Heartbeat, to namer.Holder, now time.Time) {
	p := c.peerStates.peer(to)
	lastApplied := c.reserver.LastAppliedMessage(to)
	if lastApplied == p.reportedLastApplied {
		heartbeat.Demand = c.changedDemand(to, now)
		return
	}
	p.reportedLastApplied = lastApplied
	heartbeat.Adopted = lastApplied
	for _, d := range c.demand(to, now) {
		p.demand[d.Target] = reportedDemand{
			used: d.UsedTokens,
			at:   now,
		}
		if d.UsedTokens > 0 || d.WantedTokens > 0 {
			heartbeat.Demand = append(heartbeat.Demand, d)
		}
	}
}

// changedDemand returns the demand on the peer's targets that has changed since the last report or is due for renewal.
// Wanted tokens are always included, since the reserver returns them only once.
func (c *Controller) changedDemand(to namer.Holder, now time.Time) []messenger.Demand {
	p := c.peerStates.peer(to)
	var changed []messenger.Demand
	for _, d := range c.demand(to, now) {
		reported := p.demand[d.Target]
		renewal := demandRenewal
		if d.UsedTokens == 0 && reported.used == 0 {
			renewal = idleRenewal
		}
		if d.WantedTokens == 0 && now.Sub(reported.at) < renewal && !changedEnough(reported.used, d.UsedTokens) {
			continue
		}
		p.demand[d.Target] = reportedDemand{
			used: d.UsedTokens,
			at:   now,
		}
		changed = append(changed, d)
	}
	return changed
}
