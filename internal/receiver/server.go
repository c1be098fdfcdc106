package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/coordinator"
	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// readTimeout ends connections on which a request stays unfinished.
	readTimeout = 10 * time.Second
	// idleTimeout exceeds the longest idle time that the rules have been seen to allow callers, 15 s.
	idleTimeout = 40 * time.Second
	// writeTimeout ends answers to callers that read nothing.
	writeTimeout = 10 * time.Second
	// hardHeaderBytes and hardBodyBytes bound what is read before the rules' own limits are applied.
	hardHeaderBytes = 64 << 10
	hardBodyBytes   = 16 << 20
)

// Options are what a server is built from.
type Options struct {
	Listener net.Listener
	Control  *coordinator.Coordinator
	Names    forwarder.HeaderNames
	Orders   Orders
	Budget   *Budget
	Clock    timer.Clock
	Log      *log.Logger
	Metrics  *Metrics
}

// Server answers callers.
type Server struct {
	options Options
	hertz   *server.Hertz
	active  atomic.Int64
	// ended is when a handler last returned, in Unix nanoseconds: the library sends the rest of the answer after that.
	ended atomic.Int64
	// stopping is when the instance began to leave, in Unix nanoseconds; 0 while it serves.
	stopping atomic.Int64
}

// New returns a server that listens on the options' listener.
func New(o Options) *Server {
	h := NewHertz(o.Listener)
	s := &Server{
		options: o,
		hertz:   h,
	}
	h.NoRoute(s.serve)
	return s
}

// NewHertz returns an HTTP server with the project's limits.
func NewHertz(listener net.Listener) *server.Hertz {
	// The library's own lines have another format; failures that matter are logged where they are handled.
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
	return server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(hardBodyBytes),
		server.WithMaxHeaderBytes(hardHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
	)
}

// Run answers callers until the process ends.
func (s *Server) Run() error {
	return s.hertz.Run()
}

// Active returns the number of requests under way.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// flushTime is how long the library may take to send an answer after its handler has returned.
const flushTime = 400 * time.Millisecond

// Quiet reports whether no request is under way and all answers have left.
func (s *Server) Quiet() bool {
	return s.Active() == 0 && s.options.Clock.Now().Sub(time.Unix(0, s.ended.Load())) > flushTime
}

// Leave makes the server end connections and refuse what could not finish in time.
func (s *Server) Leave(now time.Time) {
	s.stopping.Store(now.UnixNano())
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	s.active.Add(1)
	defer func() {
		s.ended.Store(s.options.Clock.Now().UnixNano())
		s.active.Add(-1)
	}()
	c.SetStatusCode(http.StatusOK)
	r := s.read(c, s.options.Clock.Now())
	if s.stopping.Load() != 0 {
		c.SetConnectionClose()
	}
	if f := s.admit(c, r); f != nil {
		s.logRefusal(r, f)
		s.answerRefusal(c, r, f)
		return
	}
	s.options.Budget.Request(r.received)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	w := &writer{
		server:  s,
		context: c,
		request: r,
	}
	var f *refusal
	if r.service.Engine != nil {
		f = s.stream(ctx, r, w)
	} else {
		f = s.call(ctx, r, w)
	}
	s.finish(ctx, r, w, f)
}

// finish sends the final answer, unless the target's is already under way.
func (s *Server) finish(ctx context.Context, r *request, w *writer, f *refusal) {
	took := s.options.Clock.Now().Sub(r.received)
	switch {
	case f == nil:
		// The library writes the end of a stream when the handler returns.
		s.options.Metrics.served(r, took)
		return
	case errors.Is(ctx.Err(), context.Canceled):
		w.abort()
		f = callerGone(f.message)
	case w.begun:
		w.abort()
	default:
		s.answerRefusal(w.context, r, f)
	}
	s.logRefusal(r, f)
}

// admit checks a request against the rules; it returns the refusal of one that does not go on.
func (s *Server) admit(c *app.RequestContext, r *request) *refusal {
	if r.uri == "" || r.uri[0] != '/' || ambiguous(c) {
		return &refusal{
			status:  http.StatusBadRequest,
			reason:  reasonMalformed,
			message: "the request line or the framing cannot be read in one way: send one length and an absolute path",
			close:   true,
		}
	}
	r.view = s.options.Control.View()
	rules := r.view.Rules
	if rules == nil {
		return unserved(reasonNoRules, "this instance does not know the rules yet: try another address", noRulesRetry)
	}
	if f := tooLarge(c, r, rules.Rules.Limits); f != nil {
		return f
	}
	match, err := rules.Match(r.host, r.path, r.key)
	if err != nil {
		return unmatched(err)
	}
	r.match = match
	r.service = rules.Service(match.Route.Choose(rand.Float64()))
	r.deadline = r.received.Add(match.Route.Timeout - deadlineMargin)
	if !r.callerDeadline.IsZero() && r.callerDeadline.Before(r.deadline) {
		r.deadline = r.callerDeadline
	}
	if r.service == nil {
		return unserved(reasonNoService, "the route's service is not in the rules", noRulesRetry)
	}
	return s.late(r)
}

// noRulesRetry is when a caller may try again: rules arrive within milliseconds once the store or a peer answers.
const noRulesRetry = 300 * time.Millisecond

// lateAfter is the time after the stop signal from which requests that may be long are refused: callers have taken up the
// new addresses by then, and what starts later could be cut by the end of the grace period.
const lateAfter = 2500 * time.Millisecond

// late refuses long work shortly before the process ends.
func (s *Server) late(r *request) *refusal {
	began := s.stopping.Load()
	if began == 0 || r.service.Engine == nil || r.received.Sub(time.Unix(0, began)) < lateAfter {
		return nil
	}
	f := unserved(reasonLeaving, "this instance is leaving: use another address", leavingRetry)
	f.close = true
	return f
}

// leavingRetry lets a caller go to another instance at once.
const leavingRetry = 10 * time.Millisecond

func tooLarge(c *app.RequestContext, r *request, limits matcher.Limits) *refusal {
	if limits.HeaderBytes > 0 && len(c.Request.Header.RawHeaders()) > limits.HeaderBytes {
		return &refusal{
			status:  http.StatusRequestHeaderFieldsTooLarge,
			reason:  reasonHeaderTooBig,
			message: "the header is too long: send a shorter one",
			close:   true,
		}
	}
	if limits.BodyBytes > 0 && len(r.body) > limits.BodyBytes {
		return &refusal{
			status:  http.StatusRequestEntityTooLarge,
			reason:  reasonBodyTooBig,
			message: "the body is too long: send a shorter one",
			close:   true,
		}
	}
	return nil
}

func unmatched(err error) *refusal {
	var unknownKey *matcher.UnknownKeyError
	if errors.As(err, &unknownKey) {
		return &refusal{
			status:  http.StatusUnauthorized,
			reason:  reasonUnknownKey,
			message: err.Error(),
		}
	}
	return &refusal{
		status:  http.StatusNotFound,
		reason:  reasonUnknownRoute,
		message: err.Error(),
	}
}

// logRefusal logs and counts a request that the system itself ended.
func (s *Server) logRefusal(r *request, f *refusal) {
	took := s.options.Clock.Now().Sub(r.received)
	s.options.Metrics.unserved(r, f.reason, took)
	line := s.options.Log.Info().Str("request", string(r.id)).Str("reason", string(f.reason)).Int("status", f.status).
		Str("cause", f.message).Dur("retry_after", f.retryAfter).Dur("took", took).
		Int("sends", r.sends)
	if r.view != nil && r.view.Rules != nil {
		line = line.Int64("rules", r.view.Rules.Rules.Version)
	}
	if r.match.Route != nil {
		line = line.Str("route", r.match.Route.Name)
	}
	if f.figures != nil {
		line = line.Int("queued", f.figures.Queued).Int("engines", f.figures.Engines).
			Float64("pressure", f.figures.Pressure)
	}
	line.Msg("receiver: not served")
}
