package admitter

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Settings are the constants of admission.
type Settings struct {
	// QueueLength bounds the queued requests of a model.
	QueueLength int
	// RaiseShare is the used share of a request's time after which it is raised by one level.
	RaiseShare float64
	// WaitShare is the used share of a request's slack after which its reservation may wait at an
	// owner.
	WaitShare float64
	// MaxReserveWait bounds the wait of one reservation.
	MaxReserveWait time.Duration
	// Margin is the factor on predicted run times for the deadline.
	Margin float64
	// FlowsTried bounds the customers tried per class when the first ones can't be placed.
	FlowsTried int
	// RetryAfterMinimum and RetryAfterMaximum bound what callers are told.
	RetryAfterMinimum time.Duration
	RetryAfterMaximum time.Duration
	// QuotaWait is the time in which quotas move to the instances and targets with demand; up to
	// QuotaQueue requests of a class are expected to be placed within it.
	QuotaWait  time.Duration
	QuotaQueue int
	// Backoff is the pause after an owner declined a reservation.
	Backoff time.Duration
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{
		QueueLength:       1_000,
		RaiseShare:        0.75,
		WaitShare:         0.25,
		MaxReserveWait:    5 * time.Second,
		Margin:            1.0,
		FlowsTried:        4,
		RetryAfterMinimum: 100 * time.Millisecond,
		RetryAfterMaximum: time.Minute,
		QuotaWait:         3 * time.Second,
		QuotaQueue:        16,
		Backoff:           50 * time.Millisecond,
	}
}

// Limits are those of one customer over all instances; zero means no limit.
type Limits struct {
	Weight            float64
	RequestsPerSecond float64
	Concurrency       int
}

// Placer chooses a target.
type Placer interface {
	Place(now time.Time, r placer.Request) placer.Decision
}

// Request is a request with the terms it was sent under.
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

// Admit starts a request; the decision is a placer.Chosen or a placer.Group.
type Admit struct {
	Request  Request
	Decision placer.Decision
	// Priority is the one to send to the engine; 0 is the highest.
	Priority int
	// ReserveWait is how long a reservation may wait at the owner.
	ReserveWait time.Duration
}

// Queue keeps a request for later.
type Queue struct {
	Request       Request
	PredictedWait time.Duration
}

// Refuse ends a request that did not run.
type Refuse struct {
	Request Request
	Refusal *refuser.Refusal
}

func (Admit) action()  {}
func (Queue) action()  {}
func (Refuse) action() {}

// New returns an admitter without customers.
func New(settings Settings, places Placer) *Admitter {
	return &Admitter{
		settings:  settings,
		places:    places,
		instances: 1,
		customers: map[namer.Customer]*customer{},
		models:    map[namer.Model]*model{},
		running:   map[namer.Request]*run{},
	}
}
