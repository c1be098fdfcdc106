package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Metrics are the Prometheus metrics of the requests that an instance serves.
type Metrics struct {
	Registry   *prometheus.Registry
	Refusals   *prometheus.CounterVec
	Retries    *prometheus.CounterVec
	Requests   *prometheus.CounterVec
	FirstToken *prometheus.HistogramVec
	LateEvents prometheus.Counter
	HeldBytes  prometheus.Gauge
}

// NewMetrics registers the metrics; each reason starts at zero so that rates count the first event.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		Registry: registry,
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_refusals_total",
			Help: "Requests refused or ended early, by reason.",
		}, []string{"reason"}),
		Retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_retries_total",
			Help: "Attempts repeated or resumed, by reason.",
		}, []string{"reason"}),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_requests_total",
			Help: "Requests by outcome.",
		}, []string{"outcome"}),
		FirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bergamothollow_first_token_seconds",
			Help:    "Time from the request to its first token, by length class.",
			Buckets: []float64{0.05, 0.1, 0.2, 0.35, 0.5, 0.67, 1, 2, 5, 10, 30, 60},
		}, []string{"class"}),
		LateEvents: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamothollow_late_events_total",
			Help: "Token events dropped because they belonged to another request, an older attempt or a wrong index.",
		}),
		HeldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamothollow_held_bytes",
			Help: "Bytes buffered for callers that read slowly.",
		}),
	}
	registry.MustRegister(m.Refusals, m.Retries, m.Requests, m.FirstToken, m.LateEvents, m.HeldBytes)
	for _, r := range refuser.Reasons() {
		m.Refusals.WithLabelValues(string(r))
	}
	for _, r := range refuser.RetryReasons() {
		m.Retries.WithLabelValues(string(r))
	}
	return m
}
