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
	callerDelay   = time.Millisecond       // between a caller and an instance, one way
	localDelay    = 100 * time.Microsecond // within a data centre, one way
	// staleAddressTime is the longest time for which callers use the address of an instance after its
	// departure.
	staleAddressTime = 10 * time.Second
	// maxDepartureDelay is the longest time until an instance learns of a departure.
	maxDepartureDelay = 2 * time.Second
)

// deployment describes one of the simulated deployments.
type deployment struct {
	name    string
	engines int
	delay   time.Duration // between data centres, one way
	centres []namer.DataCentre
}

var deployments = []deployment{
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

// system is the subject of a measurement: the serving layer or a baseline.
type system interface {
	// submit passes a request to its instance.
	submit(r *request)
	// cancel ends a request whose caller gave up at the timeout.
	cancel(r *request)
	// setDepartedCentre sets the data centre that is out of service; empty means none.
	setDepartedCentre(centre namer.DataCentre)
	// leakCount sums the calls, reservations, used quota and buffered bytes that have not been released;
	// it must be 0 when nothing runs.
	leakCount() int
}

// simulation is one run: callers that send requests through a system to engines.
type simulation struct {
	loop           *loop
	deployment     deployment
	random         *rand.Rand
	engines        []*engine
	tokenIntervals *histogram
	system         system
	// The departure of a data centre; departedAt is 0 if the run has none.
	departedAt        time.Duration
	returnedAt        time.Duration
	departedCentre    namer.DataCentre
	lateJobs          int // jobs sent to the departed data centre more than 3 s after its departure
	refusalTimes      []time.Duration
	peakBufferedBytes int
	peakLongPrefills  int // highest number of engines with a long prefill at the same time
}

func newSimulation(d deployment, seed uint64) *simulation {
	s := &simulation{
		loop:           newLoop(),
		deployment:     d,
		random:         rand.New(rand.NewPCG(seed, 2)),
		tokenIntervals: &histogram{},
	}
	for i := range d.engines {
		s.engines = append(s.engines, newEngine(s.loop, namer.Target(fmt.Sprintf("engine-%02d", i)),
			d.centres[i%len(d.centres)], s.tokenIntervals))
	}
	return s
}

func (s *simulation) now() time.Duration {
	return s.loop.now().Sub(epoch)
}

func (s *simulation) instanceCentre(i int) namer.DataCentre {
	return s.deployment.centres[i%len(s.deployment.centres)]
}

func (s *simulation) delay(a, b namer.DataCentre) time.Duration {
	if a == b {
		return localDelay
	}
	return s.deployment.delay
}

// sendJob submits a job to an engine and counts it as late if its data centre departed over 3 s ago.
func (s *simulation) sendJob(e *engine, j *job) {
	departed := s.departedAt > 0 && e.centre == s.departedCentre && s.now() < s.returnedAt
	if departed && s.now() > s.departedAt+3*time.Second {
		s.lateJobs++
	}
	j.request.engines = append(j.request.engines, e)
	e.submit(j)
}

// run sends all requests and runs the simulation until the last one has ended.
func (s *simulation) run(requests []*request, length time.Duration) {
	for _, r := range requests {
		s.loop.after(r.arrival+callerDelay, func() {
			r.instance = s.callerInstance(r.instance)
			s.system.submit(r)
		})
		s.loop.after(r.arrival+r.timeout, func() {
			if !r.finished && r.refusalReason == "" {
				s.system.cancel(r)
			}
		})
	}
	if s.departedAt > 0 {
		s.loop.after(s.departedAt, func() { s.system.setDepartedCentre(s.departedCentre) })
		s.loop.after(s.returnedAt, func() { s.system.setDepartedCentre("") })
	}
	s.loop.every(pollInterval, pollInterval, s.sampleLongPrefills)
	end := length
	for allEnded := false; !allEnded; end += time.Second {
		s.loop.runUntil(epoch.Add(end))
		allEnded = !slices.ContainsFunc(requests, func(r *request) bool {
			return !r.finished && !r.failed && r.refusalReason == "" && s.now() < r.arrival+r.timeout
		})
	}
	s.loop.runUntil(epoch.Add(end + settleTime))
}

// settleTime is the time after the last request within which all resources must have been released.
const settleTime = 2 * time.Second

// sampleLongPrefills updates the highest number of engines with a long prefill at the same time.
func (s *simulation) sampleLongPrefills() {
	count := 0
	for _, e := range s.engines {
		if slices.ContainsFunc(e.jobs, func(j *job) bool { return j.remainingPrefill > 0 && j.uncachedTokens > 64_000 }) {
			count++
		}
	}
	s.peakLongPrefills = max(s.peakLongPrefills, count)
}

// callerInstance returns the instance that receives a caller's request. After a departure, callers move
// gradually, within staleAddressTime, to instances in the other data centres.
func (s *simulation) callerInstance(i int) int {
	if s.departedAt == 0 || s.now() >= s.returnedAt || s.instanceCentre(i) != s.departedCentre {
		return i
	}
	if s.now()-s.departedAt < time.Duration(s.random.Int64N(int64(staleAddressTime))) {
		return i
	}
	for s.instanceCentre(i) == s.departedCentre {
		i = s.random.IntN(instanceCount)
	}
	return i
}

// recordToken records when the caller receives the first token.
func (s *simulation) recordToken(r *request, index int) {
	if index == 0 {
		r.firstTokenTime = s.now() + callerDelay - r.arrival
	}
}

func (s *simulation) recordEnd(r *request, failed bool) {
	if failed {
		r.failed = true
		return
	}
	r.finished = true
	r.totalTime = s.now() + callerDelay - r.arrival
}

func (s *simulation) crashes() int {
	total := 0
	for _, e := range s.engines {
		total += e.crashes
	}
	return total
}

// histogram counts durations in buckets of 1 ms; the last bucket also counts all longer ones.
type histogram struct {
	counts [1_000]int
	total  int
}

func (h *histogram) add(d time.Duration) {
	h.counts[min(int(d/time.Millisecond), len(h.counts)-1)]++
	h.total++
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := int(q * float64(h.total))
	for i, count := range h.counts {
		remaining -= count
		if remaining < 0 {
			return time.Duration(i+1) * time.Millisecond
		}
	}
	return 0
}

// quantile returns a quantile of unsorted values, or 0 if there are none.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
