package storer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// dialTimeout bounds the time to open a connection to the store, which stands in the same region.
const dialTimeout = 500 * time.Millisecond

// Transport makes single HTTP calls to a store; it never repeats one.
type Transport struct {
	base    string
	timeout time.Duration
	reader  *client.Client
	// writer opens a connection for each write: the HTTP client silently repeats a PUT or DELETE whose reused
	// connection closes before the response, although the write may have taken effect.
	writer *client.Client
}

// Exchange is one call; a zero timeout means the transport's.
type Exchange struct {
	Method string
	// Path includes the query.
	Path           string
	Condition      string
	ConditionValue string
	Body           []byte
	Timeout        time.Duration
}

// Response is what the store answered.
type Response struct {
	Status int
	Body   []byte
}

// NewTransport returns a transport to address (host:port) whose calls end within timeout unless they say otherwise.
func NewTransport(address string, timeout time.Duration) (*Transport, error) {
	reader, err := newClient(true)
	if err != nil {
		return nil, err
	}
	writer, err := newClient(false)
	if err != nil {
		return nil, err
	}
	return &Transport{
		base:    "http://" + address,
		timeout: timeout,
		reader:  reader,
		writer:  writer,
	}, nil
}

func newClient(keepAlive bool) (*client.Client, error) {
	return client.NewClient(
		client.WithDialTimeout(dialTimeout),
		// The default dialer's connections sometimes lose a response after which the server closes at once.
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(64),
		client.WithKeepAlive(keepAlive),
	)
}

// Do makes the call; it fails with an UnavailableError if no whole response came.
func (t *Transport) Do(ctx context.Context, e Exchange) (Response, error) {
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(e.Method)
	req.SetRequestURI(t.base + e.Path)
	if e.Condition != "" {
		req.Header.Set(e.Condition, e.ConditionValue)
	}
	if e.Body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if e.Method != http.MethodGet {
		// The library repeats a PUT or DELETE by itself when a pooled connection closes without an answer, unless
		// the body is a stream. A repeated conditional write conflicts with its own first attempt.
		req.SetBodyStream(bytes.NewReader(e.Body), len(e.Body))
	}
	timeout := t.timeout
	if e.Timeout > 0 {
		timeout = e.Timeout
	}
	deadline := time.Now().Add(timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	sender := t.reader
	if e.Method != http.MethodGet {
		sender = t.writer
	}
	if err := sender.DoDeadline(ctx, req, resp, deadline); err != nil {
		return Response{}, &UnavailableError{
			Sent:  !isDialError(err),
			Cause: err,
		}
	}
	return Response{
		Status: resp.StatusCode(),
		Body:   bytes.Clone(resp.Body()),
	}, nil
}

// isDialError reports whether the connection could not be opened, so that no byte left.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
