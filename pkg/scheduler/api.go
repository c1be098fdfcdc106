package scheduler

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the constants of the scheduler.
type Settings struct {
	// Preference decides between engines that are equally good. Instances that place alone differ in it, so that they do not
	// all begin with the same engine.
	Preference string
	// PauseMargin is taken off the longest pause of a stream: events also travel, and passes are predicted.
	PauseMargin time.Duration
	// Transit is the time from a decision until the engine has the request: a message to the instance, a new connection and
	// the request, each within a region.
	Transit time.Duration
	// MaxParts bounds the engines that read one prompt together.
	MaxParts int
	// MinPart is the least reading time of one part: shorter ones cost more steps than they save.
	MinPart time.Duration
	// PartCost and SharedCost are what one more part costs, and one beside streams that tolerate pauses below ShortPause only.
	PartCost   time.Duration
	SharedCost time.Duration
	ShortPause time.Duration
	// ReserveCost is what reserving memory costs: a round trip before the prompt is sent.
	ReserveCost time.Duration
	// OpenCost is what it costs to put a stream on an engine whose streams all tolerate longer pauses: such engines read long
	// prompts in larger parts.
	OpenCost time.Duration
	// GatherShare is the share of the target latency within which the first event must be expected on the engine with the most
	// streams for a stream to join them.
	GatherShare float64
	// MemoryShare is the share of an engine's memory that is planned with; lengths of answers are estimates.
	MemoryShare float64
	// Suspicion is how long an engine is avoided after a failure; it doubles with each further one.
	Suspicion    time.Duration
	MaxSuspicion time.Duration
	// Overdue is how long after its predicted time a first event may come before the engine counts as failing.
	Overdue time.Duration
	// Patience is the time in the queue, as a multiple of the target latency, after which a request is refused, and MinPatience
	// the least such time: what cannot be served in time is told so while its caller can still go elsewhere.
	Patience    float64
	MinPatience time.Duration
	// MaxPart is the longest reading of one part; longer ones would hold up an engine for too long.
	MaxPart time.Duration
	// PressureTime is the time over which the reading that is asked of the engines is averaged.
	PressureTime time.Duration
	// CalmPressure is the reading, as a share of what the engines can do, up to which every prompt is welcome. Above it, a
	// prompt needs a value for its reading time of up to FullDensity (prompt tokens a second) at a pressure of 1: the work
	// of a prompt grows with the square of its length, its value does not.
	CalmPressure float64
	FullDensity  float64
	// HeavyHold is the share of the target latency for which a prompt below that value waits for calm before it is refused.
	HeavyHold float64
	// Urgent is the share of the target latency that must be left; a request with less may lengthen the pauses of others.
	Urgent float64
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		PauseMargin: 15 * time.Millisecond,
		Transit:     6 * time.Millisecond,
		MaxParts:    16,
		MinPart:     40 * time.Millisecond,
		PartCost:    2 * time.Millisecond,
		SharedCost:  30 * time.Millisecond,
		// Between the 250 ms that quick notes tolerate and the 600 ms of histories.
		ShortPause:   400 * time.Millisecond,
		ReserveCost:  10 * time.Millisecond,
		OpenCost:     120 * time.Millisecond,
		GatherShare:  0.5,
		MemoryShare:  0.97,
		Suspicion:    500 * time.Millisecond,
		MaxSuspicion: 8 * time.Second,
		Overdue:      1500 * time.Millisecond,
		Patience:     1,
		MinPatience:  600 * time.Millisecond,
		MaxPart:      600 * time.Millisecond,
		PressureTime: 1500 * time.Millisecond,
		CalmPressure: 0.45,
		FullDensity:  70_000,
		HeavyHold:    0.12,
		Urgent:       0.4,
	}
}

// Engine is a target that may be used.
type Engine struct {
	ID         namer.Target
	Service    namer.Service
	Address    string
	DataCentre namer.DataCentre
	Slots      int
	// Started tells apart two runs under the same id.
	Started time.Time
	// Speed is the published speed of the service's engines.
	Speed matcher.Engine
	// ColdUntil is when the engine stops being cold.
	ColdUntil time.Time
	// ColdRate is the number of requests a second that the engine bears until then.
	ColdRate float64
}

// Request is one prompt to be placed.
type Request struct {
	ID      namer.Request
	Service namer.Service
	Prompt  int
	Output  int
	Arrived time.Time
	// Latency is the time from Arrived within which the first event has its full value.
	Latency time.Duration
	// Pause is the longest time between two events of an answer that has its full value; 0 means any.
	Pause    time.Duration
	Deadline time.Time
	Priority int
	// Exclude lists engines that have failed this request.
	Exclude []namer.Target
	// Returned requests were refused before: their callers will not come a third time.
	Returned bool
	// Retried requests have been sent before: they wait no longer than needed.
	Retried bool
}

// Placement says where a request goes.
type Placement struct {
	Engine  namer.Target
	Address string
	Helpers []Helper
	// FirstEvent is the predicted time until the first event.
	FirstEvent time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	// Backlog is the predicted reading in front of the request.
	Backlog time.Duration
}

// Helper is an engine that reads a part of the prompt.
type Helper struct {
	Engine  namer.Target
	Address string
	// Tokens is the memory to reserve there; 0 means that the first engine holds the part.
	Tokens int
}

// Decision is what Decide returns: Place or Refuse.
type Decision interface {
	decision()
}

// Place starts a request.
type Place struct {
	Request   namer.Request
	Placement Placement
}

// Refuse turns a request away before it has been sent.
type Refuse struct {
	Request namer.Request
	Reason  RefuseReason
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	Waited     time.Duration
	// Queued is the number of requests that wait.
	Queued int
	// Engines is the number of engines of the service, and Pressure the reading asked of them, as a share of what they can do.
	Engines  int
	Pressure float64
}

func (Place) decision()  {}
func (Refuse) decision() {}

// RefuseReason is why a request was refused.
type RefuseReason string

// The reasons.
const (
	// NoEngine means that no engine of the service may be used.
	NoEngine RefuseReason = "no_engine"
	// TooLarge means that the engines together cannot hold the prompt.
	TooLarge RefuseReason = "too_large"
	// TooLate means that the first event would come after the deadline.
	TooLate RefuseReason = "too_late"
	// Overload means that the request has waited longer than a queue is useful.
	Overload RefuseReason = "overload"
)

// Outcome is how a request ended on its engines.
type Outcome int

// The outcomes.
const (
	// Finished means that the answer came whole.
	Finished Outcome = iota
	// Cancelled means that the caller left or the time was over.
	Cancelled
	// Failed means that the engine broke off or sent no answer.
	Failed
	// Rejected means that the engine did not run the request.
	Rejected
)
