package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Answer is the outcome of a call.
type Answer struct {
	Call string `json:"call"`
	Key  string `json:"key"`
	// Run counts the runs with the key, this one included; it is 0 for a call without a key.
	Run int `json:"run"`
	// Digest is the SHA-256 of the request's body.
	Digest string `json:"digest"`
}

// Runs counts how often calls ran.
type Runs struct {
	// ByKey counts the runs of each idempotency key.
	ByKey map[string]int `json:"runs"`
	// ByCall counts the runs of each call, with or without a key.
	ByCall map[string]int `json:"calls"`
}

// Faults are the injected faults; a request to /admin/faults replaces all of them.
type Faults struct {
	// DropAnswers is the number of next calls that run but get no response.
	DropAnswers int `json:"drop_answers"`
	// DelayMS delays each response after the call has run.
	DelayMS int `json:"delay_ms"`
}

// Service runs calls.
type Service struct {
	clock timer.Clock

	mu     sync.Mutex
	faults Faults
	runs   Runs
}

// New returns a service whose counts are zero.
func New(clock timer.Clock) *Service {
	return &Service{
		clock: clock,
		runs: Runs{
			ByKey:  map[string]int{},
			ByCall: map[string]int{},
		},
	}
}

// Register adds the routes.
func (s *Service) Register(r route.IRoutes) {
	r.POST("/v1/call/:call", s.call)
	r.GET("/admin/runs", s.readRuns)
	r.POST("/admin/faults", s.setFaults)
}

// Digest returns the digest of a request's body, as Answer carries it.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Service) call(_ context.Context, c *app.RequestContext) {
	answer := Answer{
		Call:   c.Param("call"),
		Key:    string(c.GetHeader("Idempotency-Key")),
		Digest: Digest(c.Request.Body()),
	}
	run, delay, drop := s.run(answer.Call, answer.Key)
	answer.Run = run
	if delay > 0 {
		<-s.clock.After(delay)
	}
	if drop {
		runner.Drop(c)
		return
	}
	runner.Respond(c, http.StatusOK, answer)
}

// run counts a run of the call and returns the runs with its key, the delay of the response and whether to drop it.
func (s *Service) run(call, key string) (run int, delay time.Duration, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.ByCall[call]++
	if key != "" {
		s.runs.ByKey[key]++
	}
	if drop = s.faults.DropAnswers > 0; drop {
		s.faults.DropAnswers--
	}
	return s.runs.ByKey[key], time.Duration(s.faults.DelayMS) * time.Millisecond, drop
}

func (s *Service) readRuns(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runner.Respond(c, http.StatusOK, s.runs)
}

func (s *Service) setFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
		runner.RespondError(c, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	runner.Respond(c, http.StatusOK, faults)
}
