package scheduler

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the tuning parameters of the scheduler.
type Settings struct {
	// Preference seeds the order of equally good engines. It differs between instances, so that instances that schedule
	// without a leader don't all start with the same engine.
	Preference string
	// PauseMargin is subtracted from the longest pause that a stream tolerates, to allow for network delay and errors in the
	// predicted pass length.
	PauseMargin time.Duration
	// Transit is the time from a decision until the engine has the request: a message to the instance, a new connection and
	// the request, each within one region.
	Transit time.Duration
	// MaxParts is the maximum number of engines that prefill one prompt in parallel.
	MaxParts int
	// MinPart is the minimum prefill time of one part; shorter parts cost more engine steps than they save.
	MinPart time.Duration
	// PartCost is the cost of each part; SharedCost is added for a part on an engine that has a stream with a
	// tolerated pause below ShortPause.
	PartCost   time.Duration
	SharedCost time.Duration
	ShortPause time.Duration
	// ReserveCost is the cost of reserving memory on other engines: a round trip before the prompt is sent.
	ReserveCost time.Duration
	// UnpackedCost is the cost of placing a stream on an engine whose streams all tolerate longer pauses: the engine could then
	// prefill less of a long prompt per pass.
	UnpackedCost time.Duration
	// PackingShare limits packing of streams onto the engine that already has the most: the first event must be expected
	// within this share of the target latency.
	PackingShare float64
	// MemoryShare is the share of an engine's memory that may be planned; the rest is headroom, since answer lengths are
	// estimates.
	MemoryShare float64
	// MinBackoff is how long an engine is excluded after a failure; it doubles with each consecutive failure, up to
	// MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// FirstEventGrace is how long after its predicted time a first event may arrive before the engine counts as failing.
	FirstEventGrace time.Duration
	// MaxQueueShare is the maximum queue time as a multiple of the target latency, and MinQueueTime its lower bound.
	// Requests that cannot be served in time are refused early enough for the caller to go elsewhere.
	MaxQueueShare float64
	MinQueueTime  time.Duration
	// BusyFactor is how much longer than without other requests an answer takes on busy engines.
	BusyFactor float64
	// MaxPart is the prefill time of one part above which a prompt is split into more parts, as far as MaxParts, MinPart
	// and the number of engines allow; longer parts would block an engine for too long.
	MaxPart time.Duration
	// PressureTime is the time constant of the moving average of prefill demand.
	PressureTime time.Duration
	// FreePressure is the prefill demand, as a share of the engines' capacity, up to which every prompt is admitted. Above
	// it, a prompt needs a minimum value per second of prefill, which rises to FullDensity (prompt tokens a second) at a
	// pressure of 1. Prefill work grows with the square of the prompt length, the value of a prompt does not.
	FreePressure float64
	FullDensity  float64
	// HoldShare is the share of the target latency for which a prompt below that minimum waits for lower pressure before it
	// is refused; a resubmitted prompt waits for the maximum queue time.
	HoldShare float64
	// UrgentShare is the share of the target latency below which the remaining time makes a request urgent; an urgent
	// request may lengthen the pauses of other streams.
	UrgentShare float64
	// Localizer decides when a request leaves its data centre; without costs of leaving, all data centres are alike.
	Localizer localizer.Settings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		PauseMargin: 15 * time.Millisecond,
		Transit:     6 * time.Millisecond,
		MaxParts:    16,
		MinPart:     40 * time.Millisecond,
		PartCost:    2 * time.Millisecond,
		SharedCost:  30 * time.Millisecond,
		// Between the tolerated pauses of two kinds of requests: short notes (250 ms) and histories (600 ms).
		ShortPause:      400 * time.Millisecond,
		ReserveCost:     10 * time.Millisecond,
		UnpackedCost:    120 * time.Millisecond,
		PackingShare:    0.5,
		MemoryShare:     0.97,
		MinBackoff:      500 * time.Millisecond,
		MaxBackoff:      8 * time.Second,
		FirstEventGrace: 1500 * time.Millisecond,
		MaxQueueShare:   1,
		MinQueueTime:    600 * time.Millisecond,
		BusyFactor:      1.5,
		MaxPart:         600 * time.Millisecond,
		PressureTime:    1500 * time.Millisecond,
		FreePressure:    0.45,
		FullDensity:     70_000,
		HoldShare:       0.12,
		UrgentShare:     0.4,
	}
}

// Engine is a model engine that may receive requests.
type Engine struct {
	ID         namer.Target
	Service    namer.Service
	Address    string
	DataCentre namer.DataCentre
	// Slots is the maximum number of requests that the engine answers at a time.
	Slots int
	// Started distinguishes two runs of an engine under the same ID.
	Started time.Time
	// Speed holds the published speed of the service's engines.
	Speed matcher.Engine
	// ColdUntil is the end of the engine's warm-up.
	ColdUntil time.Time
	// ColdRate is the maximum number of requests a second during warm-up; 0 means no limit.
	ColdRate float64
}

// Request is a prompt to be placed.
type Request struct {
	ID      namer.Request
	Service namer.Service
	// Customer is the customer whose request it is; it is empty if callers need no key.
	Customer namer.Customer
	// DataCentre is the data centre of the instance that has the caller's connection.
	DataCentre namer.DataCentre
	// Bytes is the length of the request's body.
	Bytes        int
	PromptTokens int
	OutputTokens int
	Arrived      time.Time
	// TargetLatency is the latency objective: the time from Arrived to the first event within which the answer has its full
	// value.
	TargetLatency time.Duration
	// MaxPause is the longest tolerated time between two events of the answer at full value; 0 means no limit.
	MaxPause time.Duration
	// Patience is the time from Arrived after which the caller disconnects if it has no event; 0 means that it waits until Deadline.
	Patience time.Duration
	Deadline time.Time
	// Priority orders the queue, and 0 is the most important: the customer's priority if it has one, otherwise that of the kind of request.
	Priority int
	// Rank is the priority of the kind of request, whoever's it is; lower ranks that have time yield to higher ones.
	Rank int
	// Exclude lists the engines that have already failed this request or want none from its instance.
	Exclude []namer.Target
	// Resubmitted is set if the request was refused before; its caller will not retry again.
	Resubmitted bool
	// Retried is set if the request was already sent to an engine; it is exempt from admission control and the queue time
	// limit.
	Retried bool
	// Age is the time from the caller's first attempt to Arrived, as far as it is known; 0 for a first attempt.
	Age time.Duration
	// obstacle is why the latest search found no engines, and nextSearch when the next one is due.
	obstacle Obstacle
	// kept is set if engines are kept for the rank.
	kept       bool
	nextSearch time.Time
}

// Placement describes the engines chosen for a request.
type Placement struct {
	Engine  namer.Target
	Address string
	Helpers []Helper
	// FirstEvent is the predicted time until the first event.
	FirstEvent time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Backlog is the predicted prefill time queued ahead of the request.
	Backlog time.Duration
	// Left is why the request left its data centre; it is empty if it didn't.
	Left localizer.Reason
	// Delayed is the number of shared prompts without a first event that get later by this placement.
	Delayed int
}

// Helper is an additional engine that prefills a part of the prompt.
type Helper struct {
	Engine  namer.Target
	Address string
	// Tokens is the memory to reserve there, in tokens; 0 means that the first engine stores this part, too.
	Tokens int
}

// Decision is the result of Decide for one request: Place or Refuse.
type Decision interface {
	decision()
}

// Place starts a request on the engines of its placement.
type Place struct {
	Request   namer.Request
	Placement Placement
}

// Refuse rejects a request that has not been sent to an engine.
type Refuse struct {
	Request namer.Request
	Reason  RefuseReason
	// RetryAfter is the suggested delay before a retry, 0 if there is none.
	RetryAfter time.Duration
	Waited     time.Duration
	// Queued is the length of the queue.
	Queued int
	// Engines is the number of engines, and Pressure the prefill demand as a share of their capacity.
	Engines  int
	Pressure float64
	// Obstacle is why the latest search found no engines; it is empty if there was none.
	Obstacle Obstacle
	// Limit is what ended the wait in the queue; it is empty for other reasons than Overload.
	Limit Limit
}

// Limit is what ends a request's wait in the queue.
type Limit string

// Limits of the wait in the queue.
const (
	// LimitValue means that the value of the prompt for its prefill time was too low at the pressure.
	LimitValue Limit = "value"
	// LimitTime means that no engines were found within the queue time limit.
	LimitTime Limit = "time"
)

// Obstacle is why no engines were found for a request.
type Obstacle string

// Obstacles of a request.
const (
	// ObstacleEngines means that too few engines are usable, or may help.
	ObstacleEngines Obstacle = "engines"
	// ObstacleRoom means that the engines lack free slots or memory.
	ObstacleRoom Obstacle = "room"
	// ObstaclePauses means that other requests would lose more value than the request has.
	ObstaclePauses Obstacle = "pauses"
	// ObstaclePatience means that the caller would disconnect before the first event, or the answer could not end by its deadline.
	ObstaclePatience Obstacle = "patience"
)

func (Place) decision()  {}
func (Refuse) decision() {}

// RefuseReason is the reason for a refusal.
type RefuseReason string

// Reasons for refusing a request.
const (
	// NoEngine means that the service has no usable engine.
	NoEngine RefuseReason = "no_engine"
	// TooLarge means that the engines together lack the memory for the request.
	TooLarge RefuseReason = "too_large"
	// TooLate means that the deadline has passed, or the caller has disconnected.
	TooLate RefuseReason = "too_late"
	// Overload means that the request exceeded its queue time limit or was rejected by admission control.
	Overload RefuseReason = "overload"
	// CrashesEngines means that the prompt has a part on which engines crash.
	CrashesEngines RefuseReason = "crashes_engines"
)

// Outcome is how a request ended on its engines.
type Outcome int

// Outcomes of a request.
const (
	// Finished means that the answer is complete.
	Finished Outcome = iota
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
	// Failed means that the engine aborted the answer or sent none.
	Failed
	// Rejected means that the engine did not run the request.
	Rejected
)
