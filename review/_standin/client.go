package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	hostName = "pier.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "crew"
)

// request is one attempt of a client.
type request struct {
	method string
	path   string
	limit  time.Duration
	body   []byte
	header map[string]string
}

// reply is what a client got; err is set if the answer is missing or incomplete.
type reply struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

var lastID atomic.Int64

// fresh makes a client use a new channel for each request.
var fresh = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
	},
}

// send sends a request on a new channel.
func (p *play) send(address string, q request) reply {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, bytes.NewReader(q.body))
	if err != nil {
		return reply{id: id, err: err}
	}
	r.Host = hostName
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	r.Header.Set(p.names.RequestID, id)
	r.Header.Set(p.names.Key, apiKey)
	r.Header.Set(p.names.Remaining, strconv.FormatInt(q.limit.Milliseconds(), 10))
	response, err := fresh.Do(r)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		id:     id,
		status: response.StatusCode,
		header: response.Header,
		body:   body,
		err:    err,
	}
}

// rules returns a desired state with the given routes and services, each as in the wire's examples.
func (p *play) rules(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": tenant, p.names.Keys: []string{apiKey}, "priority": 1}},
	}
}

func (p *play) plainService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, p.names.ColdRate: 0.0,
	}
}

// modelService returns a service of model engines.
func (p *play) modelService(name string) map[string]any {
	s := p.plainService(name)
	s["engine"] = map[string]any{
		"slots": 16, "cacheTokens": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
		"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "usual": map[string]any{"prompt": 12327, "answer": 1303},
	}
	return s
}
