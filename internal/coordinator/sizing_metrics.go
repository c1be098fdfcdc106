package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/sizer"
)

// SizingMetrics records what the duty to order engines does.
type SizingMetrics struct {
	engines *prometheus.GaugeVec
	orders  *prometheus.CounterVec
}

// NewSizingMetrics returns metrics that are not registered yet.
func NewSizingMetrics() *SizingMetrics {
	return &SizingMetrics{
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bergamothollow_gateway_engines",
			Help: "Engines by service, at the instance that orders them: present (they take work) and wanted (callers need them).",
		}, []string{"service", "state"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_engine_orders_total",
			Help: "Orders of a number of engines in a data centre, by reason (raise, lower, repeat) and outcome (accepted, refused, lost).",
		}, []string{"reason", "outcome"}),
	}
}

// Register registers the metrics.
func (m *SizingMetrics) Register(registry *prometheus.Registry) {
	registry.MustRegister(m.engines, m.orders)
}

func (m *SizingMetrics) recordEngines(service namer.Service, present, wanted int) {
	m.engines.WithLabelValues(string(service), "present").Set(float64(present))
	m.engines.WithLabelValues(string(service), "wanted").Set(float64(wanted))
}

func (m *SizingMetrics) recordOrder(reason sizer.Reason, outcome sizer.Outcome) {
	m.orders.WithLabelValues(string(reason), string(outcome)).Inc()
}
