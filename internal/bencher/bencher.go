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

// Options are those of the bench command.
type Options struct {
	Seed  uint64
	Quick bool
	// Length is the time of each run on the manual clock; 0 chooses it.
	Length time.Duration
}

const (
	quickLength = 45 * time.Second
	fullLength  = 180 * time.Second
	// fullSeeds is the number of seeds over which crashes and leaks are counted.
	fullSeeds = 5
	// serviceShare is the share of requests that end in time at a load that counts as carried.
	serviceShare = 0.99
	// parallelRuns bounds the runs at one time.
	parallelRuns = 4
)

// bench runs the scenarios and prints the figures.
type bench struct {
	options Options
	out     *bytes.Buffer
	site    site
	prefix  string
	slots   chan struct{}
}

// Run measures both deployments and writes one line per metric: metric, value, target, verdict.
func Run(options Options, out io.Writer) {
	if options.Length == 0 {
		options.Length = fullLength
		if options.Quick {
			options.Length = quickLength
		}
	}
	writeLine(out, "#", fmt.Sprintf("seed %d,", options.Seed), options.Length.String(), "per run")
	writeLine(out, "# metric", "value", "target", "verdict")
	slots := make(chan struct{}, parallelRuns)
	var sections []*bytes.Buffer
	var running sync.WaitGroup
	for _, one := range sites {
		for _, section := range []func(*bench){
			(*bench).workload, (*bench).design, (*bench).seeds, (*bench).departure, (*bench).readers, (*bench).overload,
		} {
			b := &bench{
				options: options,
				out:     &bytes.Buffer{},
				site:    one,
				prefix:  one.name,
				slots:   slots,
			}
			sections = append(sections, b.out)
			running.Go(func() { section(b) })
		}
	}
	running.Wait()
	for _, section := range sections {
		_, _ = section.WriteTo(out)
	}
	// Alone, since other runs would disturb the times.
	decisionTimes(options, out)
}

// info prints a figure without a target.
func (b *bench) info(name, value string) {
	b.line(name, value, "-", "info")
}

func (b *bench) line(name, value, target, verdict string) {
	writeLine(b.out, b.prefix+"."+name, value, target, verdict)
}

// writeLine prints one metric. A failed write to the output can't be reported anywhere else.
func writeLine(out io.Writer, name, value, target, verdict string) {
	_, _ = fmt.Fprintf(out, "%s %s %s %s\n", name, value, target, verdict)
}

func (b *bench) check(name, value, target string, met bool) {
	b.line(name, value, target, verdict(met))
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}

func ms[T ~int64](d T) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func ratio(r float64) string {
	return fmt.Sprintf("%.3f", r)
}

func (b *bench) requests(load float64, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	return generate(random, load*requestsPerEngine*float64(b.site.engines), b.options.Length, instanceCount)
}

// outcome is one finished run.
type outcome struct {
	world    *world
	requests []*request
	length   time.Duration
}

// measure runs requests on a system; kind is empty for ours.
func (b *bench) measure(requests []*request, kind baselineKind, prepare func(*world)) outcome {
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	w := newWorld(b.site, b.options.Seed)
	if kind == "" {
		w.system = newOurs(w)
	} else {
		w.system = newBaseline(w, kind)
	}
	if prepare != nil {
		prepare(w)
	}
	w.run(requests, b.options.Length)
	return outcome{
		world:    w,
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

// evenSlowdown returns the mean time between tokens, as a multiple of the idle one, on engines that
// all carry the same part of the load. With n running sequences and a share p of the time spent on
// prefill, a step takes (base + n*perSequence)/(1-p), and n/step is the rate of generated tokens.
func evenSlowdown(o outcome) float64 {
	produced, prefilled := 0, 0
	for _, r := range o.requests {
		produced += r.produce
		prefilled += r.prompt - r.cached
	}
	share := o.length.Seconds() * float64(len(o.world.engines))
	rate := float64(produced) / share
	prefill := float64(prefilled) / share / prefillPerSecond
	running := rate * stepBase.Seconds() / (1 - prefill - rate*stepPerSequence.Seconds())
	return running / rate / (stepBase + stepPerSequence).Seconds()
}

// slowdowns returns the times of short requests as multiples of the idle bound. A request without
// an answer counts with its whole time: leaving it out would reward a policy that fails requests.
func (o outcome) slowdowns(keep func(*request) bool) []float64 {
	var values []float64
	for _, r := range o.requests {
		if r.class != placer.Short || (keep != nil && !keep(r)) {
			continue
		}
		spent := r.patience
		if r.finished {
			spent = r.done
		}
		_, total := idleTime(r.prompt, r.produce)
		values = append(values, float64(spent)/float64(total))
	}
	return values
}

// firstTokenSlowdowns is the same for the time to the first token of finished requests.
func (o outcome) firstTokenSlowdowns() []float64 {
	var values []float64
	for _, r := range o.requests {
		if r.class != placer.Short || !r.finished {
			continue
		}
		first, _ := idleTime(r.prompt, r.produce)
		values = append(values, float64(r.first)/float64(first))
	}
	return values
}

// finished keeps the requests with an answer.
func finished(r *request) bool { return r.finished }

// firstTokens returns the times to the first token of prompts whose prefill alone fits in the
// target, and the idle bound of the same requests.
func (o outcome) firstTokens() (measured, bound []time.Duration) {
	const target = 670 * time.Millisecond
	for _, r := range o.requests {
		idle, _ := idleTime(r.prompt, r.produce)
		if idle > target || r.first == 0 {
			continue
		}
		measured = append(measured, r.first)
		bound = append(bound, idle)
	}
	return measured, bound
}

// share returns the share of requests that ended in time, of those kept.
func (o outcome) share(keep func(*request) bool) (float64, int) {
	in, all := 0, 0
	for _, r := range o.requests {
		if !keep(r) {
			continue
		}
		all++
		if r.inTime() {
			in++
		}
	}
	if all == 0 {
		return 1, 0
	}
	return float64(in) / float64(all), all
}

// goodput returns generated tokens and requests per second of requests that ended in time.
func (o outcome) goodput() (tokens, requests, prompt float64) {
	for _, r := range o.requests {
		if r.inTime() {
			tokens += float64(r.produce)
			requests++
			prompt += float64(r.prompt)
		}
	}
	seconds := o.length.Seconds()
	return tokens / seconds, requests / seconds, prompt / seconds
}

func everything(*request) bool { return true }

func isLong(r *request) bool { return r.prompt > longStart }

func admittedLong(r *request) bool { return isLong(r) && r.admitted }

// workload prints what is sent.
func (b *bench) workload() {
	all := b.requests(1, b.options.Seed)
	prompt, produce, long := 0, 0, 0
	for _, r := range all {
		prompt += r.prompt
		produce += r.produce
		if isLong(r) {
			long++
		}
	}
	n := float64(len(all))
	b.info("workload.requests", fmt.Sprint(len(all)))
	b.info("workload.mean_prompt_tokens", fmt.Sprintf("%.0f", float64(prompt)/n))
	b.info("workload.generated_tokens_per_engine_second",
		fmt.Sprintf("%.0f", float64(produce)/b.options.Length.Seconds()/float64(b.site.engines)))
	b.info("workload.long_share", ratio(float64(long)/n))
}

// design measures the design load, with and without long prompts, for ours and the baselines.
func (b *bench) design() {
	seed := b.options.Seed
	mixed := b.measure(b.requests(1, seed), "", nil)
	short := b.measure(onlyShort(b.requests(1, seed)), "", nil)
	first, bound := mixed.firstTokens()
	p95 := quantile(first, 0.95)
	b.check("first_token.p95", ms(p95), "<=670ms", p95 <= 670*time.Millisecond)
	b.info("first_token.p95.idle_bound", ms(quantile(bound, 0.95)))
	b.info("first_token.p95.ratio_to_bound", ratio(float64(p95)/float64(quantile(bound, 0.95))))
	gap := mixed.world.gaps.quantile(0.95)
	b.check("token_interval.p95", ms(gap), "<=77ms", gap <= 77*time.Millisecond)
	b.info("token_interval.idle_bound", ms(stepBase+stepPerSequence))
	b.info("token_interval.ratio_to_bound", ratio(float64(gap)/float64(stepBase+stepPerSequence)))

	with, without := quantile(mixed.slowdowns(nil), 0.99), quantile(short.slowdowns(nil), 0.99)
	b.info("short.p99_of_idle_bound.with_long", ratio(with))
	b.info("short.p99_of_idle_bound.alone", ratio(without))
	b.check("short.slowdown", ratio(with/without), "<=1.2", with/without <= 1.2)
	b.info("short.slowdown.even_load_bound", ratio(evenSlowdown(mixed)/evenSlowdown(short)))
	medium := b.measure(withoutLong(b.requests(1, seed)), "", nil)
	b.info("short.p99_of_idle_bound.with_medium", ratio(quantile(medium.slowdowns(nil), 0.99)))
	b.info("short.slowdown.p50", ratio(quantile(mixed.slowdowns(nil), 0.5)/quantile(short.slowdowns(nil), 0.5)))
	b.info("short.slowdown.first_token.p99",
		ratio(quantile(mixed.firstTokenSlowdowns(), 0.99)/quantile(short.firstTokenSlowdowns(), 0.99)))

	inTime, admitted := mixed.share(admittedLong)
	b.check("long.in_time_of_admitted", ratio(inTime), ">=0.999", inTime >= 0.999)
	b.info("long.admitted", fmt.Sprint(admitted))
	of, all := mixed.share(isLong)
	b.info("long.in_time_of_sent", fmt.Sprintf("%.3f", of))
	b.info("long.sent", fmt.Sprint(all))
	whole, _ := mixed.share(everything)
	b.info("all.in_time_of_sent", ratio(whole))
	b.info("refused", tally(mixed.requests))
	b.info("long.targets_at_once", fmt.Sprintf("%d_of_%d", mixed.world.longPeak, max(1, b.site.engines/3)))
	b.info("engine.peak_memory", fmt.Sprint(peak(mixed.world)))

	best, bestFinished := math.Inf(1), math.Inf(1)
	for _, kind := range baselineKinds {
		all, finishedOnly := b.baselineDesign(kind)
		best = min(best, all)
		bestFinished = min(bestFinished, finishedOnly)
	}
	share := with / without / best
	b.check("short.slowdown.of_best_baseline", ratio(share), "<=0.333", share <= 1.0/3)
	// The baselines lose requests when engines crash, and what they lose lightens their load.
	b.info("short.slowdown.of_best_baseline.finished_only", ratio(with/without/bestFinished))
}

// baselineDesign prints the same figures for a baseline and returns its slowdown, over all short
// requests and over the finished ones.
func (b *bench) baselineDesign(kind baselineKind) (all, finishedOnly float64) {
	name := "baseline." + string(kind)
	mixed := b.measure(b.requests(1, b.options.Seed), kind, nil)
	short := b.measure(onlyShort(b.requests(1, b.options.Seed)), kind, nil)
	first, _ := mixed.firstTokens()
	with, without := quantile(mixed.slowdowns(nil), 0.99), quantile(short.slowdowns(nil), 0.99)
	b.info(name+".first_token.p95", ms(quantile(first, 0.95)))
	b.info(name+".token_interval.p95", ms(mixed.world.gaps.quantile(0.95)))
	b.info(name+".short.p99_of_idle_bound.with_long", ratio(with))
	b.info(name+".short.p99_of_idle_bound.alone", ratio(without))
	b.info(name+".short.slowdown", ratio(with/without))
	finishedOnly = quantile(mixed.slowdowns(finished), 0.99) / quantile(short.slowdowns(finished), 0.99)
	b.info(name+".short.slowdown.finished_only", ratio(finishedOnly))
	long, _ := mixed.share(isLong)
	b.info(name+".long.in_time_of_sent", ratio(long))
	whole, _ := mixed.share(everything)
	b.info(name+".all.in_time_of_sent", ratio(whole))
	b.info(name+".targets_outgrown", fmt.Sprint(mixed.world.crashes()))
	return with / without, finishedOnly
}

// seeds counts crashes and leaks over several seeds at the design load and above it.
func (b *bench) seeds() {
	crashes, left := 0, 0
	runs := 0
	for i := range uint64(fullSeeds) {
		if b.options.Quick && i > 0 {
			break
		}
		for _, load := range []float64{1, 1.6} {
			one := b.measure(b.requests(load, b.options.Seed+i), "", nil)
			crashes += one.world.crashes()
			left += one.world.system.left()
			runs++
		}
	}
	b.check("targets_outgrown", fmt.Sprint(crashes), "0", crashes == 0)
	b.check("reservations_left", fmt.Sprint(left), "0", left == 0)
	b.info("targets_outgrown.runs", fmt.Sprint(runs))
}

func peak(w *world) int {
	most := 0
	for _, e := range w.engines {
		most = max(most, e.peak)
	}
	return most
}

func tally(requests []*request) string {
	counts := map[string]int{}
	for _, r := range requests {
		switch {
		case r.refused != "":
			counts[r.refused]++
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

// departure takes a data centre out for the middle third of a run. At two thirds of the design load
// the other two carry the load; at the whole load they do not, and the figures are for information.
func (b *bench) departure() {
	length := b.options.Length
	for _, load := range []float64{2.0 / 3, 1} {
		for _, kind := range append([]baselineKind{""}, baselineKinds...) {
			out := b.measure(b.requests(load, b.options.Seed), kind, func(w *world) {
				w.out = b.site.centres[0]
				w.departedAt = length / 3
				w.returnedAt = length * 2 / 3
			})
			b.departureFigures(fmt.Sprintf("departure.load_%.2f", load), kind, load < 1, out)
		}
	}
}

func (b *bench) departureFigures(name string, kind baselineKind, carried bool, out outcome) {
	third := out.length / 3
	part := func(number int) float64 {
		return quantile(out.slowdowns(func(r *request) bool { return int(r.at/third) == number }), 0.99)
	}
	before, during, after := part(0), part(1), part(2)
	if kind != "" {
		name += ".baseline." + string(kind)
		b.info(name+".short.p99_during_of_before", ratio(during/before))
		return
	}
	interrupted := 0
	for _, r := range out.requests {
		if r.failed || (r.admitted && !r.finished) {
			interrupted++
		}
	}
	b.check(name+".new_work_after_3s", fmt.Sprint(out.world.lateWork), "0", out.world.lateWork == 0)
	b.check(name+".interrupted", fmt.Sprint(interrupted), "0", interrupted == 0)
	b.info(name+".short.p99_before", ratio(before))
	b.info(name+".short.p99_after_return", ratio(after))
	if carried {
		b.check(name+".short.p99_during_of_before", ratio(during/before), "<=1.5", during/before <= 1.5)
	} else {
		b.info(name+".short.p99_during_of_before", ratio(during/before))
	}
	whole, _ := out.share(everything)
	b.info(name+".in_time_of_sent", ratio(whole))
	b.info(name+".refused", tally(out.requests))
}

// readers adds 1,000 requests whose callers read nothing, and compares the other requests with a
// run in which the same callers read everything.
func (b *bench) readers() {
	const count, load = 1_000, 0.6
	run := func(reads bool) outcome {
		requests := b.requests(load, b.options.Seed)
		random := rand.New(rand.NewPCG(b.options.Seed, 3))
		for i := range count {
			r := &request{
				at:       time.Duration(random.Int64N(int64(b.options.Length * 3 / 4))),
				customer: i % len(weights),
				produce:  2_000,
				bound:    2_048,
				instance: random.IntN(instanceCount),
				prompt:   1_000,
				patience: 5 * time.Minute,
				reader:   !reads,
				class:    placer.Medium, // kept out of the figures of short requests
			}
			r.id = placerID("reader", i)
			requests = append(requests, r)
		}
		return b.measure(requests, "", nil)
	}
	silent, reading := run(false), run(true)
	before, after := quantile(reading.slowdowns(nil), 0.99), quantile(silent.slowdowns(nil), 0.99)
	b.check("readers.buffered_peak_bytes", fmt.Sprint(silent.world.heldPeak), fmt.Sprintf("<=%d", 64<<20),
		silent.world.heldPeak <= 64<<20)
	b.check("readers.short_p99_of_reading", ratio(after/before), "<=1.05", after/before <= 1.05)
	b.info("readers.refused", tally(silent.requests))
}

// overload finds the capacity and compares it with twice its load.
func (b *bench) overload() {
	capacity := 0.0
	var at outcome
	for _, load := range []float64{0.8, 1, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6} {
		one := b.measure(b.requests(load, b.options.Seed), "", nil)
		if share, _ := one.share(everything); share < serviceShare {
			break
		}
		capacity = load
		at = one
	}
	if capacity == 0 {
		b.line("overload.capacity", "under_0.8", ">=1", "missed")
		return
	}
	b.check("overload.capacity_of_design_load", ratio(capacity), ">=1", capacity >= 1)
	tokens, requests, prompt := at.goodput()
	twice := b.measure(b.requests(2*capacity, b.options.Seed), "", nil)
	tokens2, requests2, prompt2 := twice.goodput()
	b.check("overload.goodput_of_capacity.generated_tokens", ratio(tokens2/tokens), ">=0.95", tokens2 >= 0.95*tokens)
	b.info("overload.goodput_of_capacity.requests", ratio(requests2/requests))
	b.info("overload.goodput_of_capacity.prompt_tokens", ratio(prompt2/prompt))
	b.info("overload.short.p99_of_idle_bound.finished_only", ratio(quantile(twice.slowdowns(finished), 0.99)))
	b.info("overload.refused", tally(twice.requests))
	longIn, _ := twice.share(admittedLong)
	b.info("overload.long.in_time_of_admitted", ratio(longIn))
	refusal := quantile(twice.world.refusals, 0.99)
	b.check("overload.refusal_time.p99", ms(refusal), "<5ms", refusal < 5*time.Millisecond)
	for _, kind := range baselineKinds {
		base := b.measure(b.requests(capacity, b.options.Seed), kind, nil)
		over := b.measure(b.requests(2*capacity, b.options.Seed), kind, nil)
		baseTokens, _, _ := base.goodput()
		overTokens, _, _ := over.goodput()
		b.info("overload.baseline."+string(kind)+".goodput_of_ours_at_capacity", ratio(baseTokens/tokens))
		b.info("overload.baseline."+string(kind)+".goodput_at_twice_of_ours_at_capacity", ratio(overTokens/tokens))
	}
}
