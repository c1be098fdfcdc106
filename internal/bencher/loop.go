package bencher

import (
	"container/heap"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

// epoch is the start of every run.
var epoch = time.Unix(1_700_000_000, 0)

// loop runs events in the order of their time under a manual clock.
type loop struct {
	clock  *timer.Manual
	events eventHeap
	number int
}

type event struct {
	at     time.Time
	number int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event for the heap package.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event for the heap package.
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

// after runs an event later; events at the same time run in the order they were added.
func (l *loop) after(d time.Duration, run func()) {
	l.number++
	heap.Push(&l.events, event{
		at:     l.now().Add(d),
		number: l.number,
		run:    run,
	})
}

// every repeats an event until the loop stops running.
func (l *loop) every(first, interval time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(interval, interval, run)
	})
}

// runUntil runs all events up to a time.
func (l *loop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		next := heap.Pop(&l.events).(event)
		l.clock.Advance(next.at.Sub(l.now()))
		next.run()
	}
}
