package reconciler

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

// Bucket limits how often the weight store is used; limiter.Bucket implements it.
type Bucket interface {
	Take(reserve float64, now time.Time) bool
}

// Settings configure a reconciler.
type Settings struct {
	// AnswerTimeout is how long an order may be unanswered before it is repeated.
	AnswerTimeout time.Duration
	// BackoffBase and BackoffMax bound the wait of a target after a failed or lost order.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultSettings returns the settings of today's deployment.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout: 30 * time.Second,
		BackoffBase:   time.Second,
		BackoffMax:    60 * time.Second,
	}
}

// LoadsPerSecond is the rate of the weight store for one cell: one load per 10 s.
const LoadsPerSecond = 0.1

// Action is what a reconciler asks its caller to do.
type Action interface{ action() }

// SendOrder sends an order to a target once; the outcome goes to Finish with the same number.
type SendOrder struct {
	Target namer.Target
	Epoch  namer.Epoch
	Order  roller.Order
	Number int64
}

// ReportStale says that the target rejected this owner's epoch: it no longer owns the target.
type ReportStale struct {
	Target namer.Target
	Epoch  namer.Epoch
}

func (SendOrder) action()   {}
func (ReportStale) action() {}

// Result is the outcome of an order.
type Result int

// The outcomes of orders.
const (
	// ResultDone means that the target accepted the order.
	ResultDone Result = iota
	// ResultLost means that no answer came; the order may have taken effect.
	ResultLost
	// ResultFailed means that the target answered with an error.
	ResultFailed
	// ResultStale means that the target rejected the epoch.
	ResultStale
)

// Reconciler decides which order each owned target gets next.
type Reconciler struct {
	settings Settings
}

// New returns a reconciler that owns no target; bucket limits loads from the weight store.
func New(settings Settings, _ Bucket) *Reconciler {
	return &Reconciler{
		settings: settings,
	}
}

// Want replaces the wanted state of all targets.
func (r *Reconciler) Want(_ map[namer.Target][]roller.Order, _ time.Time) []Action { return nil }

// Own notes that this instance owns the target at an epoch.
func (r *Reconciler) Own(_ namer.Target, _ namer.Epoch, _ time.Time) []Action { return nil }

// Disown notes that this instance does not own the target any more.
func (r *Reconciler) Disown(_ namer.Target) {}

// ObserveBoot takes the boot id in a target's load report; a new boot forgets what the target had confirmed.
func (r *Reconciler) ObserveBoot(_ namer.Target, _ string, _ time.Time) []Action { return nil }

// Finish takes the outcome of the order with the number.
func (r *Reconciler) Finish(_ namer.Target, _ int64, _ Result, _ time.Time) []Action { return nil }

// Tick sends what has become due.
func (r *Reconciler) Tick(_ time.Time) []Action { return nil }

// Missing returns how many wanted orders the owned targets have not confirmed.
func (r *Reconciler) Missing() int { return 0 }
