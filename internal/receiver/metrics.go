package receiver

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count what became of requests.
type Metrics struct {
	refusals *prometheus.CounterVec
	requests *prometheus.HistogramVec
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
			Help:    "Time to the end of the answer, by kind of route.",
			Buckets: latencyBuckets,
		}, []string{"kind"}),
	}
	registry.MustRegister(m.refusals, m.requests)
	return m
}

func (m *Metrics) refused(why reason) {
	m.refusals.WithLabelValues(string(why)).Inc()
}

func (m *Metrics) served(r *request, took time.Duration) {
	m.requests.WithLabelValues(r.match.Route.Kind.String()).Observe(took.Seconds())
}
