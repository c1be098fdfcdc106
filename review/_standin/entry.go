package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the deployment's heartbeatIntervalMs: a target writes its entry that often.
	beatInterval = 1200 * time.Millisecond
	// strangeEvery is how often the other writer writes, and strangeTime how long it goes on.
	strangeEvery = 3 * time.Second
	strangeTime  = 20 * time.Second
)

// playEntry lets another writer write entries that lack fields, and watches which service runs the requests.
func playEntry(p *play) (int, error) {
	zones := []string{"north-pier", "fish-wharf", "cannery-row"}
	s, err := newStore(p.names)
	if err != nil {
		return failed, err
	}
	var wrong, right atomic.Int64
	var engines []*engine
	for _, t := range []struct{ id, service, zone string }{
		{"i-ledger-1", "ledger", zones[0]},
		{"i-ledger-2", "ledger", zones[1]},
		{"i-desk-1", "desk", zones[0]},
		{"i-desk-2", "desk", zones[1]},
	} {
		e, err := startEngine(p.names, t.id, t.service, t.zone, func(r run) {
			p.record.add("engine %s of %s runs %s, path %s", r.engine, t.service, r.id, r.path)
			if r.path != "/"+t.service+"/1" {
				wrong.Add(1)
				p.record.add("ROUTE: %s is run by the service %s", r.id, t.service)
				return
			}
			right.Add(1)
		}, plainAnswer)
		if err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	entries := map[string]map[string]any{}
	for _, e := range engines {
		entries[e.id] = e.entry()
		s.put(p.names.TargetKind, e.id, entries[e.id])
	}
	route := func(service string) map[string]any {
		return map[string]any{
			"name": service, "host": hostName, "pathPrefix": "/" + service + "/", "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": 1, "anonymousAccess": false,
		}
	}
	s.put(p.names.RulesKind, "main", p.rules(1, []map[string]any{route("ledger"), route("desk")},
		[]map[string]any{p.plainService("ledger"), p.plainService("desk")}))
	gateways, err := newGateways(p.folder, s.address, zones, 3)
	if err != nil {
		return failed, err
	}
	defer killAll(gateways)
	if err := startAll(p, gateways); err != nil {
		return failed, err
	}
	if err := waitReady(p.names, gateways, 10*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(strangeTime)
	nextBeat, nextStrange := time.Now(), time.Now().Add(time.Second)
	for i := 0; time.Now().Before(end); i++ {
		now := time.Now()
		if now.After(nextBeat) {
			nextBeat = now.Add(beatInterval)
			for _, e := range engines {
				s.put(p.names.TargetKind, e.id, entries[e.id])
			}
		}
		if p.trouble && now.After(nextStrange) {
			nextStrange = now.Add(strangeEvery)
			e := engines[2]
			// The version and the sequence are missing.
			s.put(p.names.TargetKind, e.id, map[string]any{
				"service": "ledger", "address": e.address, "zone": e.zone, "slots": 6, "state": "ready", p.names.ColdRemaining: 0,
			})
			p.record.add("another writer writes %s without version and sequence, with the service ledger", e.id)
		}
		service := []string{"ledger", "desk"}[i%2]
		a := p.send(gateways[i%len(gateways)].callers, request{
			method: http.MethodPost,
			path:   "/" + service + "/1",
			limit:  3 * time.Second,
			body:   []byte("a payout"),
		})
		p.record.add("client sent %s to /%s/1, got %d %q %v", a.id, service, a.status, a.body, a.err)
		time.Sleep(20 * time.Millisecond)
	}
	p.record.add("%d requests run by their service, %d by another one", right.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
