package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client asks for.
type request struct {
	path  string
	key   string
	limit time.Duration
	// tokens and parts are those of a prompt; they are empty for other requests.
	tokens string
	parts  string
}

// answer is what a client got.
type answer struct {
	request request
	id      string
	at      string
	sent    time.Time
	// took is the time until the answer, or until the channel or the client's patience ended.
	took time.Duration
	// kept is set if the channel had been used before.
	kept bool
	// status is 0 if the channel ended before an answer began; whole is set if the answer has its end.
	status int
	whole  bool
}

// requests counts the requests of a script, whose ids it makes unique.
var requests atomic.Int64

// client sends requests one after the other to an instance, and keeps its channel.
type client struct {
	instance *instance
	http     http.Client
}

func newClient(i *instance) *client {
	return &client{
		instance: i,
		http: http.Client{
			Transport: &http.Transport{DisableCompression: true},
		},
	}
}

// send sends a request and reads the answer.
func (c *client) send(r request) (a answer) {
	a = answer{
		request: r,
		id:      fmt.Sprintf("%016x", requests.Add(1)),
		at:      c.instance.name,
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused },
	})
	method, body := http.MethodGet, ""
	if r.tokens != "" {
		method, body = http.MethodPost, "body"
	}
	message, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.address(callersPort)+r.path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// The library must not send the request once more by itself.
	message.GetBody = nil
	message.Host = host
	message.Header.Set(headers.RequestID, a.id)
	message.Header.Set(headers.Key, r.key)
	message.Header.Set(headers.RemainingMilliseconds, fmt.Sprint(r.limit.Milliseconds()))
	if r.tokens != "" {
		message.Header.Set(api.Model, "m")
		message.Header.Set(headers.Tokens, r.tokens)
		message.Header.Set(headers.Parts, r.parts)
	}
	a.sent = time.Now()
	defer func() { a.took = time.Since(a.sent) }()
	response, err := c.http.Do(message)
	if err != nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	a.whole = err == nil
	return a
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}
