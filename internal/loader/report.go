package loader

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// The length classes of prompts, in tokens.
const (
	maxShortPrompt  = 8_000
	maxMediumPrompt = 64_000
)

// maxProblems bounds the wrong and lost answers that a report describes.
const maxProblems = 20

// Report is the outcome of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Completions and Calls hold the outcomes of prompts and of service calls.
	Completions Outcomes `json:"completions"`
	Calls       Outcomes `json:"calls"`
	// Replayed counts the outcomes of service calls that were replayed.
	Replayed int              `json:"replayed"`
	Tokens   int              `json:"tokens"`
	Classes  map[string]Times `json:"classes"`
	Problems []string         `json:"problems"`
}

// Outcomes counts how requests ended.
type Outcomes struct {
	Sent     int `json:"sent"`
	Finished int `json:"finished"`
	// Refused counts refusals by reason, then by whether the work ran.
	Refused map[string]map[string]int `json:"refused"`
	Wrong   int                       `json:"wrong"`
	// Lost counts requests that got neither an answer nor a refusal within their deadline.
	Lost int `json:"lost"`
	// NotSent counts requests dropped because Options.Concurrency requests were under way.
	NotSent int `json:"not_sent"`
	// Reconnects counts attempts that followed a broken or failed connection.
	Reconnects int `json:"reconnects"`
}

// Times are the latencies of one length class, in milliseconds.
type Times struct {
	Finished   int        `json:"finished"`
	FirstToken Percentile `json:"first_token_ms"`
	Interval   Percentile `json:"interval_ms"`
}

// Percentile holds percentiles of a latency, in milliseconds.
type Percentile struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// sample holds the latencies of one completion.
type sample struct {
	class      string
	finished   bool
	firstToken time.Duration
	intervals  []time.Duration
}

// collector collects outcomes from many goroutines.
type collector struct {
	mu         sync.Mutex
	report     Report
	finished   map[string]int
	firstToken map[string][]time.Duration
	intervals  map[string][]time.Duration
}

func newCollector(seed uint64) *collector {
	return &collector{
		report: Report{
			Seed:        seed,
			Completions: newOutcomes(),
			Calls:       newOutcomes(),
			Problems:    []string{},
		},
		finished:   map[string]int{},
		firstToken: map[string][]time.Duration{},
		intervals:  map[string][]time.Duration{},
	}
}

func newOutcomes() Outcomes {
	return Outcomes{
		Refused: map[string]map[string]int{},
	}
}

// recordCompletion records how a prompt ended.
func (c *collector) recordCompletion(id string, s sample, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countOutcome(&c.report.Completions, id, err)
	if s.firstToken == 0 {
		return
	}
	if s.finished {
		c.finished[s.class]++
	}
	c.report.Tokens += len(s.intervals) + 1
	c.firstToken[s.class] = append(c.firstToken[s.class], s.firstToken)
	c.intervals[s.class] = append(c.intervals[s.class], s.intervals...)
}

// recordCall records how a service call ended.
func (c *collector) recordCall(key string, replayed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countOutcome(&c.report.Calls, key, err)
	if replayed {
		c.report.Replayed++
	}
}

func (c *collector) update(adjust func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	adjust(&c.report)
}

func (c *collector) countOutcome(o *Outcomes, id string, err error) {
	var (
		refused *refusal
		wrong   *wrongError
	)
	switch {
	case err == nil:
		o.Finished++
	case errors.As(err, &refused):
		reason := string(refused.Reason)
		if o.Refused[reason] == nil {
			o.Refused[reason] = map[string]int{}
		}
		o.Refused[reason][string(refused.Ran)]++
	case errors.As(err, &wrong):
		o.Wrong++
		c.addProblem(id, err)
	default:
		o.Lost++
		c.addProblem(id, err)
	}
}

func (c *collector) addProblem(id string, err error) {
	if len(c.report.Problems) < maxProblems {
		c.report.Problems = append(c.report.Problems, id+": "+err.Error())
	}
}

func (c *collector) result(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Seconds = elapsed.Seconds()
	c.report.Classes = map[string]Times{}
	for class, first := range c.firstToken {
		c.report.Classes[class] = Times{
			Finished:   c.finished[class],
			FirstToken: percentiles(first),
			Interval:   percentiles(c.intervals[class]),
		}
	}
	return c.report
}

func classOf(promptTokens int) string {
	switch {
	case promptTokens <= maxShortPrompt:
		return "short"
	case promptTokens <= maxMediumPrompt:
		return "medium"
	default:
		return "long"
	}
}

// percentiles uses the nearest rank; without samples it returns zeros.
func percentiles(times []time.Duration) Percentile {
	if len(times) == 0 {
		return Percentile{}
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(percent int) float64 {
		rank := (len(sorted)*percent + 99) / 100
		return float64(sorted[rank-1]) / float64(time.Millisecond)
	}
	return Percentile{
		P50: at(50),
		P95: at(95),
		P99: at(99),
	}
}

// print writes the report as text.
func (r Report) print(w io.Writer) {
	p := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	p("seed %d, %.1f s, %d tokens", r.Seed, r.Seconds, r.Tokens)
	r.Completions.print(p, "completions")
	r.Calls.print(p, "calls")
	p("  replayed %d", r.Replayed)
	for _, class := range slices.Sorted(maps.Keys(r.Classes)) {
		t := r.Classes[class]
		p("%s: finished %d; first token p50 %.0f ms, p95 %.0f ms, p99 %.0f ms; between tokens p50 %.1f ms, p95 %.1f ms, p99 %.1f ms",
			class, t.Finished, t.FirstToken.P50, t.FirstToken.P95, t.FirstToken.P99, t.Interval.P50, t.Interval.P95, t.Interval.P99)
	}
	for _, problem := range r.Problems {
		p("problem: %s", problem)
	}
}

func (o Outcomes) print(p func(string, ...any), name string) {
	p("%s: sent %d, finished %d, wrong %d, lost %d, not sent %d, reconnects %d", name, o.Sent, o.Finished, o.Wrong, o.Lost, o.NotSent, o.Reconnects)
	for _, reason := range slices.Sorted(maps.Keys(o.Refused)) {
		for _, ran := range slices.Sorted(maps.Keys(o.Refused[reason])) {
			p("  refused %s, ran %s: %d", reason, ran, o.Refused[reason][ran])
		}
	}
}
