package bencher

import (
	"container/heap"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

// epoch is the time on the manual clock at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// loop is a discrete-event loop: it runs events in time order on a manual clock.
type loop struct {
	clock        *timer.Manual
	events       eventHeap
	lastSequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newLoop() *loop {
	return &loop{
		clock: timer.NewManual(epoch),
	}
}

func (l *loop) now() time.Time {
	return l.clock.Now()
}

// after schedules an event; events with the same time run in the order in which they were added.
func (l *loop) after(d time.Duration, run func()) {
	l.lastSequence++
	heap.Push(&l.events, event{
		at:       l.now().Add(d),
		sequence: l.lastSequence,
		run:      run,
	})
}

// every schedules an event that repeats until the end of the run.
func (l *loop) every(first, interval time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(interval, interval, run)
	})
}

// runUntil runs all events up to and including the time end.
func (l *loop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		next := heap.Pop(&l.events).(event)
		l.clock.Advance(next.at.Sub(l.now()))
		next.run()
	}
}
