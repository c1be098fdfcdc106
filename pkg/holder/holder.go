package holder

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Bounds are the limits of buffered bytes.
type Bounds struct {
	Request  int
	Customer int
	Process  int
	// Unread is how long a caller may read nothing while bytes wait for it.
	Unread time.Duration
}

// DefaultBounds returns the bounds of the design.
func DefaultBounds() Bounds {
	return Bounds{
		Request:  256 << 10,
		Customer: 8 << 20,
		Process:  64 << 20,
		Unread:   10 * time.Second,
	}
}

// Action is what to do with a request: Pause, Continue or End.
type Action interface {
	action()
}

// Pause stops reading from the request's engine.
type Pause struct {
	Request namer.Request
}

// Continue reads from the request's engine again.
type Continue struct {
	Request namer.Request
}

// End ends the request with reader_too_slow; its bytes no longer count.
type End struct {
	Request namer.Request
	Bytes   int
}

func (Pause) action()    {}
func (Continue) action() {}
func (End) action()      {}

// Holder counts the buffered bytes.
type Holder struct {
	bounds    Bounds
	requests  map[namer.Request]*buffer
	order     []*buffer
	customers map[namer.Customer]int
	paused    map[namer.Customer]int
	total     int
}

type buffer struct {
	request  namer.Request
	customer namer.Customer
	bytes    int
	paused   bool
	// waiting is since when bytes wait without any having been read.
	waiting time.Time
	place   int
}

// New returns a holder without requests.
func New(bounds Bounds) *Holder {
	return &Holder{
		bounds:    bounds,
		requests:  map[namer.Request]*buffer{},
		customers: map[namer.Customer]int{},
		paused:    map[namer.Customer]int{},
	}
}

// Total returns the bytes buffered in the process.
func (h *Holder) Total() int {
	return h.total
}

// Open starts counting for a request.
func (h *Holder) Open(request namer.Request, customer namer.Customer) {
	if h.requests[request] != nil {
		return
	}
	opened := &buffer{
		request:  request,
		customer: customer,
		place:    len(h.order),
	}
	h.requests[request] = opened
	h.order = append(h.order, opened)
}

// Close stops counting for a request, whatever it still holds.
func (h *Holder) Close(request namer.Request) []Action {
	closed := h.requests[request]
	if closed == nil {
		return nil
	}
	h.remove(closed)
	return h.resume(nil, closed.customer)
}

func (h *Holder) remove(closed *buffer) {
	h.count(closed, -closed.bytes)
	if closed.paused {
		h.pause(closed, false)
	}
	delete(h.requests, closed.request)
	last := h.order[len(h.order)-1]
	h.order[closed.place] = last
	last.place = closed.place
	h.order = h.order[:len(h.order)-1]
}

func (h *Holder) count(b *buffer, bytes int) {
	b.bytes += bytes
	h.total += bytes
	h.customers[b.customer] += bytes
	if h.customers[b.customer] == 0 {
		delete(h.customers, b.customer)
	}
}

// Allowance returns how many bytes the next Add may announce without exceeding the bounds of the
// request and its customer. The process bound is not part of it: Add makes room there.
func (h *Holder) Allowance(request namer.Request) int {
	b := h.requests[request]
	if b == nil {
		return 0
	}
	return max(0, min(h.bounds.Request-b.bytes, h.bounds.Customer-h.customers[b.customer]))
}

// Add counts bytes about to be buffered; the actions are executed before that. When the bytes would
// exceed the process bound, the request that holds most ends; when the request's or the customer's
// bound is reached, reading for the request pauses.
func (h *Holder) Add(now time.Time, request namer.Request, bytes int) []Action {
	added := h.requests[request]
	if added == nil || bytes <= 0 {
		return nil
	}
	if added.bytes == 0 {
		added.waiting = now
	}
	h.count(added, bytes)
	var actions []Action
	for h.total > h.bounds.Process {
		most := h.most()
		actions = h.end(actions, most)
		if most == added {
			return actions
		}
	}
	if h.full(added) && !added.paused {
		h.pause(added, true)
		actions = append(actions, Pause{
			Request: request,
		})
	}
	return actions
}

func (h *Holder) pause(b *buffer, paused bool) {
	b.paused = paused
	if paused {
		h.paused[b.customer]++
		return
	}
	h.paused[b.customer]--
	if h.paused[b.customer] == 0 {
		delete(h.paused, b.customer)
	}
}

func (h *Holder) full(b *buffer) bool {
	return b.bytes >= h.bounds.Request || h.customers[b.customer] >= h.bounds.Customer
}

// most returns the request that holds most; the one that waited longest among equals.
func (h *Holder) most() *buffer {
	most := h.order[0]
	for _, one := range h.order[1:] {
		if one.bytes > most.bytes || (one.bytes == most.bytes && one.waiting.Before(most.waiting)) {
			most = one
		}
	}
	return most
}

func (h *Holder) end(actions []Action, b *buffer) []Action {
	bytes := b.bytes
	h.remove(b)
	actions = append(actions, End{
		Request: b.request,
		Bytes:   bytes,
	})
	return h.resume(actions, b.customer)
}

// Read counts bytes that the caller has read.
func (h *Holder) Read(now time.Time, request namer.Request, bytes int) []Action {
	read := h.requests[request]
	if read == nil || bytes <= 0 {
		return nil
	}
	h.count(read, -min(bytes, read.bytes))
	read.waiting = now
	return h.resume(nil, read.customer)
}

// resume continues paused requests of a customer that are below half their bound, so that reading
// does not switch on and off with each token.
func (h *Holder) resume(actions []Action, customer namer.Customer) []Action {
	if h.paused[customer] == 0 || h.customers[customer] > h.bounds.Customer/2 {
		return actions
	}
	for _, one := range h.order {
		if one.customer != customer || !one.paused || one.bytes > h.bounds.Request/2 {
			continue
		}
		h.pause(one, false)
		actions = append(actions, Continue{
			Request: one.request,
		})
	}
	return actions
}

// Tick ends the requests whose caller has read nothing for too long.
func (h *Holder) Tick(now time.Time) []Action {
	var stuck []*buffer
	for _, one := range h.order {
		if one.bytes > 0 && now.Sub(one.waiting) >= h.bounds.Unread {
			stuck = append(stuck, one)
		}
	}
	var actions []Action
	for _, one := range stuck {
		actions = h.end(actions, one)
	}
	return actions
}
