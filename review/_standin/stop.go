package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// answerBytes is the size of an answer.
	answerBytes = 8_000_000
	// readBytes each readPause is how a slow client reads: an answer takes about 8.5 s of its 10 s.
	readBytes = 32 << 10
	readPause = 33 * time.Millisecond
	// windowBytes is the receive buffer of a client.
	windowBytes = 32 << 10
	readers     = 6
	// stopAfter is the time from the requests to SIGTERM.
	stopAfter = 300 * time.Millisecond
	// gracePeriod is the deployment's gracePeriodS.
	gracePeriod = 8 * time.Second
)

// playStop stops a gateway with SIGTERM while clients read answers slowly.
func playStop(p *play) (int, error) {
	zones := []string{"north-pier", "fish-wharf", "cannery-row"}
	s, err := newStore(p.names)
	if err != nil {
		return failed, err
	}
	body := strings.Repeat("0123456789abcdef", answerBytes/16)
	for i, zone := range zones {
		e, err := startEngine(p.names, "i-archive-"+strconv.Itoa(i+1), "archive", zone, func(r run) {
			p.record.add("engine %s runs %s", r.engine, r.id)
		}, func(e *engine, c net.Conn, r *http.Request, _ []byte) {
			_, err := io.WriteString(c, e.head(r, "Content-Type: text/plain", "Content-Length: "+strconv.Itoa(len(body)))+body)
			p.record.add("engine %s has sent the whole answer to %s: %t", e.id, r.Header.Get(p.names.RequestID), err == nil)
		})
		if err != nil {
			return failed, err
		}
		s.put(p.names.TargetKind, e.id, e.entry())
	}
	s.put(p.names.RulesKind, "main", p.rules(1, []map[string]any{{
		"name": "archive", "host": hostName, "pathPrefix": "/archive/", "kind": "idempotent", "timeoutMs": 10000, "targetLatencyMs": 1000,
		"priority": 2, "service": "archive", "maxAttempts": 2, "anonymousAccess": false,
	}}, []map[string]any{p.plainService("archive")}))
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
	stopped := gateways[0]
	var cut, complete atomic.Int64
	var group sync.WaitGroup
	for range readers {
		group.Go(func() {
			if err := p.readSlowly(stopped); err != nil {
				cut.Add(1)
				return
			}
			complete.Add(1)
		})
	}
	time.Sleep(stopAfter)
	if p.trouble {
		p.record.add("%s gets SIGTERM", stopped.name)
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return failed, err
		}
		sent := time.Now()
		group.Go(func() {
			select {
			case <-stopped.ended:
				p.record.add("%s has ended, %.1f s after SIGTERM", stopped.name, time.Since(sent).Seconds())
			case <-time.After(gracePeriod):
				p.record.add("%s gets SIGKILL after the grace period", stopped.name)
				_ = stopped.command.Process.Kill()
			}
		})
	}
	group.Wait()
	p.record.add("%d answers complete, %d cut", complete.Load(), cut.Load())
	if cut.Load() > 0 && p.trouble {
		p.record.add("LOST: requests that had been passed on ended without a complete answer, before the end of the grace period")
		return broken, nil
	}
	if complete.Load() < readers {
		return failed, fmt.Errorf("%d answers cut without trouble", cut.Load())
	}
	return held, nil
}

// readSlowly sends a request on a channel of its own and reads the answer slowly.
func (p *play) readSlowly(g *gateway) error {
	dialer := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			})
		},
	}
	c, err := dialer.Dial("tcp", g.callers)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1))
	sent := time.Now()
	_, err = fmt.Fprintf(c, "GET /archive/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 10000\r\n%s: %s\r\n\r\n", hostName, p.names.RequestID, id,
		p.names.Remaining, p.names.Key, apiKey)
	if err != nil {
		return err
	}
	p.record.add("client sent %s to %s", id, g.name)
	response, err := http.ReadResponse(bufio.NewReaderSize(c, readBytes), nil)
	if err != nil {
		p.record.add("client got no head for %s: %v", id, err)
		return err
	}
	defer func() { _ = response.Body.Close() }()
	read := int64(0)
	for {
		n, err := io.CopyN(io.Discard, response.Body, readBytes)
		read += n
		if err == io.EOF && read == response.ContentLength {
			break
		}
		if err != nil {
			p.record.add("client got %d and %d of %d bytes for %s after %.1f s: %v", response.StatusCode, read, response.ContentLength, id,
				time.Since(sent).Seconds(), err)
			return err
		}
		time.Sleep(readPause)
	}
	p.record.add("client got %d and the whole answer, %d bytes, for %s after %.1f s", response.StatusCode, read, id, time.Since(sent).Seconds())
	return nil
}
