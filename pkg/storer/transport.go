package storer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"

	"bergamothollow.example/bergamothollow/pkg/dialer"
)

// dialTimeout bounds the time to connect to the store, which is in the same region.
const dialTimeout = 500 * time.Millisecond

// maxResponseBytes bounds the body of a response; the store's lists have about 1 MB.
const maxResponseBytes = 16 << 20

// Transport makes HTTP calls to a store and never retries them.
type Transport struct {
	base    string
	timeout time.Duration
	// client opens a connection for each call. On a reused one, a second copy of an earlier response would be taken for the response to
	// the call, since responses don't name their request; and if it closed before the response, the client would silently retry a PUT
	// or DELETE that may have taken effect.
	client *client.Client
}

// HTTPRequest is a request to the store. A zero Timeout means the timeout of the transport.
type HTTPRequest struct {
	Method string
	// Path includes the query.
	Path string
	// Condition is the name of a header like If-Match, or empty; ConditionValue is its value.
	Condition      string
	ConditionValue string
	// Header holds further headers by name.
	Header  map[string]string
	Body    []byte
	Timeout time.Duration
}

// Response is the status, the header and the body of an HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewTransport returns a transport to address (host:port). The timeout applies to each call that sets none.
func NewTransport(address string, timeout time.Duration) (*Transport, error) {
	c, err := client.NewClient(append(dialer.Bounded(maxResponseBytes),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(64),
		client.WithKeepAlive(false),
	)...)
	if err != nil {
		return nil, err
	}
	return &Transport{
		base:    "http://" + address,
		timeout: timeout,
		client:  c,
	}, nil
}

// Do makes the call. It fails with an UnavailableError if no complete response arrives.
func (t *Transport) Do(ctx context.Context, r HTTPRequest) (Response, error) {
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(r.Method)
	req.SetRequestURI(t.base + r.Path)
	if r.Condition != "" {
		req.Header.Set(r.Condition, r.ConditionValue)
	}
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	if r.Body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if r.Method != http.MethodGet {
		// The library retries a PUT or DELETE when a pooled connection closes without a response, unless the body is
		// a stream. A retried conditional write would conflict with its own first attempt.
		req.SetBodyStream(bytes.NewReader(r.Body), len(r.Body))
	}
	timeout := t.timeout
	if r.Timeout > 0 {
		timeout = r.Timeout
	}
	deadline := time.Now().Add(timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	if err := t.client.DoDeadline(ctx, req, resp, deadline); err != nil {
		return Response{}, &UnavailableError{
			Sent:  !isDialError(err),
			Cause: err,
		}
	}
	header := http.Header{}
	resp.Header.VisitAll(func(name, value []byte) { header.Add(string(name), string(value)) })
	return Response{
		Status: resp.StatusCode(),
		Header: header,
		Body:   bytes.Clone(resp.Body()),
	}, nil
}

// isDialError reports whether the connection could not be opened, in which case nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
