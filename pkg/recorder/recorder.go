package recorder

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Settings configure a recorder.
type Settings struct {
	Holder namer.Holder
	// FlushInterval is the longest time that a record waits in an open batch.
	FlushInterval time.Duration
	// FlushBytes closes a batch of this size at once.
	FlushBytes int
	// MemoryBytes bounds the records kept while the store is down.
	MemoryBytes int
	// RetryInterval is the time between attempts to write a batch.
	RetryInterval time.Duration
}

// DefaultSettings returns the settings of today's deployment.
func DefaultSettings(holder namer.Holder) Settings {
	return Settings{
		Holder:        holder,
		FlushInterval: 2 * time.Second,
		FlushBytes:    256 << 10,
		MemoryBytes:   8 << 20,
		RetryInterval: time.Second,
	}
}

// Action is what a recorder asks its caller to do.
type Action interface{ action() }

// WriteBatch creates refusal/<name>; the outcome goes to Finish. A conflict means that the batch is stored already.
type WriteBatch struct {
	Number int64
	Name   string
	Value  []byte
}

func (WriteBatch) action() {}

// Batch is the value of one object of kind refusal.
type Batch struct {
	Writer      namer.Holder     `json:"writer"`
	WriteNumber int64            `json:"write_number"`
	Records     []refuser.Record `json:"records"`
	Aggregates  []Aggregate      `json:"aggregates,omitempty"`
}

// Aggregate counts records that were dropped to stay within the memory bound.
type Aggregate struct {
	Customer namer.Customer `json:"customer"`
	Reason   refuser.Reason `json:"reason"`
	Count    int            `json:"count"`
	First    time.Time      `json:"first"`
	Last     time.Time      `json:"last"`
}

// Recorder decides when refusal records are written.
type Recorder struct {
	settings Settings
}

// New returns a recorder without records.
func New(settings Settings, _ time.Time) *Recorder {
	return &Recorder{
		settings: settings,
	}
}

// Add takes a refusal and returns the id that its caller is told.
func (r *Recorder) Add(_ refuser.Record, _ time.Time) (string, []Action) { return "", nil }

// Finish takes the outcome of a write.
func (r *Recorder) Finish(_ int64, _ bool, _ time.Time) []Action { return nil }

// Tick writes what has become due.
func (r *Recorder) Tick(_ time.Time) []Action { return nil }

// Close writes everything at once, for a planned stop; Pending tells when it is done.
func (r *Recorder) Close(_ time.Time) []Action { return nil }

// Pending returns the bytes that are not yet known to be stored.
func (r *Recorder) Pending() int { return 0 }

// Filter selects records; empty fields select all.
type Filter struct {
	Customer namer.Customer
	Since    time.Time
	Reason   refuser.Reason
}

// Select returns the records and aggregates of a batch that the filter matches.
func (f Filter) Select(b Batch) ([]refuser.Record, []Aggregate) { return b.Records, b.Aggregates }

// BatchName returns the name of the object that holds the record with the id.
func BatchName(_ string) (string, error) { return "", nil }
