package storer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// watchTimeoutMargin is the time beyond the wait of a watch after which its call counts as failed.
const watchTimeoutMargin = 2 * time.Second

// HTTP is the HTTP client of the platform's object API; it implements Store.
type HTTP struct {
	transport *Transport
}

// NewHTTP returns a client of the object API at address (host:port); timeout bounds every call except a watch, which is bounded
// by its own wait.
func NewHTTP(address string, timeout time.Duration) (*HTTP, error) {
	transport, err := NewTransport(address, timeout)
	if err != nil {
		return nil, err
	}
	return &HTTP{
		transport: transport,
	}, nil
}

// Get reads one object.
func (h *HTTP) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var object Object
	err := h.call(ctx, call{
		method: http.MethodGet,
		path:   objectPath(kind, name),
		kind:   kind,
		name:   name,
	}, &object)
	return object, err
}

// Create writes the value if no object has the name.
func (h *HTTP) Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (versioner.Version, error) {
	return h.put(ctx, kind, name, "If-None-Match", "*", value)
}

// Update writes the value if the object still has the version.
func (h *HTTP) Update(ctx context.Context, kind Kind, name string, version versioner.Version, value json.RawMessage) (versioner.Version, error) {
	return h.put(ctx, kind, name, "If-Match", strconv.FormatInt(version.Number, 10), value)
}

// Delete removes the object if it still has the version.
func (h *HTTP) Delete(ctx context.Context, kind Kind, name string, version versioner.Version) error {
	return h.call(ctx, call{
		method:         http.MethodDelete,
		path:           objectPath(kind, name),
		kind:           kind,
		name:           name,
		condition:      "If-Match",
		conditionValue: strconv.FormatInt(version.Number, 10),
	}, nil)
}

// List reads up to limit objects, in the order of their names, whose names start with prefix and are greater than after.
func (h *HTTP) List(ctx context.Context, kind Kind, prefix, after string, limit int) (Listing, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	var listing Listing
	err := h.call(ctx, call{
		method: http.MethodGet,
		path:   "/v1/objects/" + url.PathEscape(string(kind)) + "?" + query.Encode(),
		kind:   kind,
	}, &listing)
	return listing, err
}

// Watch waits for changes of a kind after a version.
func (h *HTTP) Watch(ctx context.Context, kind Kind, after versioner.Version, wait time.Duration) (Changes, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatInt(after.Number, 10))
	query.Set("timeout_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var changes Changes
	err := h.call(ctx, call{
		method:  http.MethodGet,
		path:    "/v1/watch/" + url.PathEscape(string(kind)) + "?" + query.Encode(),
		kind:    kind,
		after:   after,
		timeout: wait + watchTimeoutMargin,
	}, &changes)
	return changes, err
}

// Instances reads the platform's list of instances, which may be out of date.
func (h *HTTP) Instances(ctx context.Context) ([]ListedInstance, error) {
	var result struct {
		Instances []ListedInstance `json:"instances"`
	}
	err := h.call(ctx, call{
		method: http.MethodGet,
		path:   "/v1/instances",
	}, &result)
	return result.Instances, err
}

// call is one HTTP call. A zero timeout means the timeout of the transport.
type call struct {
	method         string
	path           string
	kind           Kind
	name           string
	after          versioner.Version
	condition      string
	conditionValue string
	body           json.RawMessage
	timeout        time.Duration
}

func (h *HTTP) put(ctx context.Context, kind Kind, name, condition, value string, body json.RawMessage) (versioner.Version, error) {
	var version versioner.Version
	err := h.call(ctx, call{
		method:         http.MethodPut,
		path:           objectPath(kind, name),
		kind:           kind,
		name:           name,
		condition:      condition,
		conditionValue: value,
		body:           body,
	}, &version)
	return version, err
}

func (h *HTTP) call(ctx context.Context, c call, result any) error {
	response, err := h.transport.Do(ctx, HTTPRequest{
		Method:         c.method,
		Path:           c.path,
		Condition:      c.condition,
		ConditionValue: c.conditionValue,
		Body:           c.body,
		Timeout:        c.timeout,
	})
	if err != nil {
		return err
	}
	return decodeResponse(c, response, result)
}

func decodeResponse(c call, response Response, result any) error {
	switch status := response.Status; status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return decode(response.Body, result)
	case http.StatusNotFound:
		return &NotFoundError{
			Kind: c.kind,
			Name: c.name,
		}
	case http.StatusPreconditionFailed:
		conflict := &ConflictError{
			Kind: c.kind,
			Name: c.name,
		}
		// The body is empty if the object no longer exists.
		_ = json.Unmarshal(response.Body, &conflict.Current)
		return conflict
	case http.StatusGone:
		return &CompactedError{
			After: c.after,
		}
	case http.StatusTooManyRequests:
		return &ThrottledError{}
	default:
		return &UnavailableError{
			Sent:  true,
			Cause: fmt.Errorf("unexpected status %d", status),
		}
	}
}

func decode(body []byte, result any) error {
	if result == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &UnavailableError{
			Sent:  true,
			Cause: err,
		}
	}
	return nil
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
