package receiver

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/pkg/localizer"
)

// Metrics records the outcomes and latencies of requests.
type Metrics struct {
	refusals *prometheus.CounterVec
	requests *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	first    prometheus.Histogram
	broken   *prometheus.CounterVec
	notices  *prometheus.CounterVec
	prompts  *prometheus.CounterVec
	waits    *prometheus.CounterVec
	// left and leftBytes count what goes to targets in other data centres.
	left      *prometheus.CounterVec
	leftBytes *prometheus.CounterVec
}

// latencyBuckets cover the range from the routes' target latencies to the deadlines, in seconds.
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
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_broken_attempts_total",
			Help: "Attempts whose connection the engine ended, by whether the engine itself had ended and whether events had arrived.",
		}, []string{"engine_ended", "begun"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_notices_total",
			Help: "What targets have said of themselves in answers and was new, by kind (leaving, rest, ignored).",
		}, []string{"kind"}),
		prompts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_prompts_total",
			Help: "Prompts to model engines, by whether one engine has the memory for them (one_engine, several_engines) and outcome.",
		}, []string{"size", "outcome"}),
		left: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_left_requests_total",
			Help: "Sends of requests to targets in another data centre than this instance's, by reason.",
		}, []string{"reason"}),
		leftBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_left_bytes_total",
			Help: "Bytes of the bodies of these requests and of their answers, by reason.",
		}, []string{"reason"}),
		waits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_gateway_start_waits_total",
			Help: "Requests that came before the rules and targets were known, by how their wait ended (informed, in_vain, full).",
		}, []string{"end"}),
	}
	registry.MustRegister(m.left, m.leftBytes, m.refusals, m.requests, m.retries, m.first, m.broken, m.notices, m.prompts, m.waits)
	return m
}

// recordRefusal counts a request that was not served; r has no route if no rule matched it.
func (m *Metrics) recordRefusal(r *request, why reason, took time.Duration) {
	m.refusals.WithLabelValues(string(why)).Inc()
	if r.match.Route != nil {
		m.requests.WithLabelValues(r.match.Route.Kind.String(), string(why)).Observe(took.Seconds())
	}
	m.recordPrompt(r, string(why))
}

// recordPrompt counts a prompt by its size and outcome; requests to plain services are left out.
func (m *Metrics) recordPrompt(r *request, outcome string) {
	if r.service == nil || r.service.Engine == nil {
		return
	}
	size := "one_engine"
	if r.promptTokens > r.service.Engine.MemoryTokens {
		size = "several_engines"
	}
	m.prompts.WithLabelValues(size, outcome).Inc()
}

func (m *Metrics) recordServed(r *request, took time.Duration) {
	m.requests.WithLabelValues(r.match.Route.Kind.String(), outcomeServed).Observe(took.Seconds())
	m.recordPrompt(r, outcomeServed)
}

// outcomeServed is the outcome of requests that were not refused and did not fail.
const outcomeServed = "served"

// recordRetry counts a retry after an attempt with the given result.
func (m *Metrics) recordRetry(v verdict) {
	m.retries.WithLabelValues(v.String()).Inc()
}

// recordBroken counts an attempt whose connection the engine ended.
func (m *Metrics) recordBroken(engineEnded, begun bool) {
	m.broken.WithLabelValues(strconv.FormatBool(engineEnded), strconv.FormatBool(begun)).Inc()
}

// The kinds of notices of targets; each is a label value.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
	noticeIgnored = "ignored"
)

// The ends of waits for the rules and targets; each is a label value.
const (
	waitInformed = "informed"
	waitInVain   = "in_vain"
	waitFull     = "full"
)

func (m *Metrics) recordWait(end string) {
	m.waits.WithLabelValues(end).Inc()
}

func (m *Metrics) recordNotice(kind string) {
	m.notices.WithLabelValues(kind).Inc()
}

// recordLeft counts a request that was sent to another data centre, with the bytes of its body and its answer.
func (m *Metrics) recordLeft(why localizer.Reason, bytes int) {
	m.left.WithLabelValues(string(why)).Inc()
	m.leftBytes.WithLabelValues(string(why)).Add(float64(bytes))
}
