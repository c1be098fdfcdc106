package admitter

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Settings configure the admission control.
type Settings struct {
	// QueueLength is the maximum number of queued requests of a model.
	QueueLength int
	// RaiseShare is the used share of a request's time from which its priority is raised by one level.
	RaiseShare float64
	// WaitShare is the used share of a request's slack from which its reservation may wait at a
	// target's owner.
	WaitShare float64
	// MaxReserveWait is the longest wait of a reservation.
	MaxReserveWait time.Duration
	// RunTimeFactor multiplies predicted run times where they are compared with the deadline.
	RunTimeFactor float64
	// FlowsTried is the maximum number of customers tried per class while their requests can't be placed.
	FlowsTried int
	// RetryAfterMinimum and RetryAfterMaximum bound the retry delay in refusals.
	RetryAfterMinimum time.Duration
	RetryAfterMaximum time.Duration
	// QuotaWait is the time until quotas have moved to the instances and targets with demand; a queue of fewer than
	// QuotaQueue requests of a class is predicted to wait no longer for memory.
	QuotaWait  time.Duration
	QuotaQueue int
	// Backoff is the delay before a request is tried again after a target's owner declined its reservation.
	Backoff time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		QueueLength:       1_000,
		RaiseShare:        0.75,
		WaitShare:         0.25,
		MaxReserveWait:    5 * time.Second,
		RunTimeFactor:     1.0,
		FlowsTried:        4,
		RetryAfterMinimum: 100 * time.Millisecond,
		RetryAfterMaximum: time.Minute,
		QuotaWait:         3 * time.Second,
		QuotaQueue:        16,
		Backoff:           50 * time.Millisecond,
	}
}

// Limits are the weight and the limits of one customer over all instances; a limit of zero means unlimited.
type Limits struct {
	Weight            float64
	RequestsPerSecond float64
	Concurrency       int
}

// Placer chooses a target.
type Placer interface {
	Place(now time.Time, r placer.Request) placer.Decision
}

// Request is a request with its customer, arrival time and deadline.
type Request struct {
	placer.Request
	Customer namer.Customer
	Arrived  time.Time
	Deadline time.Time
}

// Action is the result of Submit and Next: Admit, Queue or Refuse.
type Action interface {
	action()
}

// Admit starts a request; Decision is a placer.SingleTarget or a placer.Group.
type Admit struct {
	Request  Request
	Decision placer.Decision
	// Priority is the priority to send to the engine; 0 is the highest.
	Priority int
	// ReserveWait is the longest wait of the reservation at the target's owner.
	ReserveWait time.Duration
}

// Queue reports that a request was queued.
type Queue struct {
	Request       Request
	PredictedWait time.Duration
}

// Refuse reports that a request was refused without being run.
type Refuse struct {
	Request Request
	Refusal *refuser.Refusal
}

func (Admit) action()  {}
func (Queue) action()  {}
func (Refuse) action() {}

// New returns an admitter without customers.
func New(settings Settings, targetPlacer Placer) *Admitter {
	return &Admitter{
		settings:  settings,
		placer:    targetPlacer,
		instances: 1,
		customers: map[namer.Customer]*customer{},
		models:    map[namer.Model]*modelQueues{},
		running:   map[namer.Request]*run{},
	}
}
