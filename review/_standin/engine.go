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
	"time"
)

// run is a request that a target has run.
type run struct {
	at     time.Time
	engine string
	id     string
	path   string
}

// engine is a target. It answers each request on a channel of its own, and rejects those for another one with 421.
type engine struct {
	names   names
	id      string
	service string
	zone    string
	address string
	// answer writes the answer to a request that runs; it may close the channel.
	answer func(e *engine, c net.Conn, r *http.Request, body []byte)
	onRun  func(run)

	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func startEngine(n names, id, service, zone string, onRun func(run), answer func(*engine, net.Conn, *http.Request, []byte)) (*engine, error) {
	return startEngineAt(n, "127.0.0.1:0", id, service, zone, onRun, answer)
}

func startEngineAt(n names, at, id, service, zone string, onRun func(run), answer func(*engine, net.Conn, *http.Request, []byte)) (*engine, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	e := &engine{
		names:   n,
		id:      id,
		service: service,
		zone:    zone,
		address: listener.Addr().String(),
		answer:  answer,
		onRun:   onRun,

		listener: listener,
		open:     map[net.Conn]bool{},
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// end ends the target as a crash does.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c := range e.open {
		reset(c)
	}
}

func (e *engine) serve(c net.Conn) {
	e.mu.Lock()
	e.open[c] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.open, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get(e.names.Expected); want != "" && want != e.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", e.names.Instance, e.id)
		return
	}
	if r.URL.Path == e.names.Order {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
		return
	}
	e.onRun(run{
		at:     time.Now(),
		engine: e.id,
		id:     r.Header.Get(e.names.RequestID),
		path:   r.URL.Path,
	})
	e.answer(e, c, r, body)
}

// head returns the head of a successful answer; it ends with the blank line.
func (e *engine) head(r *http.Request, fields ...string) string {
	id := r.Header.Get(e.names.RequestID)
	lines := append([]string{
		"HTTP/1.1 200 OK",
		e.names.RequestID + ": " + id,
		e.names.Receipt + ": " + e.id + "." + id,
		"Connection: close",
	}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// plainAnswer is the answer of a plain service.
func plainAnswer(e *engine, c net.Conn, r *http.Request, _ []byte) {
	body := "answer to " + r.Header.Get(e.names.RequestID)
	_, _ = io.WriteString(c, e.head(r, "Content-Type: text/plain", "Content-Length: "+strconv.Itoa(len(body)))+body)
}

// entry is the target's entry in the store.
func (e *engine) entry() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
		e.names.ColdRemaining: 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}
