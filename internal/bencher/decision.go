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

func placerID(kind string, number int) namer.Request {
	return namer.Request(fmt.Sprintf("%s-%d", kind, number))
}

// wideQuota gives the same room on each target.
type wideQuota struct{}

// Room returns a quota that fits all but long requests.
func (wideQuota) Room(namer.Target) (memory, prefill int) {
	return 40_000, 40_000
}

// decisionTimes measures one placement with 25, 150 and 600 targets of one model.
func decisionTimes(options Options, out io.Writer) {
	const decisions, limit = 20_000, 20 * time.Microsecond
	var last time.Duration
	var smallest time.Duration
	for _, targets := range []int{25, 150, 600} {
		mean, p99 := decisionTime(options.Seed, targets, decisions)
		name := fmt.Sprintf("decision.targets_%d", targets)
		writeLine(out, name+".p99", fmt.Sprintf("%.2fus", micros(p99)), "-", "info")
		if targets < 600 {
			writeLine(out, name+".mean", fmt.Sprintf("%.2fus", micros(mean)), "-", "info")
		} else {
			writeLine(out, name+".mean", fmt.Sprintf("%.2fus", micros(mean)), "<20us", verdict(mean < limit))
		}
		if smallest == 0 {
			smallest = mean
		}
		last = mean
	}
	growth := float64(last) / float64(smallest)
	writeLine(out, "decision.growth_from_25_to_600", ratio(growth), "<24", verdict(growth < 24))
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

func decisionTime(seed uint64, targets, decisions int) (mean, p99 time.Duration) {
	random := rand.New(rand.NewPCG(seed, 4))
	estimates := estimator.New(estimator.DefaultSettings())
	places := placer.New(placer.DefaultSettings(), estimates, wideQuota{},
		func(namer.DataCentre) time.Duration { return localDelay }, random)
	for i := range targets {
		id := namer.Target(fmt.Sprintf("engine-%03d", i))
		estimates.SetTarget(estimator.Target{
			ID:             id,
			Model:          model,
			CapacityTokens: engineTokens,
			PrefillRate:    prefillPerSecond,
			TokenInterval:  stepBase,
		})
		places.SetTarget(placer.Target{
			ID:             id,
			Model:          model,
			DataCentre:     "a",
			CapacityTokens: engineTokens,
			GroupContext:   true,
		})
	}
	for i := range targets {
		places.Update(placer.Summary{
			Target:      namer.Target(fmt.Sprintf("engine-%03d", i)),
			FreeTokens:  200_000,
			QueueTokens: random.IntN(30_000),
			At:          epoch,
		})
	}
	workload := generate(random, 200, time.Duration(float64(decisions)/200*float64(time.Second)), instanceCount)
	var spent []time.Duration
	total := time.Duration(0)
	for i, r := range workload {
		now := epoch.Add(r.at)
		wanted := placer.Request{
			ID:           r.id,
			Model:        model,
			PromptTokens: r.prompt,
			OutputTokens: r.bound,
			Prefix:       r.prefix,
		}
		begun := time.Now()
		decision := places.Place(now, wanted)
		one := time.Since(begun)
		spent = append(spent, one)
		total += one
		places.Start(now, r.id, decision)
		if chosen, ok := decision.(placer.Chosen); ok {
			for _, block := range r.prefix[:min(len(r.prefix), 40)] {
				places.Stored(now, chosen.Target, block)
			}
		}
		places.FirstToken(r.id)
		if i >= 100 {
			places.Finish(workload[i-100].id)
		}
		places.Tick(now)
	}
	return total / time.Duration(len(spent)), quantile(spent, 0.99)
}
