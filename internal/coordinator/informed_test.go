package coordinator

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// startedAlone returns the coordinator of a leader that feeds others, has just started and knows the rules only, and its clock.
func startedAlone(t *testing.T) (*Coordinator, *manualClock) {
	t.Helper()
	clock := &manualClock{System: timer.System{}, now: time.Unix(1_000, 0)}
	o := startInstance(t, newStore(), 0).options
	o.Clock = clock
	c := New(o)
	c.convener.PointerWritten(clock.now, versioner.Of(1))
	c.members = make([]Member, storeReaders+1)
	rules, _ := json.Marshal(rulesOf(1))
	c.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindRules, Name: "main", Version: versioner.Of(1), Value: rules}})
	c.handleWatchResult(clock.now, watchResult{kind: kindRules, version: versioner.Of(1)})
	c.publish()
	return c, clock
}

// ask submits a request and returns the channel of its decision.
func ask(c *Coordinator, now time.Time) <-chan scheduler.Decision {
	reply := make(chan scheduler.Decision, 1)
	c.handleSubmit(now, submitRequest{
		request: scheduler.Request{
			ID: "a", Service: "scribe", PromptTokens: 100, OutputTokens: 10, Arrived: now, TargetLatency: 400 * time.Millisecond,
			Deadline: now.Add(10 * time.Second),
		},
		reply: reply,
	})
	c.decide()
	return reply
}

func assertUndecided(t *testing.T, reply <-chan scheduler.Decision) {
	t.Helper()
	select {
	case d := <-reply:
		t.Fatalf("decided too early: %+v", d)
	default:
	}
}

// Guards against refusals for want of engines by a leader that has read the rules and not yet the engines: after a loss of power all
// requests of a second come at that moment (89 were refused in a trial).
func TestLeaderWaitsForAllLists(t *testing.T) {
	t.Run("the engines come", func(t *testing.T) {
		c, clock := startedAlone(t)
		reply := ask(c, clock.now)
		assertUndecided(t, reply)
		entry, _ := json.Marshal(cataloguer.Target{ID: "a", Service: "scribe", Slots: 16})
		c.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindTargets, Name: "a", Version: versioner.Of(2), Value: entry}})
		c.handleWatchResult(clock.now, watchResult{kind: kindTargets, version: versioner.Of(2)})
		c.handleWatchResult(clock.now, watchResult{kind: kindEvacuations, version: versioner.Of(2)})
		c.publish()
		c.decide()
		if d, ok := (<-reply).(scheduler.Place); !ok {
			t.Errorf("the request is not placed at once: %+v", d)
		}
		if len(c.held) != 0 {
			t.Errorf("%d requests are still held", len(c.held))
		}
	})
	t.Run("the engines don't come", func(t *testing.T) {
		c, clock := startedAlone(t)
		reply := ask(c, clock.now)
		clock.now = clock.now.Add(maxHeldTime)
		c.decide()
		if d, ok := (<-reply).(scheduler.Refuse); !ok || d.Reason != Uninformed || d.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal that says that the engines aren't known", d)
		}
	})
	t.Run("too many wait", func(t *testing.T) {
		c, clock := startedAlone(t)
		for i := range maxHeld {
			c.held[requestID(i)] = clock.now.Add(time.Second)
		}
		if d, ok := (<-ask(c, clock.now)).(scheduler.Refuse); !ok || d.Reason != Uninformed {
			t.Errorf("got %+v, want a refusal", d)
		}
	})
}

func requestID(i int) namer.Request {
	return namer.Request(strconv.Itoa(i))
}

// Guards against cut streams that come back together after a loss of power and take the engines from new requests, whose target latency
// is a quarter of a second (in a trial, 115 of 155 new ones were late in the first second).
func TestReturnsAfterAPowerLossLeaveRoom(t *testing.T) {
	c, clock := startedAlone(t)
	c.heard[kindTargets], c.heard[kindEvacuations] = true, true
	entry, _ := json.Marshal(cataloguer.Target{ID: "a", Service: "scribe", Slots: 1000})
	c.applyChange(clock.now, storer.Event{Type: storer.EventPut, Object: storer.Object{Kind: kindTargets, Name: "a", Version: versioner.Of(2), Value: entry}})
	clock.now = clock.now.Add(announceDelay)
	c.publish()
	submit := func(id int, age time.Duration) {
		c.handleSubmit(clock.now, submitRequest{
			request: scheduler.Request{
				ID: requestID(id), Service: "scribe", PromptTokens: 2000, OutputTokens: 10, Arrived: clock.now, TargetLatency: 250 * time.Millisecond,
				MaxPause: time.Second, Deadline: clock.now.Add(10 * time.Second), Patience: 2 * time.Second, Resubmitted: age > 0, Age: age,
			},
			reply: make(chan scheduler.Decision, 1),
		})
	}
	const returns = 40
	for i := range returns {
		submit(i, 2*time.Second)
	}
	c.decide()
	if placed := returns - c.returner.Held(); placed > 1 {
		t.Errorf("%d of %d returns are placed at once on one engine", placed, returns)
	}
	submit(returns, 0)
	c.decide()
	if c.placed[requestID(returns)] == nil {
		t.Error("the new request isn't placed at once")
	}
	c.handleWithdraw(clock.now, requestID(returns-1))
	clock.now = clock.now.Add(time.Second)
	c.decide()
	if c.returner.Held() != 0 || len(c.returned) != 0 {
		t.Errorf("%d returns are still held after half of their callers' patience", c.returner.Held())
	}
}
