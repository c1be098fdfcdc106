package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/cloudwego/hertz/pkg/route"

	"bergamothollow.example/bergamothollow/internal/emulator/engine/stepper"
	"bergamothollow.example/bergamothollow/internal/emulator/runner"
)

// Completion is the body of a completion request.
type Completion struct {
	Model        string         `json:"model"`
	Prompt       string         `json:"prompt"`
	MaxTokens    int            `json:"max_tokens"`
	RequestID    string         `json:"request_id"`
	PromptTokens int            `json:"prompt_tokens,omitempty"`
	Priority     int            `json:"priority,omitempty"`
	Epoch        int64          `json:"epoch,omitempty"`
	Holder       string         `json:"holder,omitempty"`
	ResumeFrom   int            `json:"resume_from,omitempty"`
	Prefix       []string       `json:"prefix,omitempty"`
	Group        *stepper.Group `json:"group,omitempty"`
}

// TokenEvent is one generated token.
type TokenEvent struct {
	RequestID  string `json:"request_id"`
	TokenIndex int    `json:"token_index"`
	Text       string `json:"text"`
}

// HeldEvent is sent by an engine with a rank above 0 in its group once it has reserved memory for its part of the context.
type HeldEvent struct {
	RequestID string `json:"request_id"`
	Held      bool   `json:"held"`
}

// LoadReport is the response of /v1/load.
type LoadReport struct {
	BootID         string `json:"boot_id"`
	AgeMS          int64  `json:"age_ms"`
	CapacityTokens int    `json:"capacity_tokens"`
	UsedTokens     int    `json:"used_tokens"`
	QueueTokens    int    `json:"queue_tokens"`
	Cold           bool   `json:"cold"`
	Fencing        bool   `json:"fencing"`
	Epoch          int64  `json:"epoch"`
	Setup
}

// Faults are the faults that a request to /admin/faults injects.
type Faults struct {
	// Silent makes all open streams stop sending for good without closing them; new streams work.
	Silent bool `json:"silent"`
	Die    bool `json:"die"`
	Cold   bool `json:"cold"`
	// SlowReader makes the engine read request bodies slowly until it is set to false.
	SlowReader bool `json:"slow_reader"`
}

// Register adds the routes.
func (e *Engine) Register(r route.IRoutes, setSlowReads func(bool)) {
	r.POST("/v1/completions", e.complete)
	r.DELETE("/v1/requests/:id", e.deleteRequest)
	r.GET("/v1/requests", e.listRequests)
	r.GET("/v1/load", e.reportLoad)
	r.GET("/v1/cache_events", e.listCacheEvents)
	r.POST("/v1/orders", e.order)
	r.POST("/v1/kv/export", e.exportBlocks)
	r.POST("/v1/kv/import", e.importBlocks)
	r.GET("/admin/counts", e.readCounts)
	r.POST("/admin/faults", func(_ context.Context, c *app.RequestContext) {
		e.inject(c, setSlowReads)
	})
}

func (e *Engine) complete(ctx context.Context, c *app.RequestContext) {
	var body Completion
	if !decode(c, &body) {
		return
	}
	if status, message := e.checkCompletion(body); message != "" {
		runner.RespondError(c, status, message)
		return
	}
	s, err := e.submit(stepper.Request{
		ID:           body.RequestID,
		Holder:       body.Holder,
		Epoch:        body.Epoch,
		Priority:     body.Priority,
		PromptTokens: max(body.PromptTokens, countTokens(body.Prompt)),
		MaxTokens:    body.MaxTokens,
		ResumeFrom:   body.ResumeFrom,
		Prefix:       body.Prefix,
		Group:        body.Group,
	}, body.Prompt)
	if err != nil {
		e.respondRefusal(c, err)
		return
	}
	e.accepted.Add(1)
	defer e.abandon(body.RequestID, s)
	if !e.stream(ctx, sse.NewWriter(c), body, s) {
		runner.Drop(c)
	}
}

func (e *Engine) checkCompletion(body Completion) (int, string) {
	e.mu.Lock()
	model := e.orders.current(e.clock.Now()).Model
	e.mu.Unlock()
	switch {
	case body.RequestID == "" || body.MaxTokens <= 0 || body.ResumeFrom < 0 || body.ResumeFrom >= body.MaxTokens:
		return http.StatusBadRequest, "send request_id, max_tokens above 0 and resume_from below max_tokens"
	case body.Model != model:
		return http.StatusNotFound, "unknown_model"
	case body.Group != nil && !e.options.GroupContext:
		return http.StatusBadRequest, "no_group_context"
	}
	return 0, ""
}

func (e *Engine) respondRefusal(c *app.RequestContext, err error) {
	var (
		outOfMemory *stepper.OutOfMemoryError
		stale       *stepper.StaleEpochError
		cold        *stepper.ColdError
		duplicate   *stepper.DuplicateError
	)
	switch {
	case errors.As(err, &outOfMemory):
		e.options.Crash(err)
		runner.Drop(c)
	case errors.As(err, &stale):
		runner.RespondError(c, http.StatusConflict, "stale_epoch")
	case errors.As(err, &cold):
		runner.RespondError(c, http.StatusServiceUnavailable, "cold")
	case errors.As(err, &duplicate):
		runner.RespondError(c, http.StatusConflict, "duplicate_request")
	default:
		runner.RespondError(c, http.StatusInternalServerError, err.Error())
	}
}

// stream writes the answer until it is finished, cancelled or the connection closes; it reports whether the response
// was closed properly.
func (e *Engine) stream(ctx context.Context, w *sse.Writer, body Completion, s *stream) bool {
	// The SSE comment sends the headers, which tell the client that the request is accepted.
	if w.WriteComment("accepted") != nil {
		return false
	}
	if body.Group != nil && body.Group.Rank > 0 {
		if writeEvent(w, HeldEvent{
			RequestID: body.RequestID,
			Held:      true,
		}) != nil {
			return false
		}
	}
	for sent := body.ResumeFrom; ; {
		p := e.progress(s)
		if p.silent {
			<-ctx.Done()
			return false
		}
		if sent < p.produced {
			if writeEvent(w, TokenEvent{
				RequestID:  body.RequestID,
				TokenIndex: sent,
				Text:       s.answer.Token(sent),
			}) != nil {
				return false
			}
			sent++
			continue
		}
		if p.finished || p.cancelled {
			if p.finished && w.WriteEvent("", "", []byte("[DONE]")) != nil {
				return false
			}
			return w.Close() == nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Counts holds the engine's counters since its start.
type Counts struct {
	// Accepted counts the admitted completion requests, including those that were cancelled later.
	Accepted int64 `json:"accepted"`
}

func (e *Engine) readCounts(_ context.Context, c *app.RequestContext) {
	runner.Respond(c, http.StatusOK, Counts{
		Accepted: e.accepted.Load(),
	})
}

func (e *Engine) deleteRequest(_ context.Context, c *app.RequestContext) {
	if !e.cancel(c.Param("id")) {
		runner.RespondError(c, http.StatusNotFound, "no such request")
		return
	}
	c.Status(http.StatusNoContent)
}

func (e *Engine) listRequests(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	list := e.stepper.List()
	e.mu.Unlock()
	runner.Respond(c, http.StatusOK, map[string]any{
		"boot_id":  e.bootID,
		"requests": list,
	})
}

func (e *Engine) reportLoad(_ context.Context, c *app.RequestContext) {
	e.mu.Lock()
	now := e.clock.Now()
	load := e.stepper.Load(now)
	setup := e.orders.current(now)
	e.mu.Unlock()
	runner.Respond(c, http.StatusOK, LoadReport{
		BootID:         e.bootID,
		AgeMS:          now.Sub(load.At).Milliseconds(),
		CapacityTokens: load.CapacityTokens,
		UsedTokens:     load.UsedTokens,
		QueueTokens:    load.QueueTokens,
		Cold:           load.Cold,
		Fencing:        load.Fencing,
		Epoch:          load.Epoch,
		Setup:          setup,
	})
}

func (e *Engine) listCacheEvents(_ context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
	e.mu.Lock()
	events := e.stepper.CacheEvents(e.clock.Now(), after)
	e.mu.Unlock()
	next := after
	if n := len(events); n > 0 {
		next = events[n-1].Number
	}
	runner.Respond(c, http.StatusOK, map[string]any{
		"events": events,
		"next":   next,
	})
}

func (e *Engine) order(_ context.Context, c *app.RequestContext) {
	var order Order
	if !decode(c, &order) {
		return
	}
	if !order.Kind.isKnown() {
		runner.RespondError(c, http.StatusBadRequest, "unknown kind of order")
		return
	}
	e.mu.Lock()
	now := e.clock.Now()
	err := e.stepper.Fence(order.Epoch)
	if err == nil && order.Kind != OrderFence {
		e.orders.add(now, order)
	}
	setup := e.orders.current(now)
	e.mu.Unlock()
	if err != nil {
		e.respondRefusal(c, err)
		return
	}
	runner.Respond(c, http.StatusOK, setup)
}

func (e *Engine) exportBlocks(_ context.Context, c *app.RequestContext) {
	var body struct {
		Prefix []string `json:"prefix"`
	}
	if !decode(c, &body) {
		return
	}
	e.mu.Lock()
	blocks := e.stepper.Export(body.Prefix)
	e.mu.Unlock()
	runner.Respond(c, http.StatusOK, map[string]any{
		"blocks": blocks,
	})
}

func (e *Engine) importBlocks(_ context.Context, c *app.RequestContext) {
	var body struct {
		Blocks []string `json:"blocks"`
	}
	if !decode(c, &body) {
		return
	}
	e.mu.Lock()
	e.stepper.Import(e.clock.Now(), body.Blocks)
	e.mu.Unlock()
	c.Status(http.StatusNoContent)
}

func (e *Engine) inject(c *app.RequestContext, setSlowReads func(bool)) {
	var faults Faults
	if !decode(c, &faults) {
		return
	}
	if faults.Die {
		e.options.Crash(errDied)
		runner.Drop(c)
		return
	}
	if faults.Silent {
		e.silenceStreams()
	}
	if faults.Cold {
		e.mu.Lock()
		e.stepper.SetCold(e.clock.Now())
		e.mu.Unlock()
	}
	setSlowReads(faults.SlowReader)
	runner.Respond(c, http.StatusOK, faults)
}

func decode(c *app.RequestContext, body any) bool {
	if err := json.Unmarshal(c.Request.Body(), body); err != nil {
		runner.RespondError(c, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func writeEvent(w *sse.Writer, event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return w.WriteEvent("", "", data)
}

// countTokens returns the number of words separated by white space.
func countTokens(text string) int {
	count := 0
	for range strings.FieldsSeq(text) {
		count++
	}
	return count
}
