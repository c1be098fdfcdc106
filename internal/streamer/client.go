package streamer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"bergamothollow.example/bergamothollow/internal/follower"
	"bergamothollow.example/bergamothollow/pkg/dialer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// callTimeout limits calls without a stream: lists, load reports, cache events, cancels and orders.
	callTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer that isn't a stream. Lists of requests have the most.
	maxAnswerBytes = 8 << 20
	// maxStreamBytes bounds a stream: 160,000 events of 100 bytes.
	maxStreamBytes = 16 << 20
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 64 << 10
	// doneData is the data of a stream's last event.
	doneData = "[DONE]"
)

// Client calls model engines.
type Client struct {
	streams *client.Client
	calls   *client.Client
}

// New returns a client that opens at most the given number of connections to each engine for streams, and as many for calls.
func New(connections int) (*Client, error) {
	streams, err := client.NewClient(append(dialer.BoundedStream(maxStreamBytes),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(connections),
		client.WithResponseBodyStream(true),
	)...)
	if err != nil {
		return nil, err
	}
	// Each call has a connection of its own: on a reused one, a second copy of an earlier answer would be taken for the answer to the
	// call. The tokens of streams name their request.
	calls, err := client.NewClient(append(dialer.Bounded(maxAnswerBytes),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(connections),
		client.WithKeepAlive(false),
	)...)
	if err != nil {
		return nil, err
	}
	return &Client{
		streams: streams,
		calls:   calls,
	}, nil
}

// Stream sends the completion and passes each token to receive until the stream is done, the context ends or receive fails.
func (c *Client) Stream(ctx context.Context, address string, completion Completion, receive func(Token) error) error {
	body, err := json.Marshal(completion)
	if err != nil {
		return err
	}
	// These are not taken from the library's pool, because a request abandoned by open still uses them.
	req := &protocol.Request{}
	resp := &protocol.Response{}
	req.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/completions")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	sse.AddAcceptMIME(req)
	if deadline, ok := ctx.Deadline(); ok {
		req.SetOptions(config.WithReadTimeout(time.Until(deadline)))
	}
	if err := c.open(ctx, req, resp); err != nil {
		return callError(address, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != http.StatusOK {
		return statusError(address, resp)
	}
	return readTokens(ctx, address, resp, receive)
}

// open sends the request and waits for the response header. The library ignores the context during that wait, so it runs in
// a goroutine, which is abandoned when the context ends.
func (c *Client) open(ctx context.Context, req *protocol.Request, resp *protocol.Response) error {
	done := make(chan error, 1)
	go func() {
		done <- c.streams.Do(ctx, req, resp)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		go func() {
			if <-done == nil {
				_ = resp.CloseBodyStream()
			}
		}()
		return ctx.Err()
	}
}

func readTokens(ctx context.Context, address string, resp *protocol.Response, receive func(Token) error) error {
	err := follower.Follow(ctx, resp, maxEventBytes, func(data []byte) (bool, error) {
		if string(data) == doneData {
			return true, nil
		}
		var token Token
		if err := json.Unmarshal(data, &token); err != nil {
			return false, err
		}
		return false, receive(token)
	})
	if err != nil {
		return callError(address, err)
	}
	return nil
}

// Cancel ends a request at an engine and frees its memory there.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.call(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
}

// Requests lists the requests that an engine holds memory for.
func (c *Client) Requests(ctx context.Context, address string) (RequestList, error) {
	var list RequestList
	err := c.call(ctx, http.MethodGet, address, "/v1/requests", nil, &list)
	return list, err
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, address, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents reads an engine's prefix cache events whose number is greater than after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, address, "/v1/cache_events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Order sends an order to an engine.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	return c.call(ctx, http.MethodPost, address, "/v1/orders", order, nil)
}

func (c *Client) call(ctx context.Context, method, address, path string, message, answer any) error {
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			return err
		}
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if err := c.calls.DoTimeout(ctx, req, resp, callTimeout); err != nil {
		return callError(address, err)
	}
	if status := resp.StatusCode(); status != http.StatusOK && status != http.StatusNoContent {
		return statusError(address, resp)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return callError(address, fmt.Errorf("read answer of %s: %w", path, err))
	}
	return nil
}

func callError(address string, cause error) error {
	var operation *net.OpError
	return &EngineError{
		Address: address,
		Sent:    !errors.As(cause, &operation) || operation.Op != "dial",
		Cause:   cause,
	}
}

func statusError(address string, resp *protocol.Response) error {
	var answer struct {
		Error string `json:"error"`
	}
	// A response without a JSON body has no error code.
	_ = json.Unmarshal(resp.Body(), &answer)
	return &EngineError{
		Address: address,
		Status:  resp.StatusCode(),
		Code:    answer.Error,
		Sent:    true,
	}
}
