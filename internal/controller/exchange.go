package controller

import (
	"hash/fnv"
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
)

// exchange is what this instance remembers of its messages with one peer.
type exchange struct {
	// called is when the peer last called.
	called time.Time
	// number is the last number that came from the peer itself.
	number int64
	// messages counts the heartbeats to the peer.
	messages int
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
		x = &exchange{}
		e.peers[h] = x
	}
	return x
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
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(string(low) + "/" + string(high)))
	return (self == low) == (hash.Sum32()>>16&1 == 0)
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
	beat.Quotas = c.quotasFor(to, beat.Number, now)
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
