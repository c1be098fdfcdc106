package scheduler

import (
	"slices"
	"time"
)

const (
	// paceSamples is the number of first events by which an engine's pace is judged; their median ignores a single late one.
	paceSamples = 3
	// slowThreshold is the ratio of observed to predicted time above which an engine counts as slow; predictions of engines at their
	// published speed are off by up to half.
	slowThreshold = 2
	// maxSlowdown limits a single sample.
	maxSlowdown = 8
	// paceMemory is how long a slow engine is avoided without a new first event; it may have recovered.
	paceMemory = 2 * time.Second
	// minPaceTime is the shortest predicted time that is compared: shorter ones are dominated by the network.
	minPaceTime = 40 * time.Millisecond
	// overdueFactor times the predicted time is when a missing first event counts as a sample.
	overdueFactor = 2.5
	// commonSamples is the number of recent first events of all engines by which their common lateness is judged.
	commonSamples = 64
	// commonQuantile is the part of those samples at or below the common lateness; more engines than the rest may turn slow at a time.
	commonQuantile = 0.25
)

// pace estimates how much slower than published an engine works, from the times of its first events.
type pace struct {
	samples [paceSamples]float64
	next    int
	at      time.Time
}

// add records a sample. A good one after a long silence discards older ones.
func (p *pace) add(now time.Time, sample float64) {
	if sample < slowThreshold && now.Sub(p.at) > paceMemory {
		p.samples = [paceSamples]float64{}
	}
	p.samples[p.next] = min(sample, maxSlowdown)
	p.next = (p.next + 1) % paceSamples
	p.at = now
}

// slowdown returns the factor by which the engine is slower than published, 1 unless it counts as slow.
func (p *pace) slowdown(now time.Time) float64 {
	if now.Sub(p.at) > paceMemory {
		return 1
	}
	sorted := p.samples
	slices.Sort(sorted[:])
	if median := sorted[paceSamples/2]; median >= slowThreshold {
		return median
	}
	return 1
}

// observeFirstEvent updates the pace of a run's engine. Prompts that several engines share are left out, since one of them may be the
// slow one. The common part of all engines' lateness is load, and no engine is avoided for it.
func (s *Scheduler) observeFirstEvent(now time.Time, r *run) {
	predicted := r.firstEventExpected.Sub(r.placedAt)
	if r.paceObserved || r.shared() || predicted < minPaceTime {
		return
	}
	r.paceObserved = true
	sample := float64(now.Sub(r.placedAt)) / float64(predicted) * r.slowdown
	s.recentPaces.add(sample)
	r.engine.pace.add(now, sample/s.recentPaces.common())
	r.engine.slowdown = r.engine.pace.slowdown(now)
}

// overdue reports whether the first event is so late that it shows a slow engine before it arrives.
func (r *run) overdue(now time.Time) bool {
	predicted := r.firstEventExpected.Sub(r.placedAt)
	return now.After(r.placedAt.Add(time.Duration(overdueFactor * float64(predicted))))
}

// recentPaces holds the latest samples of all engines.
type recentPaces struct {
	samples []float64
	next    int
}

func (p *recentPaces) add(sample float64) {
	if len(p.samples) < commonSamples {
		p.samples = append(p.samples, sample)
		return
	}
	p.samples[p.next] = sample
	p.next = (p.next + 1) % commonSamples
}

// common returns the lateness that most engines share, at least 1.
func (p *recentPaces) common() float64 {
	sorted := slices.Sorted(slices.Values(p.samples))
	return max(1, sorted[int(commonQuantile*float64(len(sorted)))])
}
