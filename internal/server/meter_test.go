package server

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/pkg/holder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const testTimeout = 5 * time.Second

func newTestMeter(bounds holder.Bounds) (*meter, *timer.Manual) {
	clock := timer.NewManual(time.Unix(0, 0))
	return newMeter(bounds, clock, prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "held",
	})), clock
}

func wantEnded(t *testing.T, f *flow, want bool) {
	t.Helper()
	select {
	case <-f.ended:
		if !want {
			t.Error("the session was ended")
		}
	default:
		if want {
			t.Error("the session was not ended")
		}
	}
}

// Guards against reading from an engine while the caller's buffer is full, and against not resuming once it has space.
func TestMeterPausesAndResumes(t *testing.T) {
	m, _ := newTestMeter(holder.Bounds{
		Request:     100,
		Customer:    1000,
		Process:     1000,
		ReadTimeout: time.Minute,
	})
	m.open("r", "c")
	added := make(chan error)
	go func() { added <- m.add(context.Background(), "r", 120) }()
	select {
	case err := <-added:
		t.Fatalf("add did not wait: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	m.read("r", 120)
	select {
	case err := <-added:
		if err != nil {
			t.Errorf("got %v, want add to return without an error", err)
		}
	case <-time.After(testTimeout):
		t.Error("add still waits after the caller has read")
	}
}

// Guards against callers that read nothing and together exceed the process's limit: the session that buffers most is ended.
func TestMeterEndsTheLargest(t *testing.T) {
	m, clock := newTestMeter(holder.Bounds{
		Request:     1000,
		Customer:    1000,
		Process:     500,
		ReadTimeout: time.Minute,
	})
	large, small := m.open("large", "c"), m.open("small", "d")
	for id, bytes := range map[namer.Request]int{"large": 400, "small": 90} {
		if err := m.add(context.Background(), id, bytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.add(context.Background(), "small", 90); err != nil {
		t.Errorf("small: got %v, want no error", err)
	}
	wantEnded(t, large, true)
	wantEnded(t, small, false)
	if err := m.add(context.Background(), "large", 1); !errors.Is(err, errTooSlow) {
		t.Errorf("large: got %v, want errTooSlow", err)
	}
	clock.Advance(2 * time.Minute)
	m.mu.Lock()
	m.apply(m.holder.Tick(clock.Now()))
	m.mu.Unlock()
	wantEnded(t, small, true)
}
