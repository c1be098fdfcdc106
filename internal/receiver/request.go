package receiver

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bergamothollow.example/bergamothollow/internal/coordinator"
	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/isolator"
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
	// callerDeadline is when the caller stops waiting, zero if unknown; deadline is the earlier of it and the route's timeout.
	callerDeadline time.Time
	deadline       time.Time
	promptTokens   int
	// candidates are what may crash engines: the parts of the prompt that other prompts may share, and the request as a whole.
	candidates []namer.Part
	// outputTokens is the smaller of the caller's limit and its estimate; 0 if it states neither.
	outputTokens int
	// lastEventID is the ID of the event after which the caller resumes a stream.
	lastEventID string
	match       matcher.Match
	service     *matcher.Service
	view        *coordinator.View
	// sends counts the attempts that may have run the request.
	sends int
	// placements counts the attempts at engines, so that the reservations of each have unique ids.
	placements int
}

// deadlineMargin is subtracted from a route's timeout, to leave time for sending the final answer.
const deadlineMargin = 20 * time.Millisecond

// read converts a caller's request; headers that are not forwarded are left out.
func (s *Server) read(c *app.RequestContext, body []byte, now time.Time) *request {
	names := &s.options.Names
	r := &request{
		method:   string(c.Request.Header.Method()),
		uri:      string(c.Request.Header.RequestURI()),
		host:     string(c.Request.Header.Host()),
		received: now,
		body:     body,
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	r.hasBody = len(r.body) > 0 || len(c.Request.Header.Peek("Content-Length")) > 0
	remaining := time.Duration(0)
	connection := string(c.Request.Header.Peek("Connection"))
	lengthHint := 0
	c.Request.Header.VisitAll(func(key, value []byte) {
		name, text := string(key), string(value)
		switch {
		case strings.EqualFold(name, names.Key):
			r.key = text
			return
		case strings.EqualFold(name, names.RemainingMilliseconds):
			remaining = milliseconds(text)
			return
		case s.setBySystem(name) || !forwarder.EndToEnd(name, connection) || strings.EqualFold(name, "Host"):
			return
		case strings.EqualFold(name, names.RequestID):
			r.id = namer.Request(text)
		case strings.EqualFold(name, names.Tokens):
			r.promptTokens, r.outputTokens = tokens(text)
		case strings.EqualFold(name, names.Parts):
			r.candidates = append(r.candidates, sharedParts(text)...)
		case strings.EqualFold(name, names.LengthHint):
			lengthHint, _ = strconv.Atoi(text)
		case strings.EqualFold(name, names.LastEventID):
			r.lastEventID = text
			return
		}
		r.header = append(r.header, forwarder.Field{
			Name:  name,
			Value: text,
		})
	})
	if lengthHint > 0 && (r.outputTokens == 0 || lengthHint < r.outputTokens) {
		r.outputTokens = lengthHint
	}
	if remaining > 0 {
		r.callerDeadline = now.Add(remaining)
	}
	return r
}

// addWhole adds the request as a whole to its candidates: an engine may crash on a request whose parts are sound. Callers that send it
// again do so under a new ID and key, so that both are left out.
func (r *request) addWhole(names *forwarder.HeaderNames) {
	digest := sha256.New()
	write := func(text string) {
		// Writing to a hash cannot fail.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = digest.Write([]byte(text))
	}
	write(r.match.Route.Name)
	write(string(r.match.Customer))
	for _, f := range r.header {
		if strings.EqualFold(f.Name, names.Parts) || strings.EqualFold(f.Name, names.Tokens) {
			write(f.Value)
		}
	}
	_, _ = digest.Write(r.body)
	r.candidates = append(r.candidates, isolator.Whole(hex.EncodeToString(digest.Sum(nil)[:wholeBytes])))
}

// wholeBytes is the length of the digest of a request.
const wholeBytes = 8

// setBySystem reports whether only the system sets a header; a caller's value is dropped.
func (s *Server) setBySystem(name string) bool {
	n := &s.options.Names
	for _, own := range []string{n.Customer, n.ExpectedTarget, n.Helpers, n.Priority} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// retryRemainingShare is the share of a route's timeout below which a caller's remaining time indicates an earlier attempt.
const retryRemainingShare = 0.9

// isRetry reports whether the caller has probably sent the request before and was refused or got an error.
func (r *request) isRetry() bool {
	left := r.deadline.Sub(r.received)
	return float64(left) < retryRemainingShare*float64(r.match.Route.Timeout-deadlineMargin)
}

// age returns the time since the caller's first attempt if this probably isn't it, else 0.
func (r *request) age() time.Duration {
	if !r.isRetry() {
		return 0
	}
	return r.match.Route.Timeout - deadlineMargin - r.deadline.Sub(r.received)
}

// milliseconds parses the remaining time of a caller; it returns 0 if the text is invalid or exceeds maxRemaining.
func milliseconds(text string) time.Duration {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value <= 0 || value > float64(maxRemaining.Milliseconds()) {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}

// maxRemaining is the longest remaining time that is accepted from a caller.
const maxRemaining = time.Hour

func tokens(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	output, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(0, prompt), max(0, output)
}

// sharedParts parses the list of a prompt's parts and leaves out the last one, which only this request or its session has.
func sharedParts(text string) []namer.Part {
	entries := strings.Split(text, ",")
	parts := make([]namer.Part, 0, len(entries))
	for _, entry := range entries[:len(entries)-1] {
		id, _, _ := strings.Cut(entry, ":")
		if id = strings.ToLower(strings.TrimSpace(id)); id != "" {
			parts = append(parts, namer.Part(id))
		}
	}
	return parts
}

// ambiguousFraming reports whether two HTTP parsers could disagree about where the request ends (request smuggling).
func ambiguousFraming(c *app.RequestContext) bool {
	header := c.Request.Header.RawHeaders()
	lower := bytes.ToLower(header)
	lengths := bytes.Count(lower, []byte("\ncontent-length")) + countPrefix(lower, "content-length")
	codings := bytes.Count(lower, []byte("\ntransfer-encoding")) + countPrefix(lower, "transfer-encoding")
	return lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)
}

func countPrefix(text []byte, prefix string) int {
	if bytes.HasPrefix(text, []byte(prefix)) {
		return 1
	}
	return 0
}
