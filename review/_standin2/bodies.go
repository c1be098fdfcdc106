package main

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	bodyClients = 24
	bodyTime    = 40 * time.Second
	// longBody and moreBytes give bodies of 70 KB to 2.97 MB, far below the limit of 4 MiB.
	longBody  = 70_000
	moreBytes = 2_900_000
	// bodyPiece is the most that a client on a kept channel writes at once.
	bodyPiece = 120_000
	bodyPause = time.Millisecond
	// deniedFree and deniedShare are the rule's bound: more than 5 + one in 500 of all requests.
	deniedFree  = 5
	deniedShare = 500
)

// bodies sends proper requests with bodies of unlike lengths: with trouble on kept channels and in parts, without it each at once on a new
// channel.
func bodies(trouble bool) int {
	var engines []*engine
	for _, z := range zones {
		e, err := newEngine("i-"+z, "ledger", z, func(e *engine, c net.Conn, r *http.Request) {
			e.whole(c, r, "done")
		})
		if err != nil {
			note("%v", err)
			return couldNotRun
		}
		engines = append(engines, e)
	}
	w, err := newWorld(2, engines...)
	defer w.close()
	if err != nil {
		note("%v", err)
		return couldNotRun
	}
	c := &bodyCount{}
	end := time.Now().Add(bodyTime)
	var group sync.WaitGroup
	for k := range bodyClients {
		group.Go(func() { c.send(k, w.gateways[k%len(w.gateways)].callers, trouble, end) })
	}
	group.Wait()
	note("%d proper requests sent, %d answered with success, %d refused with a 4xx of the gateway's own; the rule allows %d", c.sent, c.served,
		c.refused, deniedFree+c.sent/deniedShare)
	switch {
	case c.refused > deniedFree+c.sent/deniedShare:
		return broken
	case c.served < c.sent/2:
		return couldNotRun
	}
	return held
}

// bodyCount counts what became of the requests.
type bodyCount struct {
	mu                    sync.Mutex
	sent, served, refused int
}

// send is one client.
func (b *bodyCount) send(number int, address string, kept bool, end time.Time) {
	random := rand.New(rand.NewPCG(uint64(number), uint64(number)))
	var c net.Conn
	var reader *bufio.Reader
	used := 0
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				time.Sleep(bodyPause)
				continue
			}
			reader = bufio.NewReader(c)
			used = 0
		}
		r := newRequest(http.MethodPost, "/look/1", 3000)
		switch random.IntN(4) {
		case 0:
			r.chunk = 1 + random.IntN(5000)
			r.body = strings.Repeat("x", 1+random.IntN(60_000))
		case 1:
		default:
			r.body = strings.Repeat("x", longBody+random.IntN(moreBytes))
		}
		if kept {
			r.piece, r.pause = bodyPiece, bodyPause
		}
		got := r.sendOn(c, reader)
		used++
		b.add(&r, got, used)
		if !kept || got.status == 0 || got.closes {
			_ = c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

func (b *bodyCount) add(r *request, got result, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	switch {
	case got.status == http.StatusOK:
		b.served++
	case got.receipt == "" && got.status >= 300 && got.status < 500 && got.status != http.StatusRequestTimeout &&
		got.status != http.StatusMisdirectedRequest && got.status != http.StatusTooManyRequests:
		b.refused++
		note("request %s, the %d. of its channel, %d bytes, chunk %d: %d %s", r.id, used, len(r.body), r.chunk, got.status, got.body)
	default:
		note("request %s, the %d. of its channel, %d bytes, chunk %d: %d %v", r.id, used, len(r.body), r.chunk, got.status, got.err)
	}
}
