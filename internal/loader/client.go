package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"bergamothollow.example/bergamothollow/internal/follower"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

const (
	dialTimeout    = time.Second
	addressTimeout = 2 * time.Second
	maxEventBytes  = 1 << 20
	maxConnections = 10_000
)

var errNoAddresses = errors.New("the instance returned no addresses")

// refusal is a refusal as callers receive it.
type refusal struct {
	Reason       refuser.Reason `json:"type"`
	Message      string         `json:"message"`
	Ran          refuser.Ran    `json:"ran"`
	RetryAfterMS int64          `json:"retry_after_ms"`
}

// Error describes the refusal.
func (r *refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Message)
}

// wrongError means that an answer differs from the expected one.
type wrongError struct {
	message string
}

// Error describes the wrong answer.
func (e *wrongError) Error() string {
	return e.message
}

// event is one event of a completion's stream.
type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	TokenIndex int      `json:"token_index"`
	Error      *refusal `json:"error"`
}

// httpClient is the HTTP client for instances; it streams the responses of completions and buffers all others.
type httpClient struct {
	streams *client.Client
	calls   *client.Client
}

func newHTTPClient() (*httpClient, error) {
	// The standard dialer is used because closing its connection ends a blocked read.
	options := []config.ClientOption{
		client.WithDialTimeout(dialTimeout),
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(maxConnections),
	}
	calls, err := client.NewClient(options...)
	if err != nil {
		return nil, err
	}
	streams, err := client.NewClient(append(options, client.WithResponseBodyStream(true))...)
	if err != nil {
		return nil, err
	}
	return &httpClient{
		streams: streams,
		calls:   calls,
	}, nil
}

// fetchAddresses asks an instance for the addresses to use.
func (h *httpClient) fetchAddresses(address string) (addressAnswer, error) {
	var answer addressAnswer
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetRequestURI("http://" + address + "/v1/address")
	if err := h.calls.DoTimeout(context.Background(), req, resp, addressTimeout); err != nil {
		return answer, err
	}
	if resp.StatusCode() != http.StatusOK {
		return answer, readRefusal(resp)
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return answer, err
	}
	if len(answer.Addresses) == 0 {
		return answer, errNoAddresses
	}
	return answer, nil
}

// stream sends a completion and passes each event to receive until the answer ends.
// Once the first event has arrived, a pause longer than silence ends the stream with an error.
func (h *httpClient) stream(ctx context.Context, req *protocol.Request, silence time.Duration, receive func(event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp := &protocol.Response{}
	if deadline, ok := ctx.Deadline(); ok {
		req.SetOptions(config.WithReadTimeout(time.Until(deadline)))
	}
	if err := h.streams.Do(ctx, req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		defer func() { _ = resp.CloseBodyStream() }()
		return readRefusal(resp)
	}
	watchdog := time.AfterFunc(time.Hour, cancel)
	defer watchdog.Stop()
	return follower.Follow(ctx, resp, maxEventBytes, func(data []byte) (bool, error) {
		watchdog.Reset(silence)
		if string(data) == "[DONE]" {
			return true, nil
		}
		var parsed event
		if err := json.Unmarshal(data, &parsed); err != nil {
			return false, &wrongError{
				message: "an event is not valid JSON: " + err.Error(),
			}
		}
		if parsed.Error != nil {
			return false, parsed.Error
		}
		return false, receive(parsed)
	})
}

// call sends a service call and returns the response's body and whether it was replayed.
func (h *httpClient) call(ctx context.Context, req *protocol.Request) (body []byte, replayed bool, err error) {
	resp := &protocol.Response{}
	deadline, _ := ctx.Deadline()
	if err := h.calls.DoDeadline(ctx, req, resp, deadline); err != nil {
		return nil, false, err
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, false, readRefusal(resp)
	}
	return resp.Body(), resp.Header.Get("Bergamothollow-Replayed") == "true", nil
}

func readRefusal(resp *protocol.Response) error {
	body, err := resp.BodyE()
	if err != nil {
		return err
	}
	var answer struct {
		Error *refusal `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error == nil || answer.Error.Reason == "" {
		return &wrongError{
			message: fmt.Sprintf("status %d without a valid refusal in the body: %.200s", resp.StatusCode(), body),
		}
	}
	return answer.Error
}

func newRequest(address, path, customer string, remaining time.Duration, body []byte) *protocol.Request {
	req := &protocol.Request{}
	req.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.Header.Set("Bergamothollow-Customer", customer)
	req.Header.Set("Bergamothollow-Deadline", remaining.Round(time.Millisecond).String())
	req.SetBody(body)
	return req
}
