package receiver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/phuslu/log"

	"bergamothollow.example/bergamothollow/internal/coordinator"
	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/internal/limiter"
	"bergamothollow.example/bergamothollow/pkg/abstainer"
	"bergamothollow.example/bergamothollow/pkg/detector"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// readTimeout closes connections whose header is not read completely in time.
	readTimeout = 10 * time.Second
	// idleTimeout exceeds the longest idle timeout in the operators' rules so far, 15 s.
	idleTimeout = 40 * time.Second
	// writeTimeout aborts answers to callers that do not read.
	writeTimeout = 10 * time.Second
	// maxHeaderBytes and maxBodyBytes bound what is read before the limits of the rules are checked.
	maxHeaderBytes = 24 << 10
	maxBodyBytes   = 16 << 20
)

// Options configure a server.
type Options struct {
	Listener net.Listener
	Control  *coordinator.Coordinator
	// DataCentre is the data centre of this instance.
	DataCentre namer.DataCentre
	Names      forwarder.HeaderNames
	Orders     Orders
	Notices    NoticeDecoder
	// Spread is this instance's part, from 0 to 1, of delays by which instances return to a target at different times.
	Spread float64
	Budget *Budget
	// Limiter bounds the callers' connections, and the memory of their requests.
	Limiter *limiter.Limiter
	// AnswerMemory bounds the bytes of answers that the server holds; nil means no bound.
	AnswerMemory *forwarder.Memory
	Clock        timer.Clock
	Log          *log.Logger
	Metrics      *Metrics
	// OnPanic is called for each request that a panic has ended, to count it; it may be nil.
	OnPanic func()
}

// answerMemoryShare divides the memory of a process to get what answers may hold. The rest is for requests, connections and control state,
// and for the garbage of buffers that have grown.
const answerMemoryShare = 3

// NewAnswerMemory returns the memory of the answers of a process that may use the given number of bytes.
func NewAnswerMemory(processBytes int64) *forwarder.Memory {
	return forwarder.NewMemory(processBytes / answerMemoryShare)
}

// CollectorLimit returns the soft memory limit in bytes of the garbage collector in a process that may use processBytes, if everything but
// answers is to stay under otherBytes. A limit that answers can reach makes the collector run without a pause and starve the process.
func CollectorLimit(otherBytes, processBytes int64) int64 {
	return min(otherBytes, processBytes/2) + processBytes/answerMemoryShare
}

// Server serves the callers' requests.
type Server struct {
	options Options
	hertz   *server.Hertz
	active  atomic.Int64
	// lastReturn is when a handler last returned, in Unix nanoseconds; Hertz sends the rest of the answer after that.
	lastReturn atomic.Int64
	// leavingSince is when the instance began to leave, in Unix nanoseconds; 0 before that.
	leavingSince atomic.Int64
	// leavingUntil is when the process ends at the latest, in Unix nanoseconds.
	leavingUntil atomic.Int64
	// closing is set once the instance has drained: what still arrives is refused.
	closing atomic.Bool
	// waiters counts the requests that wait until this instance is informed.
	waiters atomic.Int64
	// ending ends the requests that are in progress when the process has to exit.
	ending    context.Context
	end       context.CancelFunc
	pauses    *detector.Detector
	abstainer *abstainer.Abstainer
}

// New returns a server that listens on the options' listener.
func New(o Options) *Server {
	h := NewHertz(o.Listener, o.Limiter)
	s := &Server{
		options:   o,
		hertz:     h,
		pauses:    detector.New(o.Clock, detector.DefaultSettings()),
		abstainer: abstainer.New(abstainer.DefaultSettings(o.Spread)),
	}
	s.ending, s.end = context.WithCancel(context.Background())
	h.NoRoute(s.serve)
	return s
}

// NewHertz returns an HTTP server with the project's timeouts and size limits.
func NewHertz(listener net.Listener, l *limiter.Limiter) *server.Hertz {
	// Hertz logs in another format; relevant failures are logged where they are handled.
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
	return server.New(append(l.Options(boundedListener{
		Listener: listener,
		clock:    timer.System{},
	}),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
	)...)
}

// Run serves until the process ends or the listener fails.
func (s *Server) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.pauses.Run(ctx)
	return s.hertz.Run()
}

// Active returns the number of requests in progress.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// flushTime is how long Hertz may take to send an answer after the handler has returned.
const flushTime = 400 * time.Millisecond

// Drained reports whether no request is in progress and all answers have been sent.
func (s *Server) Drained() bool {
	return s.Active() == 0 && s.options.Clock.Now().Sub(time.Unix(0, s.lastReturn.Load())) > flushTime
}

// Leave makes the server close each connection after its answer and refuse requests that could outlast the process, which ends at the
// given time at the latest.
func (s *Server) Leave(now, end time.Time) {
	s.leavingUntil.Store(end.UnixNano())
	s.leavingSince.Store(now.UnixNano())
}

// drainPollInterval is how often a leaving instance checks whether its requests have ended.
const drainPollInterval = 50 * time.Millisecond

// WaitDrained waits until all requests have ended, but not less than until earliest and not longer than until latest.
func (s *Server) WaitDrained(earliest, latest time.Time) {
	clock := s.options.Clock
	for now := clock.Now(); now.Before(latest); now = clock.Now() {
		if now.After(earliest) && s.Drained() {
			return
		}
		<-clock.After(drainPollInterval)
	}
}

// endTime is how long requests that are ended at the end of the grace period may take to get their final answer.
const endTime = 200 * time.Millisecond

// Close stops accepting connections, refuses what still arrives on open ones, and returns when all requests have ended. Those that have
// not ended at the given time get their final answer then: the process exits when Close returns.
func (s *Server) Close(latest time.Time) {
	s.closing.Store(true)
	if err := s.options.Listener.Close(); err != nil {
		s.options.Log.Error().Err(err).Msg("receiver: closing the listener failed")
	}
	s.WaitDrained(s.options.Clock.Now().Add(drainPollInterval), latest)
	if s.Active() == 0 {
		return
	}
	s.options.Log.Info().Int("active", s.Active()).Msg("receiver: ending the requests in progress, the grace period is over")
	s.end()
	now := s.options.Clock.Now()
	s.WaitDrained(now, now.Add(endTime))
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	entry := s.options.Limiter.Enter(ctx, c)
	defer entry.Leave()
	w := &writer{
		server:  s,
		context: c,
	}
	defer s.recoverRequest(w)
	body, bodyErr := entry.Body(s.bodyLimit())
	s.active.Add(1)
	defer func() {
		s.lastReturn.Store(s.options.Clock.Now().UnixNano())
		s.active.Add(-1)
	}()
	c.SetStatusCode(http.StatusOK)
	r := s.read(c, body, s.received())
	w.request = r
	if s.leavingSince.Load() != 0 {
		c.SetConnectionClose()
	}
	f := refuseBody(bodyErr)
	if f == nil {
		s.awaitInformed(ctx, r)
		f = s.admit(c, r)
	}
	if f != nil {
		s.logRefusal(r, f)
		s.answerRefusal(c, r, f)
		return
	}
	s.options.Budget.CountRequest(r.received)
	ctx, cancelRequest := context.WithCancelCause(ctx)
	defer cancelRequest(nil)
	stop := context.AfterFunc(s.ending, func() { cancelRequest(errEnding) })
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if r.service.Engine != nil {
		f = s.stream(ctx, r, w)
	} else {
		f = s.call(ctx, r, w)
	}
	s.finish(ctx, r, w, f)
}

// recoverRequest ends a request whose handler panics: other requests of the process go on. Its caller isn't told that it hasn't run.
func (s *Server) recoverRequest(w *writer) {
	p := recover()
	if p == nil {
		return
	}
	if s.options.OnPanic != nil {
		s.options.OnPanic()
	}
	id := ""
	if w.request != nil {
		id = string(w.request.id)
	}
	s.options.Log.Error().Str("request", id).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).
		Msg("receiver: request ended by a panic")
	if w.begun {
		w.abort()
		return
	}
	w.context.Response.Reset()
	w.context.SetConnectionClose()
	w.context.SetStatusCode(http.StatusBadGateway)
}

// received returns the earliest time at which a request that is read now may have been sent.
func (s *Server) received() time.Time {
	now := s.options.Clock.Now()
	return now.Add(-s.pauses.Unread(now))
}

// finish records the outcome; it sends the refusal, or closes the connection if part of an answer has already been sent.
func (s *Server) finish(ctx context.Context, r *request, w *writer, f *refusal) {
	took := s.options.Clock.Now().Sub(r.received)
	switch {
	case f == nil:
		// Hertz writes the last chunk of a stream when the handler returns.
		s.options.Metrics.recordServed(r, took)
		return
	case errors.Is(ctx.Err(), context.Canceled) && !ended(ctx):
		w.abort()
		f = callerGone(f.logged())
	case w.begun:
		w.abort()
	default:
		s.answerRefusal(w.context, r, f)
	}
	s.logRefusal(r, f)
}

// admit validates a request and matches it to a route; it returns a refusal if the request must not be forwarded.
func (s *Server) admit(c *app.RequestContext, r *request) *refusal {
	if r.uri == "" || r.uri[0] != '/' || ambiguousFraming(c) {
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
		return unavailable(reasonNoRules, "this instance does not know the rules yet: try another address",
			uninformedRetry(r, rand.Float64()))
	}
	if f := tooLarge(c, r, rules.Rules.Limits); f != nil {
		return f
	}
	match, err := rules.Match(r.host, r.path, r.key)
	if err != nil {
		return matchRefusal(err)
	}
	r.match = match
	r.service = rules.Service(match.Route.Choose(rand.Float64()))
	r.deadline = r.received.Add(match.Route.Timeout - deadlineMargin)
	if !r.callerDeadline.IsZero() && r.callerDeadline.Before(r.deadline) {
		r.deadline = r.callerDeadline
	}
	if r.service == nil {
		return unavailable(reasonNoService, "the route's service is not in the rules", noRulesRetry)
	}
	return s.refuseLate(r)
}

// noRulesRetry is the Retry-After without rules, which arrive within milliseconds once the store or a peer answers.
const noRulesRetry = 300 * time.Millisecond

// refuseLateAfter is the time after the stop signal from which requests to engines are refused, or half of the grace period if that is
// shorter: by then callers have resolved the new addresses, and a stream that starts later could be cut off by the end of that period.
const refuseLateAfter = 2500 * time.Millisecond

// refuseLate refuses a request that could outlast the grace period of a leaving instance; nil if it may go on.
func (s *Server) refuseLate(r *request) *refusal {
	began := s.leavingSince.Load()
	if began == 0 {
		return nil
	}
	since, until := time.Unix(0, began), time.Unix(0, s.leavingUntil.Load())
	late := r.deadline.After(until)
	if r.service.Engine != nil {
		// Most streams end long before their deadline.
		late = r.received.Sub(since) >= min(refuseLateAfter, until.Sub(since)/2)
	}
	if !late && !s.closing.Load() {
		return nil
	}
	return refuseLeaving()
}

// refuseLeaving refuses a request that has not run, since the process ends.
func refuseLeaving() *refusal {
	f := unavailable(reasonLeaving, "this instance is leaving: use another address", leavingRetry)
	f.close = true
	return f
}

// leavingRetry is the Retry-After of a leaving instance: another instance can take the request at once.
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
		return bodyTooLarge("the body is too long: send a shorter one")
	}
	return nil
}

// bodyLimit returns the largest body that is read.
func (s *Server) bodyLimit() int {
	if rules := s.options.Control.View().Rules; rules != nil && rules.Rules.Limits.BodyBytes > 0 {
		return min(rules.Rules.Limits.BodyBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// refuseBody returns the refusal of a request whose body couldn't be read, which hasn't run; nil for no error.
func refuseBody(err error) *refusal {
	var tooLong *limiter.BodyTooLongError
	var slow *limiter.BodySlowError
	var full *limiter.MemoryFullError
	var f *refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLong):
		return bodyTooLarge(err.Error())
	case errors.As(err, &slow):
		f = &refusal{
			status:  http.StatusRequestTimeout,
			reason:  reasonBodySlow,
			message: err.Error(),
		}
	case errors.As(err, &full):
		f = unavailable(reasonMemory, err.Error(), memoryRetry)
	default:
		f = &refusal{
			status:  http.StatusBadRequest,
			reason:  reasonMalformed,
			message: err.Error(),
		}
	}
	f.close = true
	return f
}

// memoryRetry is the Retry-After while requests that are read take all memory: those that stall give way after a second.
const memoryRetry = time.Second

func bodyTooLarge(message string) *refusal {
	return &refusal{
		status:  http.StatusRequestEntityTooLarge,
		reason:  reasonBodyTooBig,
		message: message,
		close:   true,
	}
}

// matchRefusal returns the refusal for an error of matching a request to a route.
func matchRefusal(err error) *refusal {
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

// logRefusal logs and counts a request that was not served.
func (s *Server) logRefusal(r *request, f *refusal) {
	took := s.options.Clock.Now().Sub(r.received)
	s.options.Metrics.recordRefusal(r, f.reason, took)
	line := s.options.Log.Info().Str("request", string(r.id)).Str("reason", string(f.reason)).Int("status", f.status).
		Str("cause", f.logged()).Dur("retry_after", f.retryAfter).Dur("took", took).
		Int("sends", r.sends)
	if r.view != nil && r.view.Rules != nil {
		line = line.Int64("rules", r.view.Rules.Rules.Version)
	}
	if r.match.Route != nil {
		line = line.Str("route", r.match.Route.Name)
	}
	if f.decision != nil {
		line = line.Int("prompt", r.promptTokens).Int("output", r.outputTokens).Int("queued", f.decision.Queued).
			Int("engines", f.decision.Engines).Float64("pressure", f.decision.Pressure).Str("obstacle", string(f.decision.Obstacle)).
			Str("limit", string(f.decision.Limit))
	}
	line.Msg("receiver: not served")
}
