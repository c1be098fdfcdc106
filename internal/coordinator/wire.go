package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

// The methods between a follower and its leader.
const (
	methodJoin     = "join"
	methodPing     = "ping"
	methodPong     = "pong"
	methodSubmit   = "submit"
	methodWithdraw = "withdraw"
	methodAdopt    = "adopt"
	methodStarted  = "started"
	methodEnded    = "ended"
	methodDecision = "decision"
	methodMembers  = "members"
	methodObjects  = "objects"
	methodRead     = "read"
)

// joinRequest asks to follow.
type joinRequest struct {
	Member Member `json:"member"`
	// Known is set if the follower knows the rules.
	Known bool `json:"known,omitempty"`
}

// joinAnswer accepts a follower or names the leader to ask instead.
type joinAnswer struct {
	Accepted bool          `json:"accepted"`
	Self     convener.Peer `json:"self"`
	Leader   convener.Peer `json:"leader"`
}

// pingMessage shows that a follower lives.
type pingMessage struct {
	// Ready is set while callers may use the follower.
	Ready bool `json:"ready"`
	// Reads is set while the follower asks the store and is answered.
	Reads bool `json:"reads,omitempty"`
}

// pongMessage shows that the leader's control goroutine runs.
type pongMessage struct {
	// StoreLost is set while the store answers neither the leader nor the first in line, which read for it.
	StoreLost bool `json:"store_lost,omitempty"`
	// Covered is set while another follower reads in their place.
	Covered bool `json:"covered,omitempty"`
}

// objectsMessage carries objects of the store to followers that do not watch it.
type objectsMessage struct {
	// Whole is set if the events describe all objects; others are gone.
	Whole bool `json:"whole,omitempty"`
	// Events are compressed JSON: rules repeat their words in each route.
	Events []byte `json:"events"`
}

// requestMessage carries a request; ages instead of times, since clocks of instances differ.
type requestMessage struct {
	ID       namer.Request  `json:"id"`
	Service  namer.Service  `json:"service"`
	Prompt   int            `json:"prompt"`
	Output   int            `json:"output"`
	Age      time.Duration  `json:"age"`
	Latency  time.Duration  `json:"latency"`
	Pause    time.Duration  `json:"pause,omitempty"`
	Left     time.Duration  `json:"left"`
	Priority int            `json:"priority,omitempty"`
	Exclude  []namer.Target `json:"exclude,omitempty"`
	Retried  bool           `json:"retried,omitempty"`
	Returned bool           `json:"returned,omitempty"`
}

func encodeRequest(now time.Time, r scheduler.Request) requestMessage {
	return requestMessage{
		ID:       r.ID,
		Service:  r.Service,
		Prompt:   r.Prompt,
		Output:   r.Output,
		Age:      now.Sub(r.Arrived),
		Latency:  r.Latency,
		Pause:    r.Pause,
		Left:     r.Deadline.Sub(now),
		Priority: r.Priority,
		Exclude:  r.Exclude,
		Retried:  r.Retried,
		Returned: r.Returned,
	}
}

func (m *requestMessage) request(now time.Time) scheduler.Request {
	return scheduler.Request{
		ID:       m.ID,
		Service:  m.Service,
		Prompt:   m.Prompt,
		Output:   m.Output,
		Arrived:  now.Add(-m.Age),
		Latency:  m.Latency,
		Pause:    m.Pause,
		Deadline: now.Add(m.Left),
		Priority: m.Priority,
		Exclude:  m.Exclude,
		Retried:  m.Retried,
		Returned: m.Returned,
	}
}

// adoptMessage tells a new leader of a request that runs.
type adoptMessage struct {
	Request   requestMessage      `json:"request"`
	Placement scheduler.Placement `json:"placement"`
	Started   bool                `json:"started,omitempty"`
}

// progressMessage names a request that is withdrawn, has started or has ended.
type progressMessage struct {
	Request namer.Request     `json:"request"`
	Outcome scheduler.Outcome `json:"outcome,omitempty"`
	Faulty  namer.Target      `json:"faulty,omitempty"`
}

// decisionMessage answers a submitted request; one of Place and Refuse is set.
type decisionMessage struct {
	Request namer.Request        `json:"request"`
	Place   *scheduler.Placement `json:"place,omitempty"`
	Refuse  *scheduler.Refuse    `json:"refuse,omitempty"`
}

// membersMessage lists the instances that callers may use, and the order in which they would lead.
type membersMessage struct {
	Members []Member        `json:"members"`
	Line    []convener.Peer `json:"line"`
}
