package main

import (
	"fmt"
	"strings"
	"time"
)

// lookTimeout is the timeout of the routes to the plain service.
const lookTimeout = 1500 * time.Millisecond

// customer is one of the operator's, with its keys.
type customer struct {
	name string
	keys []string
}

// rules are the operator's desired state. Each route is named like its prefix; the beginning of the name says its kind.
type rules struct {
	version   int
	routes    []string
	customers []customer
}

func newRules() rules {
	return rules{
		version: 3,
		routes:  []string{"draft", "look"},
		customers: []customer{
			{name: "crew", keys: []string{"key-of-crew"}},
			{name: "clerk", keys: []string{"key-of-clerk"}},
		},
	}
}

// encode returns the object of the rules, with the figures of the smallest installation.
func (r *rules) encode() map[string]any {
	var routes, tenants []any
	for _, name := range r.routes {
		route := map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "idempotent", "timeoutMs": lookTimeout.Milliseconds(),
			"targetLatencyMs": 300, "priority": 2, "maxAttempts": 2, "anonymousAccess": false, "sessionAffinity": false, "streamResumption": false,
			"service": plainService,
		}
		if strings.HasPrefix(name, "draft") {
			for field, value := range map[string]any{
				"kind": "streaming", "timeoutMs": 10000, "targetGapMs": 250, "priority": 1, "sessionAffinity": true, "streamResumption": true,
				"service": engineService,
			} {
				route[field] = value
			}
		}
		routes = append(routes, route)
	}
	for _, c := range r.customers {
		tenants = append(tenants, map[string]any{"name": c.name, api.Keys: c.keys, "priority": 1})
	}
	return map[string]any{
		"version": r.version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{
			"name": engineService, "healthPath": "/health", "maxConnections": 434, "protocol": "h1", "tls": false, "coldStartS": 3,
			api.ColdRate: 36, "engine": map[string]any{
				"slots": engineSlots, "cacheTokens": engineTokens, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226,
				"context_per_k": 0.00431, "read_per_s": 206000, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200,
				"usual": map[string]any{"prompt": 12327, "answer": 1303},
			},
		}, map[string]any{
			"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0,
			api.ColdRate: 0,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
}

// String names the version, the routes and the customers.
func (r *rules) String() string {
	return fmt.Sprintf("version %d with routes %v and customers %v", r.version, r.routes, r.customers)
}
