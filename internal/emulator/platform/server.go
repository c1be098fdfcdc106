package platform

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	maxValueBytes = 1 << 20
	maxWatchWait  = time.Minute
)

// Options are the settings of the emulator.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	InstancesLag    time.Duration
	Clock           timer.Clock
}

// Faults are the injected faults; a request to /admin/faults replaces all of them.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// DelayMS delays each call before it takes effect.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of next writes that take effect but get no response.
	LoseAnswers int `json:"lose_answers"`
	// Compact drops the watch history once.
	Compact bool `json:"compact"`
}

// Platform serves the object API.
type Platform struct {
	store *Store
	clock timer.Clock

	mu     sync.Mutex
	faults Faults
	writes rateLimiter
	reads  rateLimiter
	roster roster
	counts map[string]int
}

// New returns a platform with an empty store.
func New(o Options) *Platform {
	return &Platform{
		store: NewStore(),
		clock: o.Clock,
		writes: rateLimiter{
			perSecond: o.WritesPerSecond,
		},
		reads: rateLimiter{
			perSecond: o.ReadsPerSecond,
		},
		roster: roster{
			lag:    o.InstancesLag,
			states: map[namer.Instance]storer.InstanceState{},
		},
		counts: map[string]int{},
	}
}

// Register adds the routes.
func (p *Platform) Register(r route.IRoutes) {
	r.GET("/v1/objects/:kind", p.guard("list", &p.reads, p.list))
	r.GET("/v1/objects/:kind/*name", p.guard("get", &p.reads, p.get))
	r.PUT("/v1/objects/:kind/*name", p.guard("put", &p.writes, p.put))
	r.DELETE("/v1/objects/:kind/*name", p.guard("delete", &p.writes, p.remove))
	r.GET("/v1/watch/:kind", p.guard("watch", &p.reads, p.watch))
	r.GET("/v1/instances", p.guard("instances", &p.reads, p.instances))
	r.POST("/admin/faults", p.setFaults)
	r.GET("/admin/counts", p.readCounts)
	r.PUT("/admin/instances/:instance", p.setInstance)
}

// guard is middleware that counts the call and applies the injected delay, the injected outage and the rate limit.
func (p *Platform) guard(verb string, l *rateLimiter, handle app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		p.mu.Lock()
		p.counts[verb]++
		delay := time.Duration(p.faults.DelayMS) * time.Millisecond
		p.mu.Unlock()
		if delay > 0 {
			<-p.clock.After(delay)
		}
		switch status := p.admit(l); status {
		case http.StatusOK:
			handle(ctx, c)
		case http.StatusTooManyRequests:
			c.Header("Retry-After", "1")
			runner.RespondError(c, status, "too many calls in this second")
		default:
			runner.RespondError(c, status, "the store is down")
		}
	}
}

func (p *Platform) admit(l *rateLimiter) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		p.counts["unavailable"]++
		return http.StatusServiceUnavailable
	}
	if !l.allow(p.clock.Now()) {
		p.counts["throttled"]++
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (p *Platform) get(_ context.Context, c *app.RequestContext) {
	object, err := p.store.Get(objectKey(c))
	if err != nil {
		respondFailure(c, err)
		return
	}
	runner.Respond(c, http.StatusOK, object)
}

func (p *Platform) put(_ context.Context, c *app.RequestContext) {
	version, ok := expectedVersion(c)
	if !ok {
		runner.RespondError(c, http.StatusPreconditionRequired, "send If-None-Match: * or If-Match: <version>")
		return
	}
	body := c.Request.Body()
	if len(body) > maxValueBytes {
		runner.RespondError(c, http.StatusRequestEntityTooLarge, "the value is larger than 1 MB")
		return
	}
	if !json.Valid(body) {
		runner.RespondError(c, http.StatusBadRequest, "the value is not JSON")
		return
	}
	kind, name := objectKey(c)
	written, err := p.store.Put(kind, name, version, append(json.RawMessage{}, body...))
	p.respondWrite(c, written, err)
}

func (p *Platform) remove(_ context.Context, c *app.RequestContext) {
	version, ok := expectedVersion(c)
	if !ok || version == 0 {
		runner.RespondError(c, http.StatusPreconditionRequired, "send If-Match: <version>")
		return
	}
	kind, name := objectKey(c)
	written, err := p.store.Delete(kind, name, version)
	p.respondWrite(c, written, err)
}

func (p *Platform) list(_ context.Context, c *app.RequestContext) {
	limit, _ := strconv.Atoi(c.Query("limit"))
	runner.Respond(c, http.StatusOK, p.store.List(storer.Kind(c.Param("kind")), c.Query("prefix"), c.Query("after"), limit))
}

func (p *Platform) watch(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	if err != nil {
		runner.RespondError(c, http.StatusBadRequest, "send after=<version>")
		return
	}
	milliseconds, _ := strconv.Atoi(c.Query("timeout_ms"))
	timeout := p.clock.After(min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait))
	for waiting := true; ; {
		changes, changed, err := p.store.Changes(storer.Kind(c.Param("kind")), after)
		if err != nil {
			respondFailure(c, err)
			return
		}
		if len(changes.Events) > 0 || !waiting {
			runner.Respond(c, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return
		}
		if p.isDown() {
			runner.RespondError(c, http.StatusServiceUnavailable, "the store is down")
			return
		}
	}
}

func (p *Platform) instances(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	listed := p.roster.list(p.clock.Now())
	p.mu.Unlock()
	runner.Respond(c, http.StatusOK, map[string]any{
		"instances": listed,
	})
}

func (p *Platform) setFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
		runner.RespondError(c, http.StatusBadRequest, err.Error())
		return
	}
	p.SetFaults(faults)
	runner.Respond(c, http.StatusOK, faults)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	if faults.Compact {
		p.store.Compact()
	}
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	p.store.Wake()
}

// Counts returns the number of calls by verb.
func (p *Platform) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counts)
}

func (p *Platform) readCounts(_ context.Context, c *app.RequestContext) {
	runner.Respond(c, http.StatusOK, p.Counts())
}

func (p *Platform) setInstance(_ context.Context, c *app.RequestContext) {
	var entry storer.ListedInstance
	if err := json.Unmarshal(c.Request.Body(), &entry); err != nil {
		runner.RespondError(c, http.StatusBadRequest, err.Error())
		return
	}
	switch entry.State {
	case storer.InstanceLive, storer.InstanceLeaving, stateGone:
	default:
		runner.RespondError(c, http.StatusBadRequest, "state is live, leaving or gone")
		return
	}
	entry.Instance = namer.Instance(c.Param("instance"))
	p.mu.Lock()
	p.roster.set(p.clock.Now(), entry.Instance, entry.State)
	p.mu.Unlock()
	runner.Respond(c, http.StatusOK, entry)
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Down
}

// consumeLostAnswer reports whether the response to a write that took effect must be dropped, and counts down LoseAnswers.
func (p *Platform) consumeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) respondWrite(c *app.RequestContext, version int64, err error) {
	if err != nil {
		respondFailure(c, err)
		return
	}
	if p.consumeLostAnswer() {
		runner.Drop(c)
		return
	}
	runner.Respond(c, http.StatusOK, map[string]int64{
		"version": version,
	})
}

func respondFailure(c *app.RequestContext, err error) {
	var (
		missing   *storer.NotFoundError
		conflict  *storer.ConflictError
		compacted *storer.CompactedError
	)
	switch {
	case errors.As(err, &missing):
		runner.RespondError(c, http.StatusNotFound, err.Error())
	case errors.As(err, &conflict) && !conflict.Current.Exists():
		c.Status(http.StatusPreconditionFailed)
	case errors.As(err, &conflict):
		runner.Respond(c, http.StatusPreconditionFailed, conflict.Current)
	case errors.As(err, &compacted):
		runner.RespondError(c, http.StatusGone, err.Error())
	default:
		runner.RespondError(c, http.StatusInternalServerError, err.Error())
	}
}

func objectKey(c *app.RequestContext) (storer.Kind, string) {
	return storer.Kind(c.Param("kind")), strings.TrimPrefix(c.Param("name"), "/")
}

// expectedVersion reads the precondition headers; version 0 requires that no object has the name.
func expectedVersion(c *app.RequestContext) (int64, bool) {
	if string(c.GetHeader("If-None-Match")) == "*" {
		return 0, true
	}
	version, err := strconv.ParseInt(strings.Trim(string(c.GetHeader("If-Match")), `"`), 10, 64)
	return version, err == nil && version > 0
}
