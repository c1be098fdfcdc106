package controller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/allocator"
	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/reserver"
)

func (t *traffic) handleFirstToken(m firstTokenReceived, now time.Time) {
	id := namer.Request(m.placement.Attempt)
	a := t.reserved[id]
	if a == nil {
		return
	}
	t.placer.EndPrefill(id)
	for _, target := range a.targets {
		t.control.reserverActions(t.control.reserver.Handle(reserver.PrefillDone{
			Request: id,
			Target:  target,
		}, now), now)
	}
	t.observePrefill(a, m.elapsed, now)
}

const (
	// minObservedPromptTokens is the fewest uncached tokens whose prefill time is a usable measure of the target's rate.
	minObservedPromptTokens = 1000
	// prefillOverhead is the part of the time to the first token that is not prefill: connecting and the step in progress.
	prefillOverhead = 20 * time.Millisecond
)

// observePrefill updates the prefill rate of a target from an attempt that did not queue behind other prefills.
func (t *traffic) observePrefill(a *attempt, elapsed time.Duration, now time.Time) {
	target := a.targets[0]
	busy := a.estimate.Wait > 0 || t.summaries[target].QueueTokens > 0
	if len(a.targets) > 1 || a.uncachedTokens < minObservedPromptTokens || busy {
		return
	}
	nominalRate := t.control.targets[target].PrefillRate
	expected := time.Duration(float64(a.uncachedTokens) / nominalRate * float64(time.Second))
	prefill := max(expected, elapsed-prefillOverhead-2*t.estimator.TokenInterval(target))
	if expected < 2*prefillOverhead && prefill > 2*expected {
		// Too short to distinguish a slow target from a slow network; such samples kept warm targets at the share of cold ones.
		return
	}
	t.estimator.Observe(estimator.Observation{
		Target:        target,
		PrefillTokens: a.uncachedTokens,
		Prefill:       prefill,
	})
	t.control.toAllocator(target, allocator.PrefillObserved{
		Boot: t.control.bootIDs[target],
		Rate: float64(a.uncachedTokens) / prefill.Seconds(),
	}, now)
}

// observeTokenInterval updates the time between tokens of a target during a stream.
func (t *traffic) observeTokenInterval(m tokenIntervalMeasured) {
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
