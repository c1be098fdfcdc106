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
)

// exchange is what this instance remembers of its messages with one peer.
type exchange struct {
	// called is when the peer last called.
	called time.Time
	// number is the last number that came from the peer itself.
	number int64
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
