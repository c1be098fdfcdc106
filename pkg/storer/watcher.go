package storer

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"
)

// View is a copy of a cache at one moment; Objects must not be changed.
type View struct {
	Objects map[string]Object
	Version int64
	// Known is false until the first list.
	Known bool
	// Age is the time since the store last confirmed the cache.
	Age time.Duration
}

// WatcherSettings configure a watcher.
type WatcherSettings struct {
	Kind Kind
	// Prefix limits the cache to names that start with it.
	Prefix string
	// Wait is how long one watch call waits for changes. An idle cache becomes this old, and a connection that stops
	// responding delays changes by this time and the call's timeout.
	Wait time.Duration
	// Deliver, if set, receives each change in order, on the goroutine of Run.
	Deliver func(Event)
	// Known are objects that are known from elsewhere: the first list delivers only what differs from them.
	Known map[string]Object
	// Report, if set, receives the error of each call, or nil, on the goroutine of Run.
	Report func(error)
}

// probeWait is the wait of a watch after a failure: with the usual one, the return of an idle store would be noticed only
// when that wait is over.
const probeWait = time.Millisecond

// Watcher follows one kind of object and keeps a cache of it.
type Watcher struct {
	client   *Client
	settings WatcherSettings
	// suspicious is set while the last call has failed; it belongs to the goroutine of Run.
	suspicious bool

	mu        sync.Mutex
	cache     cache
	confirmed time.Time
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(client *Client, settings WatcherSettings) *Watcher {
	return &Watcher{
		client:   client,
		settings: settings,
		cache: cache{
			objects: settings.Known,
		},
	}
}

// Run lists and watches until the context ends.
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
		if w.settings.Report != nil && !errors.As(err, &gap) {
			w.settings.Report(err)
		}
		switch {
		case errors.As(err, &gap):
			listed = false
		case err != nil:
			failures++
			w.suspicious = true
			delay := w.client.settings.Retry.delay(failures, w.client.roll())
			// An error here means that the context has ended, which the loop checks.
			_ = w.client.sleep(ctx, delay)
		default:
			listed = true
			failures = 0
			w.suspicious = false
		}
	}
}

// Read returns the cache and its age; it may be called from any goroutine.
func (w *Watcher) Read() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := View{
		Objects: w.cache.objects,
		Version: w.cache.version,
		Known:   !w.confirmed.IsZero(),
	}
	if view.Known {
		view.Age = w.client.clock.Now().Sub(w.confirmed)
	}
	return view
}

func (w *Watcher) list(ctx context.Context) error {
	listing, err := w.client.ListAll(ctx, PriorityControl, w.settings.Kind, w.settings.Prefix)
	if err != nil {
		return err
	}
	w.take(func(c *cache) []Event {
		return c.relist(listing)
	})
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	wait := w.settings.Wait
	if w.suspicious {
		wait = probeWait
	}
	changes, err := w.client.Watch(ctx, w.settings.Kind, w.Read().Version, wait)
	if err != nil {
		return err
	}
	w.take(func(c *cache) []Event {
		return c.apply(w.own(changes))
	})
	return nil
}

// own keeps the events whose names have the prefix.
func (w *Watcher) own(changes Changes) Changes {
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

func (w *Watcher) take(change func(*cache) []Event) {
	w.mu.Lock()
	events := change(&w.cache)
	w.confirmed = w.client.clock.Now()
	w.mu.Unlock()
	if w.settings.Deliver == nil {
		return
	}
	for _, e := range events {
		w.settings.Deliver(e)
	}
}
