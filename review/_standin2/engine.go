package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// engine is a stand-in of a back end. Its handler decides what it answers.
type engine struct {
	id      string
	address string
	service string
	zone    string
	slots   int
	// handle answers a request that isn't an order.
	handle func(e *engine, c net.Conn, r *http.Request)
}

func newEngine(id, service, zone string, handle func(e *engine, c net.Conn, r *http.Request)) (*engine, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	e := &engine{
		id:      id,
		address: l.Addr().String(),
		service: service,
		zone:    zone,
		slots:   16,
		handle:  handle,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// entry is what the engine writes to the store.
func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": state, names["cold_field"]: 0, "sequence": 1, "born": 1700000000000,
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if want := r.Header.Get(names["expected"]); want != "" && want != e.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		return
	}
	if r.URL.Path == names["order_path"] {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 21\r\n\r\n{\"freeCapacity\":9999}")
		return
	}
	e.handle(e, c, r)
}

func (e *engine) head(r *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n%s: %s.1\r\n", names["request_id"], r.Header.Get(names["request_id"]), names["receipt"], e.id)
}

// whole answers with a whole body.
func (e *engine) whole(c net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", e.head(r), len(body), body)
}
