package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/limiter"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/detector"
	"bergamothollow.example/bergamothollow/pkg/holder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Options are the dependencies and limits of a server.
type Options struct {
	Listener net.Listener
	// Limiter bounds the callers' connections, and the memory of their requests.
	Limiter        *limiter.Limiter
	Control        *controller.Controller
	Engines        *streamer.Client
	Calls          Caller
	Pool           *ants.Pool
	Clock          timer.Clock
	Log            *log.Logger
	Metrics        *Metrics
	NewID          func() namer.Request
	MaxBodyBytes   int
	MaxHeaderBytes int
	BufferBounds   holder.Bounds
}

// Server is the HTTP server for callers.
type Server struct {
	options Options
	meter   *meter
	pauses  *detector.Detector
	hertz   *server.Hertz
}

// New returns a server that listens on the options' listener.
func New(o Options) *Server {
	// The library logs in another format; failures that matter are logged where they are handled.
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
	h := server.New(append(o.Limiter.Options(o.Listener),
		server.WithMaxRequestBodySize(o.MaxBodyBytes),
		server.WithMaxHeaderBytes(o.MaxHeaderBytes),
		server.WithWriteTimeout(o.BufferBounds.ReadTimeout),
		server.WithReadTimeout(headTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)...)
	s := &Server{
		options: o,
		pauses:  detector.New(o.Clock, detector.DefaultSettings()),
		meter:   newMeter(o.BufferBounds, o.Clock, o.Metrics.HeldBytes),
		hertz:   h,
	}
	h.Use(o.Limiter.Filter)
	h.POST("/v1/completions", s.completions)
	h.POST("/v1/services/:service/:call", s.service)
	h.GET("/v1/address", s.address)
	h.GET("/healthz", s.health)
	metrics := promhttp.HandlerFor(o.Metrics.Registry, promhttp.HandlerOpts{})
	h.GET("/metrics", adaptor.HertzHandler(metrics))
	return s
}

// headTimeout is the time within which a caller must send the whole header.
const headTimeout = 10 * time.Second

// idleTimeout closes connections on which callers send no further request.
const idleTimeout = 2 * time.Minute

// Run serves requests until Shutdown is called.
func (s *Server) Run(ctx context.Context) error {
	go s.meter.run(ctx)
	go s.pauses.Run(ctx)
	return s.hertz.Run()
}

// Shutdown closes the listener and waits for requests in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.options.Limiter.CloseIdle()
	return s.hertz.Shutdown(ctx)
}

// received returns the earliest time at which a request that is read now may have been sent.
func (s *Server) received() time.Time {
	now := s.options.Clock.Now()
	return now.Add(-s.pauses.Unread(now))
}

func (s *Server) address(_ context.Context, c *app.RequestContext) {
	answer, err := s.options.Control.Addresses()
	if err != nil {
		s.refuse(c, &controller.Request{
			Received: s.options.Clock.Now(),
		}, err)
		return
	}
	c.JSON(http.StatusOK, answer)
}

func (s *Server) health(_ context.Context, c *app.RequestContext) {
	if s.options.Control.Ready() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready: no bundle in force yet, or leaving\n")
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type         refuser.Reason       `json:"type"`
	Message      string               `json:"message"`
	Ran          refuser.Ran          `json:"ran"`
	RefusalID    string               `json:"refusal_id"`
	RequestID    namer.Request        `json:"request_id"`
	RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
	Addresses    []controller.Address `json:"addresses,omitempty"`
}

// refuse records the refusal and sends it to the caller.
func (s *Server) refuse(c *app.RequestContext, request *controller.Request, err error) {
	refusal := asRefusal(err)
	s.writeRefusal(c, refusal, s.recordRefusal(request, refusal))
}

func (s *Server) writeRefusal(c *app.RequestContext, refusal *refuser.Refusal, detail errorDetail) {
	if refusal.RetryAfter > 0 || refusal.Reason == refuser.Leaving {
		c.Header("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
	if leavesBodyUnread(refusal.Reason) {
		c.SetConnectionClose()
	}
	c.JSON(refusal.Status(), errorBody{
		Error: detail,
	})
}

// recordRefusal counts and records the refusal and returns the details for the caller.
func (s *Server) recordRefusal(request *controller.Request, refusal *refuser.Refusal) errorDetail {
	s.logCause(request.ID, refusal)
	s.options.Metrics.Refusals.WithLabelValues(string(refusal.Reason)).Inc()
	s.options.Metrics.Requests.WithLabelValues("refused").Inc()
	return errorDetail{
		Type:         refusal.Reason,
		Message:      refusal.Message,
		Ran:          refusal.Ran,
		RefusalID:    s.options.Control.RecordRefusal(request, refusal),
		RequestID:    request.ID,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		Addresses:    s.otherAddresses(refusal.Reason),
	}
}

// asRefusal returns the refusal that err wraps; any other error becomes target_failed with an unknown outcome.
func asRefusal(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &refuser.Refusal{
		Reason:  refuser.TargetFailed,
		Ran:     refuser.RanUnknown,
		Message: "no target finished the request, which may have run: repeat it only if it may run twice",
		Cause:   err,
	}
}

// logCause logs why a request failed, which its caller isn't told.
func (s *Server) logCause(request namer.Request, refusal *refuser.Refusal) {
	if refusal.Cause != nil {
		s.options.Log.Warn().Str("request", string(request)).Str("reason", string(refusal.Reason)).Err(refusal.Cause).
			Msg("server: request failed at its targets")
	}
}

// leavesBodyUnread reports whether part of the body may be unread, so that the connection cannot be reused.
func leavesBodyUnread(reason refuser.Reason) bool {
	return reason == refuser.BodyTooLarge || reason == refuser.MalformedRequest || reason == refuser.MemoryFull
}
