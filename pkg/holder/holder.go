package holder

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Bounds are the maximum numbers of buffered bytes per request, per customer and in the process.
type Bounds struct {
	Request  int
	Customer int
	Process  int
	// ReadTimeout is the longest time without a read by the caller while bytes are buffered for it.
	ReadTimeout time.Duration
}

// DefaultBounds returns the default bounds.
func DefaultBounds() Bounds {
	return Bounds{
		Request:     256 << 10,
		Customer:    8 << 20,
		Process:     64 << 20,
		ReadTimeout: 10 * time.Second,
	}
}

// Action is a change to a request: Pause, Continue or End.
type Action interface {
	action()
}

// Pause stops reading from the engine of a request.
type Pause struct {
	Request namer.Request
}

// Continue resumes reading from the engine of a request.
type Continue struct {
	Request namer.Request
}

// End ends a request with the reason reader_too_slow; its bytes are no longer counted.
type End struct {
	Request namer.Request
	Bytes   int
}

func (Pause) action()    {}
func (Continue) action() {}
func (End) action()      {}

// Holder counts the buffered bytes and decides which requests are paused, continued or ended.
type Holder struct {
	bounds   Bounds
	requests map[namer.Request]*buffer
	// buffers holds the values of requests in an order that only the calls determine, so that actions do not depend on map order.
	buffers       []*buffer
	customerBytes map[namer.Customer]int
	// pausedCounts is the number of paused requests of each customer.
	pausedCounts map[namer.Customer]int
	totalBytes   int
}

// buffer is what Holder knows of one request's buffered bytes.
type buffer struct {
	request  namer.Request
	customer namer.Customer
	bytes    int
	paused   bool
	// unreadSince is when bytes began to wait for the caller, or when the caller last read some of them.
	unreadSince time.Time
	// index is the position in Holder.buffers.
	index int
}

// New returns a Holder without requests.
func New(bounds Bounds) *Holder {
	return &Holder{
		bounds:        bounds,
		requests:      map[namer.Request]*buffer{},
		customerBytes: map[namer.Customer]int{},
		pausedCounts:  map[namer.Customer]int{},
	}
}

// Total returns the bytes buffered in the process.
func (h *Holder) Total() int {
	return h.totalBytes
}

// Open starts counting for a request.
func (h *Holder) Open(request namer.Request, customer namer.Customer) {
	if h.requests[request] != nil {
		return
	}
	opened := &buffer{
		request:  request,
		customer: customer,
		index:    len(h.buffers),
	}
	h.requests[request] = opened
	h.buffers = append(h.buffers, opened)
}

// Close stops counting for a request and discards its count.
func (h *Holder) Close(request namer.Request) []Action {
	closed := h.requests[request]
	if closed == nil {
		return nil
	}
	h.remove(closed)
	return h.resume(nil, closed.customer)
}

func (h *Holder) remove(closed *buffer) {
	h.addBytes(closed, -closed.bytes)
	if closed.paused {
		h.setPaused(closed, false)
	}
	delete(h.requests, closed.request)
	last := h.buffers[len(h.buffers)-1]
	h.buffers[closed.index] = last
	last.index = closed.index
	h.buffers = h.buffers[:len(h.buffers)-1]
}

func (h *Holder) addBytes(b *buffer, bytes int) {
	b.bytes += bytes
	h.totalBytes += bytes
	h.customerBytes[b.customer] += bytes
	if h.customerBytes[b.customer] == 0 {
		delete(h.customerBytes, b.customer)
	}
}

// Allowance returns the largest number of bytes that can be added without exceeding the bounds of the request and its
// customer. It ignores the process bound, because Add ends requests to stay within that.
func (h *Holder) Allowance(request namer.Request) int {
	b := h.requests[request]
	if b == nil {
		return 0
	}
	return max(0, min(h.bounds.Request-b.bytes, h.bounds.Customer-h.customerBytes[b.customer]))
}

// Add counts bytes that are about to be buffered; the caller executes the returned actions before it buffers them. If the
// bytes exceed the process bound, the requests with the most bytes are ended until they fit; if the bound of the request or
// its customer is reached, the request is paused.
func (h *Holder) Add(now time.Time, request namer.Request, bytes int) []Action {
	added := h.requests[request]
	if added == nil || bytes <= 0 {
		return nil
	}
	if added.bytes == 0 {
		added.unreadSince = now
	}
	h.addBytes(added, bytes)
	var actions []Action
	for h.totalBytes > h.bounds.Process {
		largest := h.largest()
		actions = h.endRequest(actions, largest)
		if largest == added {
			return actions
		}
	}
	if h.atBound(added) && !added.paused {
		h.setPaused(added, true)
		actions = append(actions, Pause{
			Request: request,
		})
	}
	return actions
}

func (h *Holder) setPaused(b *buffer, paused bool) {
	b.paused = paused
	if paused {
		h.pausedCounts[b.customer]++
		return
	}
	h.pausedCounts[b.customer]--
	if h.pausedCounts[b.customer] == 0 {
		delete(h.pausedCounts, b.customer)
	}
}

func (h *Holder) atBound(b *buffer) bool {
	return b.bytes >= h.bounds.Request || h.customerBytes[b.customer] >= h.bounds.Customer
}

// largest returns the request with the most bytes; among equals, the one that has waited longest for a read.
func (h *Holder) largest() *buffer {
	largest := h.buffers[0]
	for _, b := range h.buffers[1:] {
		if b.bytes > largest.bytes || (b.bytes == largest.bytes && b.unreadSince.Before(largest.unreadSince)) {
			largest = b
		}
	}
	return largest
}

func (h *Holder) endRequest(actions []Action, b *buffer) []Action {
	bytes := b.bytes
	h.remove(b)
	actions = append(actions, End{
		Request: b.request,
		Bytes:   bytes,
	})
	return h.resume(actions, b.customer)
}

// RecordRead counts bytes that the caller has read.
func (h *Holder) RecordRead(now time.Time, request namer.Request, bytes int) []Action {
	read := h.requests[request]
	if read == nil || bytes <= 0 {
		return nil
	}
	h.addBytes(read, -min(bytes, read.bytes))
	read.unreadSince = now
	return h.resume(nil, read.customer)
}

// resume continues the paused requests of a customer that are at or below half of their bounds; the hysteresis keeps
// reading from being switched on and off with each token.
func (h *Holder) resume(actions []Action, customer namer.Customer) []Action {
	if h.pausedCounts[customer] == 0 || h.customerBytes[customer] > h.bounds.Customer/2 {
		return actions
	}
	for _, b := range h.buffers {
		if b.customer != customer || !b.paused || b.bytes > h.bounds.Request/2 {
			continue
		}
		h.setPaused(b, false)
		actions = append(actions, Continue{
			Request: b.request,
		})
	}
	return actions
}

// Tick ends the requests whose caller has read nothing for ReadTimeout.
func (h *Holder) Tick(now time.Time) []Action {
	var stalled []*buffer
	for _, b := range h.buffers {
		if b.bytes > 0 && now.Sub(b.unreadSince) >= h.bounds.ReadTimeout {
			stalled = append(stalled, b)
		}
	}
	var actions []Action
	for _, b := range stalled {
		actions = h.endRequest(actions, b)
	}
	return actions
}
