package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// scribes is the number of model engines, and engineTokens the memory of each.
	scribes      = 12
	engineTokens = 232000
	// firstEvent is the time until an engine's first event.
	firstEvent = 30 * time.Millisecond
	// ordinaryTime is how long ordinary callers send: at each pace four prompts and one call.
	ordinaryTime = 80 * time.Second
	pace         = 100 * time.Millisecond
	// oddAt is when one client begins to send prompts with a number that no engine holds, oddAtOnce at each pace.
	oddAt     = 5 * time.Second
	oddAtOnce = 5
	oddTokens = "99999999999999999999,100"
	// callTimeout is the timeout of the calls' route, lateAfter is how much later an answer is missing, and lateCalls how many may be.
	callTimeout = 3 * time.Second
	lateAfter   = 500 * time.Millisecond
	lateCalls   = 8
	// callersWait is how many milliseconds callers wait.
	callersWait = 10000
)

// generate answers a prompt: one that is larger than the engine's memory is rejected as if the engine were full.
func generate(e *engine, c net.Conn, r *http.Request) {
	text, _, _ := strings.Cut(r.Header.Get(names["tokens"]), ",")
	if prompt, err := strconv.Atoi(text); err != nil || prompt > engineTokens {
		note("engine %s rejects a prompt of %s tokens", e.id, text)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", e.head(r), names["not_run"])
		return
	}
	time.Sleep(firstEvent)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", e.head(r))
	for i := 1; i <= 10; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(43 * time.Millisecond)
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
}

// tokens sends ordinary prompts and calls; with trouble, one client beside them states a prompt larger than any engine's memory.
func tokens(trouble bool) int {
	var engines []*engine
	for i := range scribes {
		e, err := newEngine(fmt.Sprint("m-", i), "scribe", zones[i%len(zones)], generate)
		if err != nil {
			note("%v", err)
			return couldNotRun
		}
		engines = append(engines, e)
	}
	for _, z := range zones {
		e, err := newEngine("p-"+z, "ledger", z, func(e *engine, c net.Conn, r *http.Request) { e.whole(c, r, "done") })
		if err != nil {
			note("%v", err)
			return couldNotRun
		}
		engines = append(engines, e)
	}
	w, err := newWorld(3, engines...)
	defer w.close()
	if err != nil {
		note("%v", err)
		return couldNotRun
	}
	c := &callCount{}
	start := time.Now()
	var group sync.WaitGroup
	for number := 0; time.Since(start) < ordinaryTime; number++ {
		for i := range oddAtOnce {
			g := w.gateways[(number+i)%len(w.gateways)]
			switch {
			case i == 0:
				group.Go(func() { c.send(g, "/look/1", "", start) })
			default:
				group.Go(func() { c.send(g, "/draft/1", "4960,430", start) })
			}
			if trouble && time.Since(start) > oddAt {
				group.Go(func() { c.send(g, "/draft/odd", oddTokens, start) })
			}
		}
		time.Sleep(pace)
	}
	group.Wait()
	note("calls: %d sent, %d answered with success, %d unanswered at the timeout of their route, %d of them also %v later", c.calls, c.served,
		c.unanswered, c.late, lateAfter)
	switch {
	case c.late >= lateCalls && c.late > c.unanswered/2:
		return broken
	case c.served < c.calls/2:
		return couldNotRun
	}
	return held
}

// callCount counts what became of the calls to the plain service.
type callCount struct {
	mu                              sync.Mutex
	calls, served, unanswered, late int
}

func (c *callCount) send(g *gateway, path, stated string, start time.Time) {
	r := newRequest(http.MethodPost, path, callersWait)
	r.tokens = stated
	r.body = "{}"
	sent := time.Now()
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		note("%s %s: %v", g.name, path, err)
		return
	}
	defer func() { _ = conn.Close() }()
	got := r.sendOn(conn, bufio.NewReader(conn))
	took := time.Since(sent)
	if got.status != http.StatusOK {
		note("%s %s %s, sent at %.1f s to %s: %d %s %v after %v", r.id, path, stated, sent.Sub(start).Seconds(), g.name, got.status, got.body,
			got.err, took)
	}
	if path != "/look/1" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if got.status == http.StatusOK {
		c.served++
	}
	if took > callTimeout {
		c.unanswered++
	}
	if took > callTimeout+lateAfter {
		c.late++
	}
}
