package coordinator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

// JSON-RPC methods between a follower and its leader.
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
	methodCrashed  = "crashed"
	methodSound    = "sound"
	methodIsolated = "isolated"
	methodLeaves   = "leaves"
	methodCounts   = "counts"
	// methodRetained carries what is in force although a restored store lacks it.
	methodRetained = "retained"
)

// joinRequest asks the leader to accept the sender as a follower.
type joinRequest struct {
	Member Member `json:"member"`
}

// joinAnswer accepts a follower or redirects it to the current leader.
type joinAnswer struct {
	Accepted bool          `json:"accepted"`
	Self     convener.Peer `json:"self"`
	Leader   convener.Peer `json:"leader"`
}

// pingMessage is the heartbeat of a follower.
type pingMessage struct {
	// Ready is set while the follower accepts requests of callers.
	Ready bool `json:"ready"`
	// Reads is set while the follower reads from the store successfully.
	Reads bool `json:"reads,omitempty"`
	// Used is the processor capacity that the follower uses, in cores.
	Used float64 `json:"used,omitempty"`
	// Time is the follower's time in Unix milliseconds, 0 unless usage is counted.
	Time int64 `json:"time,omitempty"`
}

// pongMessage is the leader's answer to a ping; it shows that the leader's control goroutine runs.
type pongMessage struct {
	// StoreLost is set while neither the leader nor the followers that read the store for it can reach the store.
	StoreLost bool `json:"store_lost,omitempty"`
	// Covered is set while another follower reads the store as a substitute for them.
	Covered bool `json:"covered,omitempty"`
	// Time is the leader's time in Unix milliseconds, 0 unless usage is counted.
	Time int64 `json:"time,omitempty"`
	// NextWindow is the first window whose count isn't final, 0 unless usage is counted.
	NextWindow int64 `json:"next_window,omitempty"`
}

// objectsMessage carries objects of the store between a leader and its followers.
type objectsMessage struct {
	// Whole is set if the message has all that the sender knows.
	Whole bool `json:"whole,omitempty"`
	// Complete holds, for the kinds that the sender has listed, the version of the store up to which the message has all objects. An
	// object of such a version that it lacks no longer exists; nothing is known of other objects that it lacks.
	Complete map[storer.Kind]int64 `json:"complete,omitempty"`
	// Eras holds the eras of these versions, if the store states any.
	Eras map[storer.Kind]int64 `json:"eras,omitempty"`
	// Events are gzip-compressed JSON, since rules repeat the same strings in each route.
	Events []byte `json:"events"`
}

// requestMessage carries a request. It has durations relative to the time of sending, since the clocks of instances differ.
type requestMessage struct {
	ID         namer.Request    `json:"id"`
	Service    namer.Service    `json:"service"`
	Customer   namer.Customer   `json:"customer,omitempty"`
	DataCentre namer.DataCentre `json:"data_centre,omitempty"`
	Bytes      int              `json:"bytes,omitempty"`
	Prompt     int              `json:"prompt"`
	Output     int              `json:"output"`
	Age        time.Duration    `json:"age"`
	Latency    time.Duration    `json:"latency"`
	Pause      time.Duration    `json:"pause,omitempty"`
	Patience   time.Duration    `json:"patience,omitempty"`
	Left       time.Duration    `json:"left"`
	Priority   int              `json:"priority,omitempty"`
	Rank       int              `json:"rank,omitempty"`
	Exclude    []namer.Target   `json:"exclude,omitempty"`
	Retried    bool             `json:"retried,omitempty"`
	Returned   bool             `json:"returned,omitempty"`
	Since      time.Duration    `json:"since,omitempty"`
}

func encodeRequest(now time.Time, r scheduler.Request) requestMessage {
	return requestMessage{
		ID:         r.ID,
		Service:    r.Service,
		Customer:   r.Customer,
		DataCentre: r.DataCentre,
		Bytes:      r.Bytes,
		Prompt:     r.PromptTokens,
		Output:     r.OutputTokens,
		Age:        now.Sub(r.Arrived),
		Latency:    r.TargetLatency,
		Pause:      r.MaxPause,
		Patience:   r.Patience,
		Left:       r.Deadline.Sub(now),
		Priority:   r.Priority,
		Rank:       r.Rank,
		Exclude:    r.Exclude,
		Retried:    r.Retried,
		Returned:   r.Resubmitted,
		Since:      r.Age,
	}
}

func (m *requestMessage) request(now time.Time) scheduler.Request {
	return scheduler.Request{
		ID:            m.ID,
		Service:       m.Service,
		Customer:      m.Customer,
		DataCentre:    m.DataCentre,
		Bytes:         m.Bytes,
		PromptTokens:  m.Prompt,
		OutputTokens:  m.Output,
		Arrived:       now.Add(-m.Age),
		TargetLatency: m.Latency,
		MaxPause:      m.Pause,
		Patience:      m.Patience,
		Deadline:      now.Add(m.Left),
		Priority:      m.Priority,
		Rank:          m.Rank,
		Exclude:       m.Exclude,
		Retried:       m.Retried,
		Resubmitted:   m.Returned,
		Age:           m.Since,
	}
}

// adoptMessage tells a new leader about a running request.
type adoptMessage struct {
	Request   requestMessage      `json:"request"`
	Placement scheduler.Placement `json:"placement"`
	Started   bool                `json:"started,omitempty"`
}

// progressMessage reports that a request was withdrawn, has started or has ended.
type progressMessage struct {
	Request namer.Request     `json:"request"`
	Outcome scheduler.Outcome `json:"outcome,omitempty"`
	Faulty  namer.Target      `json:"faulty,omitempty"`
}

// crashMessage reports a request on which an engine crashed.
type crashMessage struct {
	Engine namer.Target `json:"engine"`
	// Started is the start of the engine's run in Unix milliseconds.
	Started int64         `json:"started"`
	Request namer.Request `json:"request"`
	Parts   []namer.Part  `json:"parts"`
	Late    bool          `json:"late,omitempty"`
}

// leavesMessage reports that a run of a target has said that it leaves.
type leavesMessage struct {
	Target namer.Target `json:"target"`
	// Started is the start of the run in Unix milliseconds, 0 if it isn't known.
	Started int64 `json:"started,omitempty"`
}

// soundMessage lists parts with which answers have begun since the last message.
type soundMessage struct {
	Parts []namer.Part `json:"parts"`
}

// isolationsMessage lists the isolated parts of prompts.
type isolationsMessage struct {
	Isolations []isolationEntry `json:"isolations"`
}

// isolationEntry is an isolation between instances; the time is relative, since their clocks differ.
type isolationEntry struct {
	Part namer.Part    `json:"part"`
	Left time.Duration `json:"left"`
	Hold time.Duration `json:"hold"`
}

// decisionMessage answers a submitted request; either Place or Refuse is set.
type decisionMessage struct {
	Request namer.Request        `json:"request"`
	Place   *scheduler.Placement `json:"place,omitempty"`
	Refuse  *scheduler.Refuse    `json:"refuse,omitempty"`
}

// membersMessage lists the instances that callers may use, and the first peers in order of succession. Its size doesn't grow with the
// deployment.
type membersMessage struct {
	Members []Member        `json:"members"`
	Line    []convener.Peer `json:"line"`
	// Instances is the number of all instances.
	Instances int `json:"instances"`
	// Crowded lists the data centres whose callers use instances of others, too.
	Crowded []namer.DataCentre `json:"crowded,omitempty"`
}
