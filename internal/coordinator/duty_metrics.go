package coordinator

import "github.com/prometheus/client_golang/prometheus"

// DutyMetrics records which instance holds the duties and what becomes of its reports.
type DutyMetrics struct {
	fence   prometheus.Gauge
	bytes   prometheus.Gauge
	reports *prometheus.CounterVec
	late    prometheus.Gauge
}

// NewDutyMetrics returns metrics that are not registered yet.
func NewDutyMetrics() *DutyMetrics {
	return &DutyMetrics{
		fence: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamothollow_gateway_duties_fence",
			Help: "Fence of this instance while it holds the duties, else 0.",
		}),
		bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamothollow_gateway_duties_record_bytes",
			Help: "Size of the record of the duties that this instance last wrote.",
		}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_usage_reports_total",
			Help: "Calls that report usage, by outcome (accepted, refused, unknown).",
		}, []string{"outcome"}),
		late: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamothollow_gateway_usage_late_requests",
			Help: "Requests that this instance heard of after the count of their window was final.",
		}),
	}
}

// Register registers the metrics.
func (m *DutyMetrics) Register(registry *prometheus.Registry) {
	registry.MustRegister(m.fence, m.bytes, m.reports, m.late)
}

// recordDuties updates the metrics of the duties.
func (c *Coordinator) recordDuties() {
	m := c.options.DutyMetrics
	if m == nil {
		return
	}
	fence := int64(0)
	if t, holds := c.dutyTurn(); holds {
		fence = t.act.Fence
	}
	m.fence.Set(float64(fence))
	m.bytes.Set(float64(c.duties.storedBytes))
	m.late.Set(float64(c.duties.tallier.Late()))
}

func (c *Coordinator) recordReport(outcome string) {
	if c.options.DutyMetrics != nil {
		c.options.DutyMetrics.reports.WithLabelValues(outcome).Inc()
	}
}
