package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents = 12
	// brokenAfter is how many events the target sends before it breaks off inside the next one.
	brokenAfter = 5
	// One answer in garbleEvery of every second target is broken off: 3 in 100 are the most that the pages name.
	garbleEvery = 34
	streams     = 1200
	// clients send streams at the same time.
	clients = 10
)

func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", id, id, streamEvents)
}

// playStream sends streams through a route whose targets end their answers with the channel, and breaks some of them off inside an event.
func playStream(p *play) (int, error) {
	zones := []string{"north-pier", "fish-wharf", "cannery-row"}
	s, err := newStore(p.names)
	if err != nil {
		return failed, err
	}
	counts := map[string]*atomic.Int64{"i-scribe-1": {}, "i-desk-1": {}}
	onRun := func(r run) { p.record.add("engine %s runs %s", r.engine, r.id) }
	answer := func(e *engine, c net.Conn, r *http.Request, _ []byte) {
		_, _ = io.WriteString(c, e.head(r, "Content-Type: text/event-stream"))
		count := counts[e.id]
		breakOff := p.trouble && count != nil && count.Add(1)%garbleEvery == 0
		for i := 1; i <= streamEvents; i++ {
			if breakOff && i == brokenAfter+1 {
				text := event(i)
				_, _ = io.WriteString(c, text[:len(text)/2])
				p.record.add("engine %s breaks off the answer to %s inside event %d", e.id, r.Header.Get(p.names.RequestID), i)
				return
			}
			_, _ = io.WriteString(c, event(i))
			time.Sleep(5 * time.Millisecond)
		}
	}
	for _, t := range []struct{ id, service, zone string }{
		{"i-scribe-1", "scribe", zones[0]},
		{"i-scribe-2", "scribe", zones[1]},
		{"i-desk-1", "desk", zones[0]},
		{"i-desk-2", "desk", zones[1]},
	} {
		e, err := startEngine(p.names, t.id, t.service, t.zone, onRun, answer)
		if err != nil {
			return failed, err
		}
		s.put(p.names.TargetKind, e.id, e.entry())
	}
	s.put(p.names.RulesKind, "main", p.rules(1, []map[string]any{{
		"name": "notes", "host": hostName, "pathPrefix": "/notes/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300,
		"priority": 1, "trafficSplit": []map[string]any{{"service": "scribe", "weight": 50}, {"service": "desk", "weight": 50}},
		"maxAttempts": 2, "anonymousAccess": false, "sessionAffinity": true, "streamResumption": false, "targetGapMs": 250,
	}}, []map[string]any{p.modelService("scribe"), p.plainService("desk")}))
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
	var short, complete, unserved atomic.Int64
	jobs := make(chan int)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for i := range jobs {
				switch p.stream(gateways[i%len(gateways)].callers) {
				case streamShort:
					short.Add(1)
				case streamComplete:
					complete.Add(1)
				case streamBroken:
					unserved.Add(1)
				}
			}
		})
	}
	for i := range streams {
		jobs <- i
	}
	close(jobs)
	group.Wait()
	p.record.add("%d streams complete, %d broken off visibly or not served, %d end as complete before their last piece", complete.Load(),
		unserved.Load(), short.Load())
	if short.Load() > 0 {
		return broken, nil
	}
	if !p.trouble && complete.Load() < streams {
		return failed, fmt.Errorf("only %d of %d streams are complete without trouble", complete.Load(), streams)
	}
	return held, nil
}

// streamEnd is how a stream ended for its client.
type streamEnd int

const (
	// streamBroken means that the client sees that the stream isn't complete.
	streamBroken streamEnd = iota
	streamComplete
	// streamShort means that the stream ended as complete before its last piece.
	streamShort
)

// stream sends one request and reads the whole stream.
func (p *play) stream(address string) streamEnd {
	a := p.send(address, request{
		method: http.MethodPost,
		path:   "/notes/1",
		limit:  10 * time.Second,
		body:   []byte("a prompt"),
		header: map[string]string{
			p.names.Model:  "m",
			p.names.Tokens: "1460,80",
			p.names.Parts:  "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		},
	})
	ended := a.status == http.StatusOK && a.err == nil
	whole := strings.HasSuffix(string(a.body), event(streamEvents))
	p.record.add("client sent %s to %s, got %d with receipt %q, %d bytes, complete: %t, last piece: %t, error: %v", a.id, address,
		a.status, a.header.Get(p.names.Receipt), len(a.body), ended, whole, a.err)
	switch {
	case ended && !whole:
		p.record.add("ORDER: the stream of %s ends as complete before its last piece; its end is %q", a.id, a.body[max(0, len(a.body)-40):])
		return streamShort
	case ended:
		return streamComplete
	default:
		return streamBroken
	}
}
