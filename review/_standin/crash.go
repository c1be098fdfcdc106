package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0a7e"
	// firstEventAfter and passTime are when a target sends the first event, and the time between two events.
	firstEventAfter = 40 * time.Millisecond
	passTime        = 100 * time.Millisecond
	soundEvents     = 8
	// crashAfter is the time from the first event of an answer on the deadly part to the crash: the length of a pass in which the
	// target also reads a long prompt.
	crashAfter = 350 * time.Millisecond
	// backAfter is how long a target is gone after a crash, and lapseAfter when its entry lapses.
	backAfter  = 4500 * time.Millisecond
	lapseAfter = 3600 * time.Millisecond
	// calmTime is the time before the first request with the deadly part, and deadlyTime how long such requests come.
	calmTime   = 15 * time.Second
	deadlyTime = 45 * time.Second
	// soundInterval and deadlyInterval are the intervals at which requests come.
	soundInterval  = 100 * time.Millisecond
	deadlyInterval = 300 * time.Millisecond
	contactTime    = 3 * time.Second
	// countedCrash is the crash from which the rules count, and minCounted the least number of requests on each side.
	countedCrash = 5
	minCounted   = 20
)

// crashing is a place where a target runs, crashes and starts again.
type crashing struct {
	play  *play
	store *store
	zone  string

	mu     sync.Mutex
	engine *engine
	count  int
	gone   bool
}

// crashPlay is what the case counts.
type crashPlay struct {
	*play

	mu      sync.Mutex
	crashes []time.Time
	// sound holds when sound requests were sent, and whether their answers began.
	sound []soundRequest
}

type soundRequest struct {
	sent  time.Time
	begun bool
}

// begin starts a new run of the target, at the address of the one before.
func (c *crashing) begin(cp *crashPlay) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := "127.0.0.1:0"
	if c.engine != nil {
		address = c.engine.address
	}
	c.count++
	id := fmt.Sprintf("i-scribe-%s-%d", c.zone, c.count)
	e, err := startEngineAt(c.play.names, address, id, "scribe", c.zone, func(r run) {
		c.play.record.add("engine %s runs %s", r.engine, r.id)
	}, func(e *engine, conn net.Conn, r *http.Request, _ []byte) { c.answer(cp, e, conn, r) })
	if err != nil {
		return err
	}
	c.engine, c.gone = e, false
	c.store.put(c.play.names.TargetKind, id, e.entry())
	return nil
}

func (c *crashing) answer(cp *crashPlay, e *engine, conn net.Conn, r *http.Request) {
	deadly := strings.Contains(r.Header.Get(c.play.names.Parts), deadlyPart)
	time.Sleep(firstEventAfter)
	if _, err := io.WriteString(conn, e.head(r, "Content-Type: text/event-stream")+event(1)); err != nil {
		return
	}
	if deadly {
		time.Sleep(crashAfter)
		c.crash(cp, e, r.Header.Get(c.play.names.RequestID))
		return
	}
	for i := 2; i <= soundEvents; i++ {
		time.Sleep(passTime)
		if _, err := io.WriteString(conn, event(i)); err != nil {
			return
		}
	}
}

// crash ends a run of the target; another one begins some seconds later.
func (c *crashing) crash(cp *crashPlay, e *engine, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone || c.engine != e {
		return
	}
	c.gone = true
	e.end()
	cp.mu.Lock()
	cp.crashes = append(cp.crashes, time.Now())
	c.play.record.add("engine %s crashes as it writes the answer to %s, crash %d", e.id, request, len(cp.crashes))
	cp.mu.Unlock()
	time.AfterFunc(lapseAfter, func() { c.store.remove(c.play.names.TargetKind, e.id) })
	time.AfterFunc(backAfter, func() {
		if err := c.begin(cp); err != nil {
			c.play.record.add("engine of %s couldn't start again: %v", c.zone, err)
		}
	})
}

// playCrash sends sound requests, and later also some with a part on which each target crashes that writes an answer.
func playCrash(p *play) (int, error) {
	zones := []string{"north-pier", "fish-wharf", "cannery-row"}
	s, err := newStore(p.names)
	if err != nil {
		return failed, err
	}
	cp := &crashPlay{play: p}
	for i := range 4 {
		c := &crashing{play: p, store: s, zone: zones[i%len(zones)], count: 100 * i}
		if err := c.begin(cp); err != nil {
			return failed, err
		}
	}
	s.put(p.names.RulesKind, "main", p.rules(1, []map[string]any{{
		"name": "notes", "host": hostName, "pathPrefix": "/notes/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300,
		"priority": 1, "service": "scribe", "maxAttempts": 2, "anonymousAccess": false, "sessionAffinity": true,
		"streamResumption": true, "targetGapMs": 250,
	}}, []map[string]any{p.modelService("scribe")}))
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
	time.Sleep(contactTime)
	deadlyFrom := time.Now().Add(calmTime)
	end := deadlyFrom.Add(deadlyTime)
	var group sync.WaitGroup
	nextDeadly := deadlyFrom
	for now := time.Now(); now.Before(end); now = time.Now() {
		group.Go(func() { cp.sendSound(gateways[rand.IntN(len(gateways))]) })
		if p.trouble && now.After(nextDeadly) {
			nextDeadly = now.Add(deadlyInterval)
			group.Go(func() { cp.sendDeadly(gateways[rand.IntN(len(gateways))]) })
		}
		time.Sleep(soundInterval)
	}
	group.Wait()
	return cp.judge(deadlyFrom, end)
}

// judge compares how often sound requests began in the calm time and after the fifth crash.
func (cp *crashPlay) judge(deadlyFrom, end time.Time) (int, error) {
	from := deadlyFrom.Add(2 * contactTime)
	if n := min(len(cp.crashes), countedCrash); n > 0 {
		from = cp.crashes[n-1].Add(2 * contactTime)
	}
	var calm, later, calmBegun, laterBegun int
	for _, r := range cp.sound {
		switch {
		case r.sent.Before(deadlyFrom):
			calm++
			if r.begun {
				calmBegun++
			}
		case r.sent.After(from) && r.sent.Before(end):
			later++
			if r.begun {
				laterBegun++
			}
		}
	}
	cp.record.add("%d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d from %.1f s on", len(cp.crashes),
		calmBegun, calm, laterBegun, later, from.Sub(cp.record.began).Seconds())
	if calm < minCounted || later < minCounted || calmBegun < calm/2 {
		return failed, fmt.Errorf("too few sound requests: %d and %d, %d begun before", calm, later, calmBegun)
	}
	if float64(laterBegun)/float64(later) < float64(calmBegun)/float64(calm)/2 {
		cp.record.add("LOST: sound requests with the same first part begin less than half as often as before")
		return broken, nil
	}
	return held, nil
}

func (cp *crashPlay) prompt(parts string) request {
	return request{
		method: http.MethodPost,
		path:   "/notes/1",
		limit:  10 * time.Second,
		body:   []byte("a prompt"),
		header: map[string]string{
			cp.names.Model:  "m",
			cp.names.Tokens: "1250,300",
			cp.names.Parts:  parts,
		},
	}
}

func (cp *crashPlay) sendSound(g *gateway) {
	sent := time.Now()
	a := cp.send(g.callers, cp.prompt(fmt.Sprintf("5c1e07a2:40,91bd3f06:800,%08x:410", rand.Uint32())))
	begun := a.status == http.StatusOK && len(a.body) > 0
	cp.record.add("client sent %s to %s, got %d, %d bytes, error: %v", a.id, g.name, a.status, len(a.body), a.err)
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.sound = append(cp.sound, soundRequest{
		sent:  sent,
		begun: begun,
	})
}

func (cp *crashPlay) sendDeadly(g *gateway) {
	a := cp.send(g.callers, cp.prompt(fmt.Sprintf("5c1e07a2:40,%s:800,%08x:410", deadlyPart, rand.Uint32())))
	cp.record.add("client sent %s with the deadly part to %s, got %d, %d bytes, error: %v", a.id, g.name, a.status, len(a.body), a.err)
}
