package estimator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the constants of the estimator.
type Settings struct {
	// Weight is the share of one observation in the learned value.
	Weight float64
	// IntervalTokens is the number of tokens over which one observation of the time between tokens
	// counts with IntervalWeight. An observation over fewer tokens counts less: a prediction covers a
	// whole stream, not the next few steps.
	IntervalTokens int
	IntervalWeight float64
	// MinSamples is the number of observations before a learned rate replaces the record's.
	MinSamples int
	// MinPrefillTokens is the shortest uncached prompt that teaches a prefill rate; shorter ones
	// measure the length of an engine's step instead.
	MinPrefillTokens int
	// MaxColdFactor bounds how much slower than normal a cold target is taken to be.
	MaxColdFactor float64
	// ColdShare is the share of the normal prefill rate under which a target counts as cold.
	ColdShare float64
}

// DefaultSettings returns the settings of the design.
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

// Target is what the record of a target says about its speed.
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

// Load is the work in front of a request on a target.
type Load struct {
	QueueTokens int
	// WarmPercent is the target's place on the warm-up ramp; 0 and 100 both mean warm.
	WarmPercent int
}

// Estimate is the predicted cost of a request on a target.
type Estimate struct {
	Wait    time.Duration
	Prefill time.Duration
	Decode  time.Duration
	Total   time.Duration
	// QueueTokens is the work that Wait was predicted from.
	QueueTokens int
	// Tokens is the memory held at the peak.
	Tokens int
}

// FirstToken returns the predicted time until the first token.
func (e Estimate) FirstToken() time.Duration {
	return e.Wait + e.Prefill
}

// Observation is what one finished phase of a stream showed; zero fields teach nothing.
type Observation struct {
	Target namer.Target
	// PrefillTokens are the uncached tokens processed during Prefill, with those queued in front.
	PrefillTokens int
	// Prefill is the time from sending the request to its first token.
	Prefill       time.Duration
	TokenInterval time.Duration
	// IntervalTokens is the number of tokens that TokenInterval was measured over; 0 means a whole
	// stream, which counts with the full weight.
	IntervalTokens int
}

// Estimator keeps the learned rates.
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

// rates are kept as times per token, since the average of times is the one that predicts times.
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
	// A running mean until it is as steady as the weighted one.
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

// SetTarget adds a target or replaces its record; what was learned about it is kept.
func (e *Estimator) SetTarget(record Target) {
	model := e.models[record.Model]
	if model == nil {
		model = &rates{}
		e.models[record.Model] = model
	}
	known := e.targets[record.ID]
	if known == nil || known.record.Model != record.Model {
		known = &target{}
		e.targets[record.ID] = known
	}
	known.record = record
	known.model = model
}

// RemoveTarget forgets a target.
func (e *Estimator) RemoveTarget(id namer.Target) {
	delete(e.targets, id)
}

// Restarted forgets what was learned about a target that has a new boot id.
func (e *Estimator) Restarted(id namer.Target) {
	if known := e.targets[id]; known != nil {
		known.rates = rates{}
	}
}

// Observe learns from a stream.
func (e *Estimator) Observe(o Observation) {
	known := e.targets[o.Target]
	if known == nil {
		return
	}
	if o.Prefill > 0 && o.PrefillTokens >= e.settings.MinPrefillTokens {
		interval := e.pick(known.rates.interval, known.model.interval, known.record.TokenInterval.Seconds())
		spent := max(o.Prefill.Seconds()-interval, o.Prefill.Seconds()/2)
		perToken := spent / float64(o.PrefillTokens)
		known.rates.prefill.add(perToken, e.settings.Weight)
		if !e.slow(known) {
			// A cold target says nothing about the model's other targets. Its first observations,
			// before it is known to be cold, count no more than the slowest warm ones.
			normal := e.pick(average{}, known.model.prefill, recordPrefill(known.record))
			if normal > 0 {
				perToken = min(perToken, normal/e.settings.ColdShare)
			}
			known.model.prefill.add(perToken, e.settings.Weight)
		}
	}
	if o.TokenInterval > 0 {
		weight := e.settings.IntervalWeight
		if o.IntervalTokens > 0 {
			weight *= min(1, float64(o.IntervalTokens)/float64(e.settings.IntervalTokens))
		}
		known.rates.interval.add(o.TokenInterval.Seconds(), weight)
		known.model.interval.add(o.TokenInterval.Seconds(), weight)
	}
}

// Cold reports whether the observed prefill rate is under ColdShare of normal.
func (e *Estimator) Cold(id namer.Target) bool {
	known := e.targets[id]
	return known != nil && e.slow(known)
}

func (e *Estimator) slow(t *target) bool {
	if t.rates.prefill.count < e.settings.MinSamples {
		return false
	}
	normal := e.pick(average{}, t.model.prefill, recordPrefill(t.record))
	return t.rates.prefill.value*e.settings.ColdShare > normal
}

// pick returns the first value with enough samples.
func (e *Estimator) pick(own, model average, record float64) float64 {
	switch {
	case own.count >= e.settings.MinSamples:
		return own.value
	case model.count >= e.settings.MinSamples:
		return model.value
	default:
		return record
	}
}

func recordPrefill(record Target) float64 {
	if record.PrefillRate <= 0 {
		return 0
	}
	return 1 / record.PrefillRate
}

// TokenInterval returns the predicted time between tokens on a target.
func (e *Estimator) TokenInterval(id namer.Target) time.Duration {
	known := e.targets[id]
	if known == nil {
		return 0
	}
	return seconds(e.pick(known.rates.interval, known.model.interval, known.record.TokenInterval.Seconds()))
}

// Estimate predicts the cost of a request on a target under a load.
func (e *Estimator) Estimate(r Request, id namer.Target, load Load) Estimate {
	estimate := Estimate{
		QueueTokens: load.QueueTokens,
		Tokens:      r.PromptTokens + r.OutputTokens,
	}
	known := e.targets[id]
	if known == nil {
		return estimate
	}
	perToken := e.pick(known.rates.prefill, known.model.prefill, recordPrefill(known.record))
	interval := e.pick(known.rates.interval, known.model.interval, known.record.TokenInterval.Seconds())
	perToken *= e.coldFactor(known, load.WarmPercent)
	estimate.Wait = seconds(float64(load.QueueTokens) * perToken)
	// One step passes before the first token whatever the length of the prompt.
	estimate.Prefill = seconds(float64(max(r.PromptTokens-r.CachedTokens, 0))*perToken + interval)
	estimate.Decode = seconds(float64(r.OutputTokens) * interval)
	estimate.Total = estimate.Wait + estimate.Prefill + estimate.Decode
	return estimate
}

// coldFactor is 1 for a warm target. A target whose own rate is already learned as slow is not
// slowed down twice.
func (e *Estimator) coldFactor(t *target, warmPercent int) float64 {
	if warmPercent <= 0 || warmPercent >= 100 || e.slow(t) {
		return 1
	}
	return min(100/float64(warmPercent), e.settings.MaxColdFactor)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
