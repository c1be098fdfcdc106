package controller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

// Metrics holds the gauges and counters of the controller.
type Metrics struct {
	BundleSequence prometheus.Gauge
	OwnedTargets   prometheus.Gauge
	Queue          prometheus.Gauge
	Running        prometheus.Gauge
	SkippedIO      prometheus.Counter
	StoreAge       prometheus.Gauge
	FreeTokens     *prometheus.GaugeVec
	WarmPercent    *prometheus.GaugeVec
}

// NewMetrics creates and registers the controller's metrics.
func NewMetrics(registry *prometheus.Registry, store *storer.Client, bytes *messenger.ByteCounters) *Metrics {
	m := &Metrics{
		BundleSequence: gauge("bergamothollow_bundle_sequence", "Sequence of the bundle in force, 0 if none."),
		OwnedTargets:   gauge("bergamothollow_owned_targets", "Targets whose memory this instance allocates."),
		Queue:          gauge("bergamothollow_queue_requests", "Requests that wait for a target."),
		Running:        gauge("bergamothollow_running_requests", "Requests placed on a target."),
		StoreAge:       gauge("bergamothollow_store_age_seconds", "Time since the platform's store last answered, -1 if never."),
		FreeTokens:     targetGauge("bergamothollow_target_free_tokens", "Memory of an owned target that is neither allocated nor in use."),
		WarmPercent:    targetGauge("bergamothollow_target_warm_percent", "Place of an owned target on the warm-up ramp."),
		SkippedIO: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamothollow_skipped_io_total",
			Help: "Control calls that were put off because no worker was free.",
		}),
	}
	registry.MustRegister(m.BundleSequence, m.OwnedTargets, m.Queue, m.Running, m.StoreAge, m.SkippedIO, m.FreeTokens, m.WarmPercent)
	registry.MustRegister(
		&platformCalls{
			store: store,
			description: prometheus.NewDesc("bergamothollow_platform_calls_total",
				"Calls to the platform's object API by verb.", []string{"verb"}, nil),
		},
		counter("bergamothollow_peer_sent_bytes_total", "Bytes sent to peers.", func() float64 {
			return float64(bytes.Sent.Load())
		}),
		counter("bergamothollow_peer_received_bytes_total", "Bytes received from peers.", func() float64 {
			return float64(bytes.Received.Load())
		}),
	)
	return m
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	})
}

func targetGauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, []string{"target"})
}

func counter(name, help string, value func() float64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, value)
}

// platformCalls is a collector for the call counters of the store client.
type platformCalls struct {
	store       *storer.Client
	description *prometheus.Desc
}

// Describe sends the description of the counter.
func (p *platformCalls) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- p.description
}

// Collect sends the number of calls for each verb.
func (p *platformCalls) Collect(metrics chan<- prometheus.Metric) {
	n := p.store.Counters()
	for verb, value := range map[string]int64{
		"get":       n.Get,
		"create":    n.Create,
		"update":    n.Update,
		"delete":    n.Delete,
		"list":      n.List,
		"watch":     n.Watch,
		"instances": n.Instances,
	} {
		metrics <- prometheus.MustNewConstMetric(p.description, prometheus.CounterValue, float64(value), verb)
	}
}

// publish updates the gauges from the control state.
func (c *Controller) publish(now time.Time) {
	m := c.options.Metrics
	m.BundleSequence.Set(float64(c.follower.Sequence()))
	m.OwnedTargets.Set(float64(len(c.ownedTargets())))
	m.Running.Set(float64(c.traffic.activeAttempts()))
	m.Queue.Set(float64(c.traffic.queued()))
	m.StoreAge.Set(c.storeAge(now).Seconds())
	m.FreeTokens.Reset()
	m.WarmPercent.Reset()
	for _, id := range c.ownedTargets() {
		summary := c.allocators[id].Summary(now)
		m.FreeTokens.WithLabelValues(string(id)).Set(float64(summary.FreeTokens))
		m.WarmPercent.WithLabelValues(string(id)).Set(float64(summary.WarmPercent))
	}
}
