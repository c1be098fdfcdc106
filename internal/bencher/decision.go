package bencher

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"bergamothollow.example/bergamothollow/pkg/estimator"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

func requestID(kind string, number int) namer.Request {
	return namer.Request(fmt.Sprintf("%s-%d", kind, number))
}

// uniformQuota reports the same unused quota for every target.
type uniformQuota struct{}

// Unused returns a quota in tokens that fits all requests except long ones.
func (uniformQuota) Unused(namer.Target) (memory, prefill int) {
	return 40_000, 40_000
}

// reportDecisionTimes prints the time of one placement among 25, 150 and 600 targets of one model.
func reportDecisionTimes(options Options, output io.Writer) {
	const decisions, limit = 20_000, 20 * time.Microsecond
	var lastMean time.Duration
	var firstMean time.Duration
	for _, targets := range []int{25, 150, 600} {
		mean, p99 := measureDecisions(options.Seed, targets, decisions)
		name := fmt.Sprintf("decision.targets_%d", targets)
		writeMetric(output, name+".p99", fmt.Sprintf("%.2fus", microseconds(p99)), "-", "info")
		if targets < 600 {
			writeMetric(output, name+".mean", fmt.Sprintf("%.2fus", microseconds(mean)), "-", "info")
		} else {
			writeMetric(output, name+".mean", fmt.Sprintf("%.2fus", microseconds(mean)), "<20us", verdict(mean < limit))
		}
		if firstMean == 0 {
			firstMean = mean
		}
		lastMean = mean
	}
	growth := float64(lastMean) / float64(firstMean)
	writeMetric(output, "decision.growth_from_25_to_600", formatRatio(growth), "<24", verdict(growth < 24))
}

func microseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// measureDecisions returns the mean and the 99th percentile of the time of one placement.
func measureDecisions(seed uint64, targets, decisions int) (mean, p99 time.Duration) {
	random := rand.New(rand.NewPCG(seed, 4))
	estimates := estimator.New(estimator.DefaultSettings())
	targetPlacer := placer.New(placer.DefaultSettings(), estimates, uniformQuota{},
		func(namer.DataCentre) time.Duration { return localDelay }, random)
	for i := range targets {
		id := namer.Target(fmt.Sprintf("engine-%03d", i))
		estimates.SetTarget(estimator.Target{
			ID:             id,
			Model:          model,
			CapacityTokens: engineMemoryTokens,
			PrefillRate:    prefillTokensPerSecond,
			TokenInterval:  stepBase,
		})
		targetPlacer.SetTarget(placer.Target{
			ID:             id,
			Model:          model,
			DataCentre:     "a",
			CapacityTokens: engineMemoryTokens,
			GroupContext:   true,
		})
	}
	for i := range targets {
		targetPlacer.Update(placer.Summary{
			Target:      namer.Target(fmt.Sprintf("engine-%03d", i)),
			FreeTokens:  200_000,
			QueueTokens: random.IntN(30_000),
			At:          epoch,
		})
	}
	workload := generateRequests(random, 200, time.Duration(float64(decisions)/200*float64(time.Second)), instanceCount)
	var times []time.Duration
	total := time.Duration(0)
	for i, r := range workload {
		now := epoch.Add(r.arrival)
		request := placer.Request{
			ID:           r.id,
			Model:        model,
			PromptTokens: r.promptTokens,
			OutputTokens: r.maxOutputTokens,
			Prefix:       r.prefixBlocks,
		}
		start := time.Now()
		decision := targetPlacer.Place(now, request)
		elapsed := time.Since(start)
		times = append(times, elapsed)
		total += elapsed
		targetPlacer.Start(now, r.id, decision)
		if single, ok := decision.(placer.SingleTarget); ok {
			for _, block := range r.prefixBlocks[:min(len(r.prefixBlocks), 40)] {
				targetPlacer.AddHint(now, single.Target, block)
			}
		}
		targetPlacer.EndPrefill(r.id)
		if i >= 100 {
			targetPlacer.Finish(workload[i-100].id)
		}
		targetPlacer.Tick(now)
	}
	return total / time.Duration(len(times)), quantile(times, 0.99)
}
