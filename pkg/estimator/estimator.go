package estimator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings configure the estimator.
type Settings struct {
	// Weight is the weight of one observation of a prefill in the moving average.
	Weight float64
	// An observation of the time between tokens has the weight IntervalWeight if it covers at least IntervalTokens tokens,
	// and proportionally less otherwise, because a prediction covers a whole stream.
	IntervalTokens int
	IntervalWeight float64
	// MinSamples is the number of observations from which a learned rate replaces the one in the target's record.
	MinSamples int
	// MinPrefillTokens is the minimum number of uncached tokens in an observation of the prefill rate; with fewer, the
	// duration of an engine's step dominates the measurement.
	MinPrefillTokens int
	// MaxColdFactor is the largest factor by which the predicted prefill of a cold target is slowed down.
	MaxColdFactor float64
	// ColdShare is the share of the normal prefill rate below which a target counts as cold.
	ColdShare float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Weight:           0.05,
		IntervalTokens:   80,
		IntervalWeight:   0.05,
		MinSamples:       5,
		MinPrefillTokens: 4_000,
		MaxColdFactor:    10,
		ColdShare:        1.0 / 3,
	}
}

// Target holds the model, capacity and configured speed from a target's record.
type Target struct {
	ID             namer.Target
	Model          namer.Model
	CapacityTokens int
	// PrefillRate is in tokens per second.
	PrefillRate   float64
	TokenInterval time.Duration
}

// Request holds the lengths that an estimate depends on.
type Request struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Load is the load of a target that a new request would meet.
type Load struct {
	QueueTokens int
	// WarmPercent is the progress of the target's warm-up; 0 and 100 both mean warm.
	WarmPercent int
}

// Estimate is the predicted cost of a request on a target.
type Estimate struct {
	Wait    time.Duration
	Prefill time.Duration
	Decode  time.Duration
	Total   time.Duration
	// QueueTokens is the number of queued tokens from which Wait was predicted.
	QueueTokens int
	// Tokens is the peak memory in tokens.
	Tokens int
}

// FirstToken returns the predicted time until the first token.
func (e Estimate) FirstToken() time.Duration {
	return e.Wait + e.Prefill
}

// Observation holds the measurements of one phase of a stream; fields with a zero value are ignored.
type Observation struct {
	Target namer.Target
	// PrefillTokens is the number of uncached tokens processed during Prefill, including those queued in front.
	PrefillTokens int
	// Prefill is the time from sending the request to its first token.
	Prefill       time.Duration
	TokenInterval time.Duration
	// IntervalTokens is the number of tokens over which TokenInterval was measured; 0 means a whole
	// stream, which has the full weight.
	IntervalTokens int
}

// Estimator holds the rates learned per target and per model.
type Estimator struct {
	settings Settings
	targets  map[namer.Target]*target
	models   map[namer.Model]*rates
}

type target struct {
	record Target
	rates  rates
	model  *rates
}

// rates are averages of times per token; an average of tokens per second would predict durations that are too short.
type rates struct {
	prefill  average // seconds per token
	interval average // seconds between tokens
}

type average struct {
	value float64
	count int
}

func (a *average) add(value, weight float64) {
	a.count++
	// The plain mean until 1/count falls to weight, then a moving average.
	a.value += max(weight, 1/float64(a.count)) * (value - a.value)
}

// New returns an estimator without targets.
func New(settings Settings) *Estimator {
	return &Estimator{
		settings: settings,
		targets:  map[namer.Target]*target{},
		models:   map[namer.Model]*rates{},
	}
}

// SetTarget adds a target or replaces its record; its learned rates are kept unless the model changes.
func (e *Estimator) SetTarget(record Target) {
	model := e.models[record.Model]
	if model == nil {
		model = &rates{}
		e.models[record.Model] = model
	}
	existing := e.targets[record.ID]
	if existing == nil || existing.record.Model != record.Model {
		existing = &target{}
		e.targets[record.ID] = existing
	}
	existing.record = record
	existing.model = model
}

// RemoveTarget removes a target and its learned rates.
func (e *Estimator) RemoveTarget(id namer.Target) {
	delete(e.targets, id)
}

// ResetTarget discards the learned rates of a target that has a new boot id.
func (e *Estimator) ResetTarget(id namer.Target) {
	if t := e.targets[id]; t != nil {
		t.rates = rates{}
	}
}

// Observe updates the learned rates of a target and its model.
func (e *Estimator) Observe(o Observation) {
	t := e.targets[o.Target]
	if t == nil {
		return
	}
	if o.Prefill > 0 && o.PrefillTokens >= e.settings.MinPrefillTokens {
		interval := e.bestKnown(t.rates.interval, t.model.interval, t.record.TokenInterval.Seconds())
		prefillTime := max(o.Prefill.Seconds()-interval, o.Prefill.Seconds()/2)
		perToken := prefillTime / float64(o.PrefillTokens)
		t.rates.prefill.add(perToken, e.settings.Weight)
		if !e.isCold(t) {
			// A cold target doesn't represent the model's other targets. Before it is known to be cold, its
			// observations are limited to the slowest time per token of a warm target.
			normal := e.bestKnown(average{}, t.model.prefill, recordedPrefill(t.record))
			if normal > 0 {
				perToken = min(perToken, normal/e.settings.ColdShare)
			}
			t.model.prefill.add(perToken, e.settings.Weight)
		}
	}
	if o.TokenInterval > 0 {
		weight := e.settings.IntervalWeight
		if o.IntervalTokens > 0 {
			weight *= min(1, float64(o.IntervalTokens)/float64(e.settings.IntervalTokens))
		}
		t.rates.interval.add(o.TokenInterval.Seconds(), weight)
		t.model.interval.add(o.TokenInterval.Seconds(), weight)
	}
}

// IsCold reports whether the observed prefill rate of a target is below ColdShare of the normal rate.
func (e *Estimator) IsCold(id namer.Target) bool {
	t := e.targets[id]
	return t != nil && e.isCold(t)
}

func (e *Estimator) isCold(t *target) bool {
	if t.rates.prefill.count < e.settings.MinSamples {
		return false
	}
	normal := e.bestKnown(average{}, t.model.prefill, recordedPrefill(t.record))
	return t.rates.prefill.value*e.settings.ColdShare > normal
}

// bestKnown returns the target's own value if it has enough samples, else the model's if it has, else the record's.
func (e *Estimator) bestKnown(own, model average, record float64) float64 {
	switch {
	case own.count >= e.settings.MinSamples:
		return own.value
	case model.count >= e.settings.MinSamples:
		return model.value
	default:
		return record
	}
}

// recordedPrefill returns the prefill time per token in seconds from a target's record, or 0 if the record has no rate.
func recordedPrefill(record Target) float64 {
	if record.PrefillRate <= 0 {
		return 0
	}
	return 1 / record.PrefillRate
}

// TokenInterval returns the predicted time between tokens on a target.
func (e *Estimator) TokenInterval(id namer.Target) time.Duration {
	t := e.targets[id]
	if t == nil {
		return 0
	}
	return seconds(e.bestKnown(t.rates.interval, t.model.interval, t.record.TokenInterval.Seconds()))
}

// Estimate predicts the times and the memory of a request on a target with a given load; the times of an unknown target are 0.
func (e *Estimator) Estimate(r Request, id namer.Target, load Load) Estimate {
	estimate := Estimate{
		QueueTokens: load.QueueTokens,
		Tokens:      r.PromptTokens + r.OutputTokens,
	}
	t := e.targets[id]
	if t == nil {
		return estimate
	}
	perToken := e.bestKnown(t.rates.prefill, t.model.prefill, recordedPrefill(t.record))
	interval := e.bestKnown(t.rates.interval, t.model.interval, t.record.TokenInterval.Seconds())
	perToken *= e.coldFactor(t, load.WarmPercent)
	estimate.Wait = seconds(float64(load.QueueTokens) * perToken)
	// The first token takes at least one engine step, whatever the length of the prompt.
	estimate.Prefill = seconds(float64(max(r.PromptTokens-r.CachedTokens, 0))*perToken + interval)
	estimate.Decode = seconds(float64(r.OutputTokens) * interval)
	estimate.Total = estimate.Wait + estimate.Prefill + estimate.Decode
	return estimate
}

// coldFactor returns the factor on the time per prefill token of a target that is warming up. It is 1 for a warm target, and
// for one whose learned rate is already that of a cold target.
func (e *Estimator) coldFactor(t *target, warmPercent int) float64 {
	if warmPercent <= 0 || warmPercent >= 100 || e.isCold(t) {
		return 1
	}
	return min(100/float64(warmPercent), e.settings.MaxColdFactor)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
