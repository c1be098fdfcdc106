package bencher

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/placer"
)

// Options are the options of the bench command.
type Options struct {
	// Seed determines the workload and all other random choices.
	Seed uint64
	// Quick selects shorter runs and a single seed.
	Quick bool
	// Length is the duration of each run on the manual clock; 0 selects the default.
	Length time.Duration
}

const (
	quickRunLength = 45 * time.Second
	fullRunLength  = 180 * time.Second
	// fullSeeds is the number of seeds over which a full run counts crashes and leaks.
	fullSeeds = 5
	// minInTimeShare is the share of requests that must finish in time for a load to be within capacity.
	minInTimeShare = 0.99
	// parallelRuns limits the number of simulations that run at the same time.
	parallelRuns = 4
)

// bench runs the scenarios of one deployment and prints their metrics.
type bench struct {
	options      Options
	output       *bytes.Buffer
	deployment   deployment
	metricPrefix string
	runSlots     chan struct{}
}

// Run measures all deployments and writes one line per metric: metric, value, target value and verdict.
func Run(options Options, output io.Writer) {
	if options.Length == 0 {
		options.Length = fullRunLength
		if options.Quick {
			options.Length = quickRunLength
		}
	}
	writeMetric(output, "#", fmt.Sprintf("seed %d,", options.Seed), options.Length.String(), "per run")
	writeMetric(output, "# metric", "value", "target", "verdict")
	slots := make(chan struct{}, parallelRuns)
	var sections []*bytes.Buffer
	var running sync.WaitGroup
	for _, d := range deployments {
		for _, section := range []func(*bench){
			(*bench).reportWorkload, (*bench).reportDesignLoad, (*bench).reportCrashesAndLeaks,
			(*bench).reportDeparture, (*bench).reportStalledReaders, (*bench).reportOverload,
		} {
			b := &bench{
				options:      options,
				output:       &bytes.Buffer{},
				deployment:   d,
				metricPrefix: d.name,
				runSlots:     slots,
			}
			sections = append(sections, b.output)
			running.Go(func() { section(b) })
		}
	}
	running.Wait()
	for _, section := range sections {
		_, _ = section.WriteTo(output)
	}
	// Runs after the simulations, because their CPU use would distort the wall-clock times.
	reportDecisionTimes(options, output)
}

// printInfo prints a metric that has no target value.
func (b *bench) printInfo(name, value string) {
	b.printMetric(name, value, "-", "info")
}

func (b *bench) printMetric(name, value, target, verdict string) {
	writeMetric(b.output, b.metricPrefix+"."+name, value, target, verdict)
}

// writeMetric writes one metric. It ignores write errors, since there is no other place to report them.
func writeMetric(output io.Writer, name, value, target, verdict string) {
	_, _ = fmt.Fprintf(output, "%s %s %s %s\n", name, value, target, verdict)
}

func (b *bench) printCheck(name, value, target string, met bool) {
	b.printMetric(name, value, target, verdict(met))
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}

func formatMilliseconds[T ~int64](d T) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func formatRatio(r float64) string {
	return fmt.Sprintf("%.3f", r)
}

// requests generates the requests of a run; load is a multiple of the design load.
func (b *bench) requests(load float64, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	return generateRequests(random, load*requestRatePerEngine*float64(b.deployment.engines), b.options.Length, instanceCount)
}

// outcome holds the results of one finished run.
type outcome struct {
	sim      *simulation
	requests []*request
	length   time.Duration
}

// measure simulates the requests on a baseline, or on the serving layer if kind is empty.
func (b *bench) measure(requests []*request, kind baselineKind, prepare func(*simulation)) outcome {
	b.runSlots <- struct{}{}
	defer func() { <-b.runSlots }()
	s := newSimulation(b.deployment, b.options.Seed)
	if kind == "" {
		s.system = newServingLayer(s)
	} else {
		s.system = newBaseline(s, kind)
	}
	if prepare != nil {
		prepare(s)
	}
	s.run(requests, b.options.Length)
	return outcome{
		sim:      s,
		requests: requests,
		length:   b.options.Length,
	}
}

func onlyShort(requests []*request) []*request {
	return slices.DeleteFunc(requests, func(r *request) bool { return r.class != placer.Short })
}

func withoutLong(requests []*request) []*request {
	return slices.DeleteFunc(requests, func(r *request) bool { return r.class == placer.Long })
}

// evenLoadSlowdown returns the mean time between tokens if the load were spread evenly over all
// engines, as a multiple of the time on an idle engine. With n running sequences and a share p of the
// time spent on prefill, a step takes (base + n*perSequence)/(1-p), and n/step is the token rate.
func evenLoadSlowdown(o outcome) float64 {
	produced, prefilled := 0, 0
	for _, r := range o.requests {
		produced += r.outputTokens
		prefilled += r.promptTokens - r.cachedTokens
	}
	engineSeconds := o.length.Seconds() * float64(len(o.sim.engines))
	rate := float64(produced) / engineSeconds
	prefillShare := float64(prefilled) / engineSeconds / prefillTokensPerSecond
	running := rate * stepBase.Seconds() / (1 - prefillShare - rate*stepPerSequence.Seconds())
	return running / rate / (stepBase + stepPerSequence).Seconds()
}

// slowdowns returns the total times of short requests as multiples of their times on an idle engine.
// An unfinished request counts with its whole timeout: leaving it out would reward a policy that fails
// requests. A nil include selects all short requests.
func (o outcome) slowdowns(include func(*request) bool) []float64 {
	var values []float64
	for _, r := range o.requests {
		if r.class != placer.Short || (include != nil && !include(r)) {
			continue
		}
		elapsed := r.timeout
		if r.finished {
			elapsed = r.totalTime
		}
		_, total := idleTime(r.promptTokens, r.outputTokens)
		values = append(values, float64(elapsed)/float64(total))
	}
	return values
}

// firstTokenSlowdowns returns the times to the first token of finished short requests as multiples of
// their times on an idle engine.
func (o outcome) firstTokenSlowdowns() []float64 {
	var values []float64
	for _, r := range o.requests {
		if r.class != placer.Short || !r.finished {
			continue
		}
		first, _ := idleTime(r.promptTokens, r.outputTokens)
		values = append(values, float64(r.firstTokenTime)/float64(first))
	}
	return values
}

func isFinished(r *request) bool { return r.finished }

// firstTokenTimes returns the measured times to the first token and the times on an idle engine. It
// leaves out requests that miss the 670 ms target even on an idle engine and those without a token.
func (o outcome) firstTokenTimes() (measured, bound []time.Duration) {
	const target = 670 * time.Millisecond
	for _, r := range o.requests {
		idle, _ := idleTime(r.promptTokens, r.outputTokens)
		if idle > target || r.firstTokenTime == 0 {
			continue
		}
		measured = append(measured, r.firstTokenTime)
		bound = append(bound, idle)
	}
	return measured, bound
}

// inTimeShare returns the share of the included requests that finished before their deadline, and the
// number of included requests.
func (o outcome) inTimeShare(include func(*request) bool) (float64, int) {
	inTime, total := 0, 0
	for _, r := range o.requests {
		if !include(r) {
			continue
		}
		total++
		if r.inTime() {
			inTime++
		}
	}
	if total == 0 {
		return 1, 0
	}
	return float64(inTime) / float64(total), total
}

// goodput returns the generated tokens, requests and prompt tokens per second, counting only requests
// that finished before their deadline.
func (o outcome) goodput() (tokens, requests, prompt float64) {
	for _, r := range o.requests {
		if r.inTime() {
			tokens += float64(r.outputTokens)
			requests++
			prompt += float64(r.promptTokens)
		}
	}
	seconds := o.length.Seconds()
	return tokens / seconds, requests / seconds, prompt / seconds
}

func anyRequest(*request) bool { return true }

func isLong(r *request) bool { return r.promptTokens > longPromptTokens }

func isAdmittedLong(r *request) bool { return isLong(r) && r.admitted }

// reportWorkload prints the size of the generated workload.
func (b *bench) reportWorkload() {
	all := b.requests(1, b.options.Seed)
	promptTokens, outputTokens, longCount := 0, 0, 0
	for _, r := range all {
		promptTokens += r.promptTokens
		outputTokens += r.outputTokens
		if isLong(r) {
			longCount++
		}
	}
	n := float64(len(all))
	b.printInfo("workload.requests", fmt.Sprint(len(all)))
	b.printInfo("workload.mean_prompt_tokens", fmt.Sprintf("%.0f", float64(promptTokens)/n))
	b.printInfo("workload.generated_tokens_per_engine_second",
		fmt.Sprintf("%.0f", float64(outputTokens)/b.options.Length.Seconds()/float64(b.deployment.engines)))
	b.printInfo("workload.long_share", formatRatio(float64(longCount)/n))
}

// reportDesignLoad measures the serving layer and the baselines at the design load, with and without
// long prompts.
func (b *bench) reportDesignLoad() {
	seed := b.options.Seed
	mixed := b.measure(b.requests(1, seed), "", nil)
	short := b.measure(onlyShort(b.requests(1, seed)), "", nil)
	first, bound := mixed.firstTokenTimes()
	p95 := quantile(first, 0.95)
	b.printCheck("first_token.p95", formatMilliseconds(p95), "<=670ms", p95 <= 670*time.Millisecond)
	b.printInfo("first_token.p95.idle_bound", formatMilliseconds(quantile(bound, 0.95)))
	b.printInfo("first_token.p95.ratio_to_bound", formatRatio(float64(p95)/float64(quantile(bound, 0.95))))
	interval := mixed.sim.tokenIntervals.quantile(0.95)
	b.printCheck("token_interval.p95", formatMilliseconds(interval), "<=77ms", interval <= 77*time.Millisecond)
	b.printInfo("token_interval.idle_bound", formatMilliseconds(stepBase+stepPerSequence))
	b.printInfo("token_interval.ratio_to_bound", formatRatio(float64(interval)/float64(stepBase+stepPerSequence)))

	mixedP99, shortP99 := quantile(mixed.slowdowns(nil), 0.99), quantile(short.slowdowns(nil), 0.99)
	b.printInfo("short.p99_of_idle_bound.with_long", formatRatio(mixedP99))
	b.printInfo("short.p99_of_idle_bound.alone", formatRatio(shortP99))
	b.printCheck("short.slowdown", formatRatio(mixedP99/shortP99), "<=1.2", mixedP99/shortP99 <= 1.2)
	b.printInfo("short.slowdown.even_load_bound", formatRatio(evenLoadSlowdown(mixed)/evenLoadSlowdown(short)))
	medium := b.measure(withoutLong(b.requests(1, seed)), "", nil)
	b.printInfo("short.p99_of_idle_bound.with_medium", formatRatio(quantile(medium.slowdowns(nil), 0.99)))
	b.printInfo("short.slowdown.p50", formatRatio(quantile(mixed.slowdowns(nil), 0.5)/quantile(short.slowdowns(nil), 0.5)))
	b.printInfo("short.slowdown.first_token.p99",
		formatRatio(quantile(mixed.firstTokenSlowdowns(), 0.99)/quantile(short.firstTokenSlowdowns(), 0.99)))

	inTime, admitted := mixed.inTimeShare(isAdmittedLong)
	b.printCheck("long.in_time_of_admitted", formatRatio(inTime), ">=0.999", inTime >= 0.999)
	b.printInfo("long.admitted", fmt.Sprint(admitted))
	sentInTime, all := mixed.inTimeShare(isLong)
	b.printInfo("long.in_time_of_sent", fmt.Sprintf("%.3f", sentInTime))
	b.printInfo("long.sent", fmt.Sprint(all))
	allInTime, _ := mixed.inTimeShare(anyRequest)
	b.printInfo("all.in_time_of_sent", formatRatio(allInTime))
	b.printInfo("refused", summariseFailures(mixed.requests))
	b.printInfo("long.targets_at_once", fmt.Sprintf("%d_of_%d", mixed.sim.peakLongPrefills, max(1, b.deployment.engines/3)))
	b.printInfo("engine.peak_memory", fmt.Sprint(peakMemory(mixed.sim)))

	best, bestFinished := math.Inf(1), math.Inf(1)
	for _, kind := range baselineKinds {
		all, finishedOnly := b.reportBaselineDesignLoad(kind)
		best = min(best, all)
		bestFinished = min(bestFinished, finishedOnly)
	}
	ratioToBest := mixedP99 / shortP99 / best
	b.printCheck("short.slowdown.of_best_baseline", formatRatio(ratioToBest), "<=0.333", ratioToBest <= 1.0/3)
	// Favours the baselines: requests lost in engine crashes aren't counted and lighten the load.
	b.printInfo("short.slowdown.of_best_baseline.finished_only", formatRatio(mixedP99/shortP99/bestFinished))
}

// reportBaselineDesignLoad prints the design-load metrics of a baseline and returns how much long
// prompts slow down its short requests: over all of them and over the finished ones.
func (b *bench) reportBaselineDesignLoad(kind baselineKind) (all, finishedOnly float64) {
	name := "baseline." + string(kind)
	mixed := b.measure(b.requests(1, b.options.Seed), kind, nil)
	short := b.measure(onlyShort(b.requests(1, b.options.Seed)), kind, nil)
	first, _ := mixed.firstTokenTimes()
	mixedP99, shortP99 := quantile(mixed.slowdowns(nil), 0.99), quantile(short.slowdowns(nil), 0.99)
	b.printInfo(name+".first_token.p95", formatMilliseconds(quantile(first, 0.95)))
	b.printInfo(name+".token_interval.p95", formatMilliseconds(mixed.sim.tokenIntervals.quantile(0.95)))
	b.printInfo(name+".short.p99_of_idle_bound.with_long", formatRatio(mixedP99))
	b.printInfo(name+".short.p99_of_idle_bound.alone", formatRatio(shortP99))
	b.printInfo(name+".short.slowdown", formatRatio(mixedP99/shortP99))
	finishedOnly = quantile(mixed.slowdowns(isFinished), 0.99) / quantile(short.slowdowns(isFinished), 0.99)
	b.printInfo(name+".short.slowdown.finished_only", formatRatio(finishedOnly))
	long, _ := mixed.inTimeShare(isLong)
	b.printInfo(name+".long.in_time_of_sent", formatRatio(long))
	allInTime, _ := mixed.inTimeShare(anyRequest)
	b.printInfo(name+".all.in_time_of_sent", formatRatio(allInTime))
	b.printInfo(name+".targets_outgrown", fmt.Sprint(mixed.sim.crashes()))
	return mixedP99 / shortP99, finishedOnly
}

// reportCrashesAndLeaks counts engine crashes and unreleased resources over several seeds, at the
// design load and above it.
func (b *bench) reportCrashesAndLeaks() {
	crashes, leaks := 0, 0
	runs := 0
	for i := range uint64(fullSeeds) {
		if b.options.Quick && i > 0 {
			break
		}
		for _, load := range []float64{1, 1.6} {
			result := b.measure(b.requests(load, b.options.Seed+i), "", nil)
			crashes += result.sim.crashes()
			leaks += result.sim.system.leakCount()
			runs++
		}
	}
	b.printCheck("targets_outgrown", fmt.Sprint(crashes), "0", crashes == 0)
	b.printCheck("reservations_left", fmt.Sprint(leaks), "0", leaks == 0)
	b.printInfo("targets_outgrown.runs", fmt.Sprint(runs))
}

func peakMemory(s *simulation) int {
	highest := 0
	for _, e := range s.engines {
		highest = max(highest, e.peakTokens)
	}
	return highest
}

func summariseFailures(requests []*request) string {
	counts := map[string]int{}
	for _, r := range requests {
		switch {
		case r.refusalReason != "":
			counts[r.refusalReason]++
		case r.failed:
			counts["failed"]++
		case !r.inTime():
			counts["late"]++
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		if text != "" {
			text += ","
		}
		text += fmt.Sprintf("%s=%d", name, counts[name])
	}
	if text == "" {
		return "none"
	}
	return text
}

// reportDeparture takes a data centre out of service for the middle third of a run. The other two can
// carry two thirds of the design load but not all of it, so at the full design load the latency during
// the departure has no target value.
func (b *bench) reportDeparture() {
	length := b.options.Length
	for _, load := range []float64{2.0 / 3, 1} {
		for _, kind := range append([]baselineKind{""}, baselineKinds...) {
			o := b.measure(b.requests(load, b.options.Seed), kind, func(s *simulation) {
				s.departedCentre = b.deployment.centres[0]
				s.departedAt = length / 3
				s.returnedAt = length * 2 / 3
			})
			b.reportDepartureRun(fmt.Sprintf("departure.load_%.2f", load), kind, load < 1, o)
		}
	}
}

func (b *bench) reportDepartureRun(name string, kind baselineKind, checkP99 bool, o outcome) {
	phaseLength := o.length / 3
	phaseP99 := func(phase int) float64 {
		return quantile(o.slowdowns(func(r *request) bool { return int(r.arrival/phaseLength) == phase }), 0.99)
	}
	before, during, after := phaseP99(0), phaseP99(1), phaseP99(2)
	if kind != "" {
		name += ".baseline." + string(kind)
		b.printInfo(name+".short.p99_during_of_before", formatRatio(during/before))
		return
	}
	interrupted := 0
	for _, r := range o.requests {
		if r.failed || (r.admitted && !r.finished) {
			interrupted++
		}
	}
	b.printCheck(name+".new_work_after_3s", fmt.Sprint(o.sim.lateJobs), "0", o.sim.lateJobs == 0)
	b.printCheck(name+".interrupted", fmt.Sprint(interrupted), "0", interrupted == 0)
	b.printInfo(name+".short.p99_before", formatRatio(before))
	b.printInfo(name+".short.p99_after_return", formatRatio(after))
	if checkP99 {
		b.printCheck(name+".short.p99_during_of_before", formatRatio(during/before), "<=1.5", during/before <= 1.5)
	} else {
		b.printInfo(name+".short.p99_during_of_before", formatRatio(during/before))
	}
	inTime, _ := o.inTimeShare(anyRequest)
	b.printInfo(name+".in_time_of_sent", formatRatio(inTime))
	b.printInfo(name+".refused", summariseFailures(o.requests))
}

// reportStalledReaders adds 1,000 requests whose callers never read the response, and compares the
// short requests with those of a run in which the same callers read everything.
func (b *bench) reportStalledReaders() {
	const count, load = 1_000, 0.6
	run := func(reads bool) outcome {
		requests := b.requests(load, b.options.Seed)
		random := rand.New(rand.NewPCG(b.options.Seed, 3))
		for i := range count {
			r := &request{
				arrival:         time.Duration(random.Int64N(int64(b.options.Length * 3 / 4))),
				customer:        i % len(customerShares),
				outputTokens:    2_000,
				maxOutputTokens: 2_048,
				instance:        random.IntN(instanceCount),
				promptTokens:    1_000,
				timeout:         5 * time.Minute,
				stalledReader:   !reads,
				class:           placer.Medium, // excludes it from the metrics of short requests
			}
			r.id = requestID("reader", i)
			requests = append(requests, r)
		}
		return b.measure(requests, "", nil)
	}
	stalled, reading := run(false), run(true)
	readingP99, stalledP99 := quantile(reading.slowdowns(nil), 0.99), quantile(stalled.slowdowns(nil), 0.99)
	b.printCheck("readers.buffered_peak_bytes", fmt.Sprint(stalled.sim.peakBufferedBytes), fmt.Sprintf("<=%d", 64<<20),
		stalled.sim.peakBufferedBytes <= 64<<20)
	b.printCheck("readers.short_p99_of_reading", formatRatio(stalledP99/readingP99), "<=1.05", stalledP99/readingP99 <= 1.05)
	b.printInfo("readers.refused", summariseFailures(stalled.requests))
}

// reportOverload finds the capacity and compares the goodput at capacity with that at twice the load.
func (b *bench) reportOverload() {
	capacity := 0.0
	var atCapacity outcome
	for _, load := range []float64{0.8, 1, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6} {
		result := b.measure(b.requests(load, b.options.Seed), "", nil)
		if share, _ := result.inTimeShare(anyRequest); share < minInTimeShare {
			break
		}
		capacity = load
		atCapacity = result
	}
	if capacity == 0 {
		b.printMetric("overload.capacity", "under_0.8", ">=1", "missed")
		return
	}
	b.printCheck("overload.capacity_of_design_load", formatRatio(capacity), ">=1", capacity >= 1)
	tokens, requests, prompt := atCapacity.goodput()
	twice := b.measure(b.requests(2*capacity, b.options.Seed), "", nil)
	twiceTokens, twiceRequests, twicePrompt := twice.goodput()
	b.printCheck("overload.goodput_of_capacity.generated_tokens", formatRatio(twiceTokens/tokens), ">=0.95",
		twiceTokens >= 0.95*tokens)
	b.printInfo("overload.goodput_of_capacity.requests", formatRatio(twiceRequests/requests))
	b.printInfo("overload.goodput_of_capacity.prompt_tokens", formatRatio(twicePrompt/prompt))
	b.printInfo("overload.short.p99_of_idle_bound.finished_only", formatRatio(quantile(twice.slowdowns(isFinished), 0.99)))
	b.printInfo("overload.refused", summariseFailures(twice.requests))
	longInTime, _ := twice.inTimeShare(isAdmittedLong)
	b.printInfo("overload.long.in_time_of_admitted", formatRatio(longInTime))
	refusal := quantile(twice.sim.refusalTimes, 0.99)
	b.printCheck("overload.refusal_time.p99", formatMilliseconds(refusal), "<5ms", refusal < 5*time.Millisecond)
	for _, kind := range baselineKinds {
		atCapacityLoad := b.measure(b.requests(capacity, b.options.Seed), kind, nil)
		overloaded := b.measure(b.requests(2*capacity, b.options.Seed), kind, nil)
		baseTokens, _, _ := atCapacityLoad.goodput()
		overTokens, _, _ := overloaded.goodput()
		b.printInfo("overload.baseline."+string(kind)+".goodput_of_ours_at_capacity", formatRatio(baseTokens/tokens))
		b.printInfo("overload.baseline."+string(kind)+".goodput_at_twice_of_ours_at_capacity", formatRatio(overTokens/tokens))
	}
}
