package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/limiter"
	"bergamothollow.example/bergamothollow/pkg/timer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// Priority decides which calls may use the last part of the call budget.
type Priority int

// The priorities of calls.
const (
	// PriorityControl is for membership, ownership, departures and bundles. These calls may use the whole budget.
	PriorityControl Priority = iota
	// PriorityNormal is for call records, refusal records and operators' queries. These calls leave ControlReserve.
	PriorityNormal
)

// ClientSettings configure a client.
type ClientSettings struct {
	CallsPerSecond float64
	Burst          float64
	// ControlReserve is the number of tokens that normal calls leave for control calls.
	ControlReserve float64
	// BudgetWait is how long a call waits for a token before it fails with a BudgetError.
	BudgetWait time.Duration
	// ListPage is the number of objects read by one list call.
	ListPage int
	Retry    RetryPolicy
}

// DefaultClientSettings returns the settings for a budget of calls per second.
func DefaultClientSettings(callsPerSecond float64) ClientSettings {
	return ClientSettings{
		CallsPerSecond: callsPerSecond,
		Burst:          max(2*callsPerSecond, minBurst),
		ControlReserve: callsPerSecond / 2,
		BudgetWait:     500 * time.Millisecond,
		ListPage:       500,
		Retry:          DefaultRetryPolicy(),
	}
}

// minBurst is the smallest burst in tokens; it leaves normal calls a token above the reserve even at very low rates.
const minBurst = 4

// BudgetError means that the call was not sent because the instance's call budget is used up.
type BudgetError struct {
	Verb string
}

// Error says how to raise the budget.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("call budget of the platform's store is used up: %s was not sent; try later or raise platform.calls_per_second", e.Verb)
}

// UnresolvedError means that a write may or may not have taken effect because the object could not be read back.
type UnresolvedError struct {
	Kind  Kind
	Name  string
	Cause error
}

// Error names the object and says what to do.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("write of %s %q may have taken effect: read it before writing again: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error {
	return e.Cause
}

// unresponsiveAfter is the time without a response after which the platform counts as down.
const unresponsiveAfter = 5 * time.Second

// Counters count the calls by verb, the retries, the failures by cause and the calls refused for the budget.
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

// Client calls a Store within a call budget, retries failed calls, and reads an object back if the response to its write
// was lost. It is safe for concurrent use.
type Client struct {
	store    Store
	settings ClientSettings
	clock    timer.Clock

	mu           sync.Mutex
	random       *rand.Rand
	bucket       *limiter.Bucket
	counters     Counters
	lastResponse time.Time
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

// LastResponse returns the time of the last response from the store, or the zero time if there was none.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse
}

// WithoutRetry returns a Store that makes each call once, without retries, within the budget of the client.
func (c *Client) WithoutRetry(priority Priority) Store {
	return &singleAttempt{
		client:   c,
		priority: priority,
	}
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, priority Priority, kind Kind, name string) (Object, error) {
	return retryRead(ctx, c, func() (Object, error) {
		return c.WithoutRetry(priority).Get(ctx, kind, name)
	})
}

// Create writes the value if no object has the name. After a lost response isOwnWrite tells whether the stored value is
// this write.
func (c *Client) Create(ctx context.Context, priority Priority, kind Kind, name string, value json.RawMessage, isOwnWrite IsOwnWrite) (versioner.Version, error) {
	store := c.WithoutRetry(priority)
	w := write{
		client: c,
		store:  store,
		kind:   kind,
		name:   name,
		send: func() (versioner.Version, error) {
			return store.Create(ctx, kind, name, value)
		},
		isOwnWrite: isOwnWrite,
	}
	return w.run(ctx)
}

// Update writes the value if the object still has the version. After a lost response isOwnWrite tells whether the stored
// value is this write.
func (c *Client) Update(ctx context.Context, priority Priority, kind Kind, name string, version versioner.Version, value json.RawMessage, isOwnWrite IsOwnWrite) (versioner.Version, error) {
	store := c.WithoutRetry(priority)
	w := write{
		client:          c,
		store:           store,
		kind:            kind,
		name:            name,
		expectedVersion: version,
		send: func() (versioner.Version, error) {
			return store.Update(ctx, kind, name, version, value)
		},
		isOwnWrite: isOwnWrite,
	}
	return w.run(ctx)
}

// Delete removes the object if it still has the version; it succeeds if the object does not exist.
func (c *Client) Delete(ctx context.Context, priority Priority, kind Kind, name string, version versioner.Version) error {
	store := c.WithoutRetry(priority)
	w := write{
		client:          c,
		store:           store,
		kind:            kind,
		name:            name,
		expectedVersion: version,
		isDelete:        true,
		send: func() (versioner.Version, error) {
			return versioner.Version{}, store.Delete(ctx, kind, name, version)
		},
	}
	_, err := w.run(ctx)
	return err
}

// ListAll reads all objects of a kind whose names start with prefix. The version is that of the first page, so that a
// watch from it misses no change made while later pages were read.
func (c *Client) ListAll(ctx context.Context, priority Priority, kind Kind, prefix string) (Listing, error) {
	var all Listing
	after := ""
	for {
		page, err := retryRead(ctx, c, func() (Listing, error) {
			return c.WithoutRetry(priority).List(ctx, kind, prefix, after, c.settings.ListPage)
		})
		if err != nil {
			return Listing{}, err
		}
		if after == "" {
			all.Version = page.Version
		}
		if page.Era != all.Era {
			// The store was restored between two pages.
			all, after = Listing{}, ""
			continue
		}
		all.Items = append(all.Items, page.Items...)
		if len(page.Items) < c.settings.ListPage {
			return all, nil
		}
		after = page.Items[len(page.Items)-1].Name
	}
}

// Watch waits for changes of a kind after a version. It is not retried; Watcher does that.
func (c *Client) Watch(ctx context.Context, kind Kind, after versioner.Version, wait time.Duration) (Changes, error) {
	return c.WithoutRetry(PriorityControl).Watch(ctx, kind, after, wait)
}

// Instances reads the platform's list of instances, which may be out of date.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	return retryRead(ctx, c, func() ([]ListedInstance, error) {
		return c.WithoutRetry(PriorityControl).Instances(ctx)
	})
}

func retryRead[V any](ctx context.Context, c *Client, read func() (V, error)) (V, error) {
	for attempt := 1; ; attempt++ {
		v, err := read()
		if err == nil {
			return v, nil
		}
		retry, retriable := c.settings.Retry.Decide(attempt, false, err, c.randomFraction()).(Retry)
		if !retriable || c.unresponsive() || c.sleep(ctx, retry.Delay) != nil {
			return v, err
		}
		c.count(func(n *Counters) { n.Retries++ })
	}
}

// unresponsive reports whether the platform has responded before but not within unresponsiveAfter. Reads are not retried
// then: the important ones are repeated on a schedule, and retries by the whole fleet would multiply the calls during an
// outage.
func (c *Client) unresponsive() bool {
	lastResponse := c.LastResponse()
	return !lastResponse.IsZero() && c.clock.Now().Sub(lastResponse) > unresponsiveAfter
}

// acquire takes one token of the call budget. It waits up to BudgetWait and fails with a BudgetError.
func (c *Client) acquire(ctx context.Context, priority Priority, verb string) error {
	reserve := c.settings.ControlReserve
	if priority == PriorityControl {
		reserve = 0
	}
	deadline := c.clock.Now().Add(c.settings.BudgetWait)
	for {
		wait, acquired := c.tryAcquire(reserve)
		if acquired {
			return nil
		}
		if wait > deadline.Sub(c.clock.Now()) {
			c.count(func(n *Counters) { n.BudgetRefusals++ })
			return &BudgetError{
				Verb: verb,
			}
		}
		if err := c.sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// tryAcquire takes a token or returns how long to wait for one.
func (c *Client) tryAcquire(reserve float64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.bucket.Take(reserve, now) {
		return 0, true
	}
	return c.bucket.Wait(reserve, now), false
}

func (c *Client) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.clock.After(d):
		return nil
	}
}

func (c *Client) randomFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *Client) count(change func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counters)
}

// recordResult counts the result of a call. Any response, a refusal included, shows that the store is reachable.
func (c *Client) recordResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unavailable *UnavailableError
	var throttled *ThrottledError
	var conflict *ConflictError
	switch {
	case errors.As(err, &unavailable):
		c.counters.Unavailable++
		return
	case errors.As(err, &throttled):
		c.counters.Throttled++
	case errors.As(err, &conflict):
		c.counters.Conflicts++
	}
	c.lastResponse = c.clock.Now()
}
