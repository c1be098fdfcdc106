package storer

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// View is a snapshot of a watcher's cache. Objects must not be modified.
type View struct {
	Objects map[string]Object
	Version versioner.Version
	// Listed is set once the first list has succeeded.
	Listed bool
	// Age is the time since the last successful list or watch.
	Age time.Duration
}

// WatcherSettings configure a watcher.
type WatcherSettings struct {
	Kind Kind
	// Prefix limits the cache to names that start with it.
	Prefix string
	// Wait is how long one watch call waits for changes. View.Age reaches it while there are none, and a connection
	// that stops responding delays changes by Wait plus the timeout of the call.
	Wait time.Duration
	// OnEvent, if set, is called with each change in order, on the goroutine of Run.
	OnEvent func(Event)
	// Initial are objects that the caller already has from another source; the first list delivers only the differences.
	Initial map[string]Object
	// OnResult, if set, is called with the error of each call, or nil, on the goroutine of Run. A CompactedError is not
	// reported.
	OnResult func(error)
}

// probeWait is the wait of the first watch after a failure. With the usual wait, the recovery of a store without changes
// would be noticed only after that wait.
const probeWait = time.Millisecond

// Watcher keeps a cache of the objects of one kind up to date by listing and watching.
type Watcher struct {
	client   *Client
	settings WatcherSettings
	// lastCallFailed is used only by the goroutine of Run.
	lastCallFailed bool

	mu    sync.Mutex
	cache cache
	// confirmedAt is the time of the last successful list or watch.
	confirmedAt time.Time
}

// NewWatcher returns a watcher that is idle until Run is called.
func NewWatcher(client *Client, settings WatcherSettings) *Watcher {
	return &Watcher{
		client:   client,
		settings: settings,
		cache: cache{
			objects: settings.Initial,
		},
	}
}

// Run lists once and then watches until the context ends. It lists again if the store has compacted events that the
// watcher has not seen, or was restored from a copy.
func (w *Watcher) Run(ctx context.Context) {
	failures := 0
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = w.watch(ctx)
		} else {
			err = w.list(ctx)
		}
		var gap *CompactedError
		if w.settings.OnResult != nil && !errors.As(err, &gap) {
			w.settings.OnResult(err)
		}
		switch {
		case errors.As(err, &gap):
			listed = false
		case err != nil:
			failures++
			w.lastCallFailed = true
			delay := w.client.settings.Retry.delay(failures, w.client.randomFraction())
			// sleep fails only if the context has ended, which the loop checks.
			_ = w.client.sleep(ctx, delay)
		default:
			listed = true
			failures = 0
			w.lastCallFailed = false
		}
	}
}

// Read returns a snapshot of the cache and its age. It is safe for concurrent use.
func (w *Watcher) Read() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := View{
		Objects: w.cache.objects,
		Version: w.cache.version,
		Listed:  !w.confirmedAt.IsZero(),
	}
	if view.Listed {
		view.Age = w.client.clock.Now().Sub(w.confirmedAt)
	}
	return view
}

func (w *Watcher) list(ctx context.Context) error {
	listing, err := w.client.ListAll(ctx, PriorityControl, w.settings.Kind, w.settings.Prefix)
	if err != nil {
		return err
	}
	w.update(func(c *cache) []Event {
		return c.relist(listing)
	})
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	wait := w.settings.Wait
	if w.lastCallFailed {
		wait = probeWait
	}
	after := w.Read().Version
	changes, err := w.client.Watch(ctx, w.settings.Kind, after, wait)
	if err != nil {
		return err
	}
	if changes.Era != after.Era {
		// The store's counter may have passed the version again, with other events.
		return &CompactedError{
			After: after,
		}
	}
	w.update(func(c *cache) []Event {
		return c.apply(w.filterByPrefix(changes))
	})
	return nil
}

// filterByPrefix drops the events of objects whose names do not start with the prefix of the settings.
func (w *Watcher) filterByPrefix(changes Changes) Changes {
	kept := Changes{
		Version: changes.Version,
	}
	for _, e := range changes.Events {
		if strings.HasPrefix(e.Object.Name, w.settings.Prefix) {
			kept.Events = append(kept.Events, e)
		}
	}
	return kept
}

// update changes the cache and then delivers the resulting events outside the lock.
func (w *Watcher) update(change func(*cache) []Event) {
	w.mu.Lock()
	events := change(&w.cache)
	w.confirmedAt = w.client.clock.Now()
	w.mu.Unlock()
	if w.settings.OnEvent == nil {
		return
	}
	for _, e := range events {
		w.settings.OnEvent(e)
	}
}
