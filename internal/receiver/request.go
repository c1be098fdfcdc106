package receiver

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bergamothollow.example/bergamothollow/internal/coordinator"
	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// request is one request of a caller.
type request struct {
	id       namer.Request
	method   string
	uri      string
	path     string
	host     string
	header   []forwarder.Field
	body     []byte
	hasBody  bool
	key      string
	received time.Time
	// callerDeadline is when the caller stops waiting; deadline is that or the route's timeout.
	callerDeadline time.Time
	deadline       time.Time
	prompt         int
	output         int
	lastEvent      string
	match          matcher.Match
	service        *matcher.Service
	view           *coordinator.View
	// sends counts the targets that may have run the request.
	sends int
	// placements counts the attempts, so that each has reservations of its own.
	placements int
}

// deadlineMargin is taken off a route's timeout, so that the final answer leaves in time.
const deadlineMargin = 20 * time.Millisecond

// read takes what the product needs from a caller's request.
func (s *Server) read(c *app.RequestContext, now time.Time) *request {
	names := &s.options.Names
	r := &request{
		method:   string(c.Request.Header.Method()),
		uri:      string(c.Request.Header.RequestURI()),
		host:     string(c.Request.Header.Host()),
		received: now,
		body:     c.Request.Body(),
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	r.hasBody = len(r.body) > 0 || len(c.Request.Header.Peek("Content-Length")) > 0
	remaining := time.Duration(0)
	named := string(c.Request.Header.Peek("Connection"))
	estimate := 0
	c.Request.Header.VisitAll(func(key, value []byte) {
		name, text := string(key), string(value)
		switch {
		case strings.EqualFold(name, names.Key):
			r.key = text
			return
		case strings.EqualFold(name, names.Remaining):
			remaining = milliseconds(text)
			return
		case s.reserved(name) || !forwarder.EndToEnd(name, named) || strings.EqualFold(name, "Host"):
			return
		case strings.EqualFold(name, names.RequestID):
			r.id = namer.Request(text)
		case strings.EqualFold(name, names.Tokens):
			r.prompt, r.output = tokens(text)
		case strings.EqualFold(name, names.LengthHint):
			estimate, _ = strconv.Atoi(text)
		case strings.EqualFold(name, names.LastEvent):
			r.lastEvent = text
			return
		}
		r.header = append(r.header, forwarder.Field{
			Name:  name,
			Value: text,
		})
	})
	if estimate > 0 && (r.output == 0 || estimate < r.output) {
		r.output = estimate
	}
	if remaining > 0 {
		r.callerDeadline = now.Add(remaining)
	}
	return r
}

// reserved reports whether the system sets a header itself, whatever the caller sent.
func (s *Server) reserved(name string) bool {
	n := &s.options.Names
	for _, own := range []string{n.Customer, n.ExpectedInstance, n.Helpers, n.Priority} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// returnedShare is the share of a route's timeout below which a caller's remaining time shows an earlier attempt.
const returnedShare = 0.9

// returned reports whether the caller has been refused or has failed before.
func (r *request) returned() bool {
	left := r.deadline.Sub(r.received)
	return float64(left) < returnedShare*float64(r.match.Route.Timeout-deadlineMargin)
}

func milliseconds(text string) time.Duration {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value <= 0 || value > float64(maxRemaining.Milliseconds()) {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}

// maxRemaining bounds what a caller may say that it waits.
const maxRemaining = time.Hour

func tokens(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	output, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(0, prompt), max(0, output)
}

// ambiguous reports whether two parties could disagree about where the request ends.
func ambiguous(c *app.RequestContext) bool {
	header := c.Request.Header.RawHeaders()
	lower := bytes.ToLower(header)
	lengths := bytes.Count(lower, []byte("\ncontent-length")) + prefixed(lower, "content-length")
	codings := bytes.Count(lower, []byte("\ntransfer-encoding")) + prefixed(lower, "transfer-encoding")
	return lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)
}

func prefixed(text []byte, prefix string) int {
	if bytes.HasPrefix(text, []byte(prefix)) {
		return 1
	}
	return 0
}
