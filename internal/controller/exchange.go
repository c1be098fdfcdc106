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
	// missedBeats is the number of heartbeat intervals without a call of the peer after which the other side calls.
	missedBeats = 1.5
	// sendTimeKept is the age at which the sending time of a number is forgotten; quotas that echo it have expired.
	sendTimeKept = 10 * time.Second
	// introductions is the number of first messages to a process that say where this instance is.
	introductions = 3
	// introductionEvery repeats it, for a receiver that lost the first ones and cannot read the store.
	introductionEvery = 15
	// reportRounds is the number of messages over which the numbers of third processes are spread. They matter to a
	// receiver that does not hear the process itself, and only when nothing is heard for 13.2 s.
	reportRounds = 3
	// quotaRenewal leaves room for one lost message: the renewal after that comes within 5 s, and a quota in a call
	// is valid for at least that long.
	quotaRenewal = 2 * time.Second
	// summaryRenewal and demandRenewal repeat what has not changed, since an answer may be lost unnoticed.
	summaryRenewal = 5 * time.Second
	demandRenewal  = 3 * time.Second
	// idleRenewal repeats that nothing is used.
	idleRenewal = 15 * time.Second
	// changeTokens is the change of a queue or of used memory that is worth a message: one step of chunked prefill.
	changeTokens = 2_048
	// changeShare is the change of free or used memory, as a part of the last value told, that is worth a message.
	changeShare = 0.05
)

// exchange is what this instance remembers of its messages with one peer.
type exchange struct {
	// called is when the peer last called.
	called time.Time
	// number is the last number that came from the peer itself.
	number int64
	// messages counts the heartbeats to the peer.
	messages int
	// quotas is when the peer was last given quotas.
	quotas time.Time
	// summaries and demand are what the peer was last told.
	summaries map[namer.Target]toldSummary
	demand    map[namer.Target]toldDemand
	// adopted is the message of the peer whose quotas it was last told to be taken.
	adopted int64
}

type toldSummary struct {
	summary messenger.TargetSummary
	at      time.Time
}

type toldDemand struct {
	used int
	at   time.Time
}

// resend forgets what the peer was told, so that the next heartbeat tells it again.
func (x *exchange) resend() {
	x.quotas = time.Time{}
	x.adopted = 0
	clear(x.summaries)
	clear(x.demand)
}

// exchanges holds the peers and the times of the own numbers.
type exchanges struct {
	peers map[namer.Holder]*exchange
	sent  map[int64]time.Time
}

func newExchanges() exchanges {
	return exchanges{
		peers: map[namer.Holder]*exchange{},
		sent:  map[int64]time.Time{},
	}
}

func (e *exchanges) peer(h namer.Holder) *exchange {
	x, ok := e.peers[h]
	if !ok {
		x = &exchange{
			summaries: map[namer.Target]toldSummary{},
			demand:    map[namer.Target]toldDemand{},
		}
		e.peers[h] = x
	}
	return x
}

// renewQuotas makes the quotas of all peers due, for a target that this instance has begun to allocate.
func (e *exchanges) renewQuotas() {
	for _, x := range e.peers {
		x.quotas = time.Time{}
	}
}

// noteSent remembers when a number was sent, since quotas that echo it count from then.
func (e *exchanges) noteSent(number int64, now time.Time) {
	e.sent[number] = now
}

// forget drops old numbers and the processes that are no peers any more.
func (e *exchanges) forget(peers []tracker.Peer, now time.Time) {
	for n, at := range e.sent {
		if now.Sub(at) > sendTimeKept {
			delete(e.sent, n)
		}
	}
	if len(e.peers) <= 2*len(peers) {
		return
	}
	known := map[namer.Holder]bool{}
	for _, p := range peers {
		known[p.Holder] = true
	}
	for h := range e.peers {
		if !known[h] {
			delete(e.peers, h)
		}
	}
}

// callsFirst decides which instance of a pair calls the other, evenly over the pairs, so that one exchange per
// interval carries the heartbeats of both.
func callsFirst(self, peer namer.Instance) bool {
	low, high := min(self, peer), max(self, peer)
	digest := sha256.Sum256([]byte(string(low) + "/" + string(high)))
	return (self == low) == (digest[0]&1 == 0)
}

// mustCall reports whether this instance calls the peer now: it is its turn, or the peer's call is missing.
func (c *Controller) mustCall(p tracker.Peer, now time.Time) bool {
	if callsFirst(c.options.Self.Instance, p.Holder.Instance) {
		return true
	}
	patience := time.Duration(missedBeats * float64(c.options.Settings.Times.Heartbeat))
	return now.Sub(c.exchanges.peer(p.Holder).called) > patience
}

// takeCallQuotas takes quotas that came in a call. They answer an earlier message of this instance, the one whose
// number they echo, and count from its sending; those for an earlier process of this name are void.
func (c *Controller) takeCallQuotas(b messenger.Heartbeat, now time.Time) {
	sent, ok := c.exchanges.sent[b.Echo]
	if !ok || b.Receiver != c.options.Self.Incarnation || len(b.Quotas) == 0 {
		return
	}
	c.takeQuotas(b, sent, now)
}

func (c *Controller) takeQuotas(b messenger.Heartbeat, requested, now time.Time) {
	c.reserverActions(c.reserver.Handle(reserver.QuotasReceived{
		From:      b.Sender,
		Number:    b.Number,
		Requested: requested,
		Quotas:    quotas(b.Quotas),
	}, now), now)
	c.traffic.roomChanged(now)
}

// addCallQuotas adds quotas to a call if the receiver was heard, since they count from the message echoed.
func (c *Controller) addCallQuotas(beat *messenger.Heartbeat, to namer.Holder, now time.Time) {
	number := c.exchanges.peer(to).number
	if number == 0 {
		return
	}
	beat.Quotas = c.dueQuotas(to, beat.Number, now)
	if len(beat.Quotas) > 0 {
		beat.Echo = number
		beat.Receiver = to.Incarnation
	}
}

// introduce adds what never changes to the first heartbeats to a process and to some later ones.
func (c *Controller) introduce(beat *messenger.Heartbeat, to namer.Holder) {
	x := c.exchanges.peer(to)
	if x.messages < introductions || x.messages%introductionEvery == 0 {
		beat.DataCentre = c.options.Settings.DataCentre
		beat.CallerAddress = c.options.Settings.Advertise.Callers
		beat.PeerAddress = c.options.Settings.Advertise.Peers
	}
	x.messages++
}

// reports returns the numbers heard to put into a message to a peer: always its own, whose echo may be a promise, and
// a part of the others in turn.
func (c *Controller) reports(to namer.Holder, now time.Time) map[namer.Holder]int64 {
	round := c.exchanges.peer(to).messages % reportRounds
	reports := map[namer.Holder]int64{}
	for i, h := range c.elector.Heard(to, now) {
		if h.Holder == to || i%reportRounds == round {
			reports[h.Holder] = h.Number
		}
	}
	return reports
}

// dueQuotas returns the quotas for a peer if the last ones are due for renewal or the peer has asked for more.
func (c *Controller) dueQuotas(to namer.Holder, number int64, now time.Time) []messenger.Quota {
	x := c.exchanges.peer(to)
	if len(c.holding()) == 0 || now.Sub(x.quotas) < quotaRenewal {
		return nil
	}
	x.quotas = now
	return c.quotasFor(to, number, now)
}

// changedSummaries returns the summaries of owned targets that differ from what the peer was told, or are due.
func (c *Controller) changedSummaries(to namer.Holder, now time.Time) []messenger.TargetSummary {
	x := c.exchanges.peer(to)
	var changed []messenger.TargetSummary
	for _, id := range c.holding() {
		s := summaryMessage(c.owned[id].Summary(now))
		told, ok := x.summaries[id]
		if ok && now.Sub(told.at) < summaryRenewal && !summaryChanged(told.summary, s) {
			continue
		}
		x.summaries[id] = toldSummary{
			summary: s,
			at:      now,
		}
		changed = append(changed, s)
	}
	for id := range x.summaries {
		if _, own := c.owned[id]; !own || c.lapsed[id] {
			delete(x.summaries, id)
		}
	}
	return changed
}

func summaryChanged(a, b messenger.TargetSummary) bool {
	if a.Epoch != b.Epoch || a.Boot != b.Boot || a.WarmPercent != b.WarmPercent || a.LongPrefills != b.LongPrefills {
		return true
	}
	return worthTelling(a.FreeTokens, b.FreeTokens) || worthTelling(a.QueueTokens, b.QueueTokens)
}

func worthTelling(told, value int) bool {
	change := max(told-value, value-told)
	return change > changeTokens && float64(change) > float64(told)*changeShare
}

// addDemand adds the demand on the targets of a peer. When quotas of the peer were taken since the last report, the report
// names them and is complete and exact: the peer ends its earlier quotas down to the use that is told here.
func (c *Controller) addDemand(beat *messenger.Heartbeat, to namer.Holder, now time.Time) {
	x := c.exchanges.peer(to)
	adopted := c.reserver.Adopted(to)
	if adopted == x.adopted {
		beat.Demand = c.changedDemand(to, now)
		return
	}
	x.adopted = adopted
	beat.Adopted = adopted
	for _, d := range c.demand(to, now) {
		x.demand[d.Target] = toldDemand{
			used: d.UsedTokens,
			at:   now,
		}
		if d.UsedTokens > 0 || d.WantedTokens > 0 {
			beat.Demand = append(beat.Demand, d)
		}
	}
}

// changedDemand returns the demand on targets of a peer that differs from what it was told. What is wanted is told at
// once, since the reserver reports it only once.
func (c *Controller) changedDemand(to namer.Holder, now time.Time) []messenger.Demand {
	x := c.exchanges.peer(to)
	var changed []messenger.Demand
	for _, d := range c.demand(to, now) {
		told := x.demand[d.Target]
		renewal := demandRenewal
		if d.UsedTokens == 0 && told.used == 0 {
			renewal = idleRenewal
		}
		if d.WantedTokens == 0 && now.Sub(told.at) < renewal && !worthTelling(told.used, d.UsedTokens) {
			continue
		}
		x.demand[d.Target] = toldDemand{
			used: d.UsedTokens,
			at:   now,
		}
		changed = append(changed, d)
	}
	return changed
}
