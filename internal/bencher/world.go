package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

const (
	instanceCount = 8
	callerDelay   = time.Millisecond
	localDelay    = 100 * time.Microsecond
	// addressLife is how long callers use an address after its instance has left.
	addressLife = 10 * time.Second
	// learnTime is the most that a departure takes to reach an instance.
	learnTime = 2 * time.Second
)

// site is one of the deployments.
type site struct {
	name    string
	engines int
	delay   time.Duration // between data centres, one way
	centres []namer.DataCentre
}

var sites = []site{
	{
		name:    "harborline",
		engines: 15,
		delay:   500 * time.Microsecond,
		centres: []namer.DataCentre{"north-pier", "fish-wharf", "cannery-row"},
	},
	{
		name:    "quetzal",
		engines: 25,
		delay:   1500 * time.Microsecond,
		centres: []namer.DataCentre{"gt-a", "gt-b", "gt-c"},
	},
}

// system is what is measured: ours or a baseline.
type system interface {
	// submit takes a request at its instance.
	submit(r *request)
	// cancel ends a request whose caller has gone.
	cancel(r *request)
	// depart replaces the data centre that is taken out; it is empty after the return.
	depart(centre namer.DataCentre)
	// left returns the reservations and accounts that are left when nothing runs.
	left() int
}

// world is one run: engines, callers and a system between them.
type world struct {
	loop    *loop
	site    site
	random  *rand.Rand
	engines []*engine
	gaps    *histogram
	system  system
	// departedAt, returnedAt and out describe the departure, if there is one.
	departedAt time.Duration
	returnedAt time.Duration
	out        namer.DataCentre
	lateWork   int // jobs on the departed data centre after 3 s
	refusals   []time.Duration
	heldPeak   int
	longPeak   int // targets with a long prefill at one time
}

func newWorld(s site, seed uint64) *world {
	w := &world{
		loop:   newLoop(),
		site:   s,
		random: rand.New(rand.NewPCG(seed, 2)),
		gaps:   &histogram{},
	}
	for i := range s.engines {
		w.engines = append(w.engines, newEngine(w.loop, namer.Target(fmt.Sprintf("engine-%02d", i)),
			s.centres[i%len(s.centres)], w.gaps))
	}
	return w
}

func (w *world) now() time.Duration {
	return w.loop.now().Sub(epoch)
}

func (w *world) instanceCentre(i int) namer.DataCentre {
	return w.site.centres[i%len(w.site.centres)]
}

func (w *world) delay(a, b namer.DataCentre) time.Duration {
	if a == b {
		return localDelay
	}
	return w.site.delay
}

// send starts a job on an engine and counts work for a data centre that is out.
func (w *world) send(e *engine, j *job) {
	out := w.departedAt > 0 && e.centre == w.out && w.now() < w.returnedAt
	if out && w.now() > w.departedAt+3*time.Second {
		w.lateWork++
	}
	j.request.targets = append(j.request.targets, e)
	e.submit(j)
}

// run sends all requests and waits until the last has ended.
func (w *world) run(requests []*request, length time.Duration) {
	for _, r := range requests {
		w.loop.after(r.at+callerDelay, func() {
			r.instance = w.reachable(r.instance)
			w.system.submit(r)
		})
		w.loop.after(r.at+r.patience, func() {
			if !r.finished && r.refused == "" {
				w.system.cancel(r)
			}
		})
	}
	if w.departedAt > 0 {
		w.loop.after(w.departedAt, func() { w.system.depart(w.out) })
		w.loop.after(w.returnedAt, func() { w.system.depart("") })
	}
	w.loop.every(pollInterval, pollInterval, w.watch)
	end := length
	for settled := false; !settled; end += time.Second {
		w.loop.runUntil(epoch.Add(end))
		settled = !slices.ContainsFunc(requests, func(r *request) bool {
			return !r.finished && !r.failed && r.refused == "" && w.now() < r.at+r.patience
		})
	}
	w.loop.runUntil(epoch.Add(end + settleTime))
}

// settleTime is how long after the last request what is left counts as leaked.
const settleTime = 2 * time.Second

// watch counts the engines that process a long prompt.
func (w *world) watch() {
	count := 0
	for _, e := range w.engines {
		if slices.ContainsFunc(e.jobs, func(j *job) bool { return j.prefill > 0 && j.uncached > 64_000 }) {
			count++
		}
	}
	w.longPeak = max(w.longPeak, count)
}

// reachable returns the instance that a caller uses: one of a data centre in service, once the
// addresses from before the departure are no longer used.
func (w *world) reachable(i int) int {
	if w.departedAt == 0 || w.now() >= w.returnedAt || w.instanceCentre(i) != w.out {
		return i
	}
	if w.now()-w.departedAt < time.Duration(w.random.Int64N(int64(addressLife))) {
		return i
	}
	for w.instanceCentre(i) == w.out {
		i = w.random.IntN(instanceCount)
	}
	return i
}

// token records the first token at the caller.
func (w *world) token(r *request, index int) {
	if index == 0 {
		r.first = w.now() + callerDelay - r.at
	}
}

func (w *world) end(r *request, failed bool) {
	if failed {
		r.failed = true
		return
	}
	r.finished = true
	r.done = w.now() + callerDelay - r.at
}

func (w *world) crashes() int {
	total := 0
	for _, e := range w.engines {
		total += e.crashes
	}
	return total
}

// histogram counts durations by the millisecond.
type histogram struct {
	counts [1_000]int
	total  int
}

func (h *histogram) add(d time.Duration) {
	h.counts[min(int(d/time.Millisecond), len(h.counts)-1)]++
	h.total++
}

// quantile returns the upper end of the millisecond in which the quantile lies.
func (h *histogram) quantile(q float64) time.Duration {
	left := int(q * float64(h.total))
	for i, count := range h.counts {
		left -= count
		if left < 0 {
			return time.Duration(i+1) * time.Millisecond
		}
	}
	return 0
}

// quantile returns a quantile of unsorted values; 0 without values.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
