package receiver

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count what became of requests.
type Metrics struct {
	refusals *prometheus.CounterVec
	requests *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	first    prometheus.Histogram
}

// latencyBuckets cover the target latencies and the deadlines, in seconds.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 3, 5, 10, 15}

// NewMetrics registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_refusals_total",
			Help: "Requests that the system itself ended, by reason.",
		}, []string{"reason"}),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bergamothollow_gateway_request_seconds",
			Help:    "Time to the end of the request, by kind of route and outcome (served or the reason why not).",
			Buckets: latencyBuckets,
		}, []string{"kind", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_retries_total",
			Help: "Further sends of a request, by what became of the one before.",
		}, []string{"reason"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bergamothollow_gateway_first_event_seconds",
			Help:    "Time to the first event of a stream.",
			Buckets: latencyBuckets,
		}),
	}
	registry.MustRegister(m.refusals, m.requests, m.retries, m.first)
	return m
}

// unserved counts a request that the system itself ended; r has no route if the rules know none for it.
func (m *Metrics) unserved(r *request, why reason, took time.Duration) {
	m.refusals.WithLabelValues(string(why)).Inc()
	if r.match.Route != nil {
		m.requests.WithLabelValues(r.match.Route.Kind.String(), string(why)).Observe(took.Seconds())
	}
}

func (m *Metrics) served(r *request, took time.Duration) {
	m.requests.WithLabelValues(r.match.Route.Kind.String(), "served").Observe(took.Seconds())
}

// retried counts a further send after an attempt that came to v.
func (m *Metrics) retried(v verdict) {
	m.retries.WithLabelValues(v.String()).Inc()
}
