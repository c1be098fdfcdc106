package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

func (t *traffic) firstToken(m firstToken, now time.Time) {
	id := namer.Request(m.placement.Attempt)
	a := t.reserved[id]
	if a == nil {
		return
	}
	t.placer.FirstToken(id)
	for _, target := range a.targets {
		t.control.reserverActions(t.control.reserver.Handle(reserver.PrefillDone{
			Request: id,
			Target:  target,
		}, now), now)
	}
	t.learnPrefill(a, m.elapsed, now)
}

const (
	// learnedPrompt is the fewest uncached tokens whose prefill says something about the target's rate.
	learnedPrompt = 1000
	// prefillOverhead is the part of the time to the first token that is no prefill: connecting and a step in progress.
	prefillOverhead = 20 * time.Millisecond
)

// learnPrefill learns a target's rate from a prefill that had no others in front.
func (t *traffic) learnPrefill(a *attempt, elapsed time.Duration, now time.Time) {
	target := a.targets[0]
	busy := a.estimate.Wait > 0 || t.summaries[target].QueueTokens > 0
	if len(a.targets) > 1 || a.uncached < learnedPrompt || busy {
		return
	}
	normal := t.control.targets[target].PrefillRate
	expected := time.Duration(float64(a.uncached) / normal * float64(time.Second))
	prefill := max(expected, elapsed-prefillOverhead-2*t.estimator.TokenInterval(target))
	if expected < 2*prefillOverhead && prefill > 2*expected {
		// Too short to tell a slow target from a slow network: seen as warm targets being held at the cold share.
		return
	}
	t.estimator.Observe(estimator.Observation{
		Target:        target,
		PrefillTokens: a.uncached,
		Prefill:       prefill,
	})
	t.control.toAllocator(target, allocator.PrefillObserved{
		Boot: t.control.boots[target],
		Rate: float64(a.uncached) / prefill.Seconds(),
	}, now)
}

// learnInterval learns the time between tokens while a stream runs.
func (t *traffic) learnInterval(m interval) {
	a := t.reserved[namer.Request(m.placement.Attempt)]
	if a == nil || len(a.targets) > 1 {
		return
	}
	t.estimator.Observe(estimator.Observation{
		Target:         a.targets[0],
		TokenInterval:  m.mean,
		IntervalTokens: m.tokens,
	})
}
