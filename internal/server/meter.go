package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/pkg/holder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// meterInterval is the time between checks for callers that have stopped reading.
	meterInterval = time.Second
	// tokenOverhead is the number of bytes counted for each buffered token besides its text and request ID.
	tokenOverhead = 64
)

// errTooSlow ends a session whose caller reads too slowly.
var errTooSlow = errors.New("too much is buffered for a caller that does not read")

// meter limits the bytes that sessions buffer for their callers: it pauses reading from engines (backpressure) and ends
// sessions whose callers read too slowly.
type meter struct {
	clock timer.Clock
	gauge prometheus.Gauge

	mu     sync.Mutex
	holder *holder.Holder
	flows  map[namer.Request]*flow
}

// flow holds the channels through which the meter pauses and ends one session.
type flow struct {
	// resume is set while reading from the engine is paused, and closed when reading may continue.
	resume chan struct{}
	// ended is closed when the session must end.
	ended chan struct{}
}

func newMeter(bounds holder.Bounds, clock timer.Clock, gauge prometheus.Gauge) *meter {
	return &meter{
		clock:  clock,
		gauge:  gauge,
		holder: holder.New(bounds),
		flows:  map[namer.Request]*flow{},
	}
}

func (m *meter) open(id namer.Request, customer namer.Customer) *flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &flow{
		ended: make(chan struct{}),
	}
	m.flows[id] = f
	m.holder.Open(id, customer)
	return f
}

func (m *meter) close(id namer.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(m.holder.Close(id))
	delete(m.flows, id)
}

// add counts bytes that are about to be buffered, and blocks while the session is paused.
func (m *meter) add(ctx context.Context, id namer.Request, bytes int) error {
	m.mu.Lock()
	m.apply(m.holder.Add(m.clock.Now(), id, bytes))
	f, ok := m.flows[id]
	if !ok {
		m.mu.Unlock()
		return errTooSlow
	}
	resume, ended := f.resume, f.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return errTooSlow
	default:
	}
	if resume == nil {
		return nil
	}
	select {
	case <-resume:
		return nil
	case <-ended:
		return errTooSlow
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read subtracts bytes that were written to the caller or dropped.
func (m *meter) read(id namer.Request, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(m.holder.RecordRead(m.clock.Now(), id, bytes))
}

// run periodically ends sessions whose caller has read nothing for too long.
func (m *meter) run(ctx context.Context) {
	for {
		select {
		case <-m.clock.After(meterInterval):
			m.mu.Lock()
			m.apply(m.holder.Tick(m.clock.Now()))
			m.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// apply carries out the holder's decisions; m.mu must be held.
func (m *meter) apply(actions []holder.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case holder.Pause:
			if f := m.flows[a.Request]; f != nil && f.resume == nil {
				f.resume = make(chan struct{})
			}
		case holder.Continue:
			if f := m.flows[a.Request]; f != nil && f.resume != nil {
				close(f.resume)
				f.resume = nil
			}
		case holder.End:
			if f := m.flows[a.Request]; f != nil {
				close(f.ended)
				delete(m.flows, a.Request)
			}
		}
	}
	m.gauge.Set(float64(m.holder.Total()))
}
