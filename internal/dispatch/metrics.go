package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// firstBuckets are the bounds of first-answer times, in seconds.
var firstBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.5, 1, 1.5, 3, 6, 12}

// Metrics counts requests by route kind and outcome.
type Metrics struct {
	calls   *prometheus.CounterVec
	onTime  *prometheus.CounterVec
	first   *prometheus.HistogramVec
	took    *prometheus.HistogramVec
	failed  *prometheus.CounterVec
	resumes *prometheus.CounterVec
}

// NewMetrics returns metrics registered with the registerer.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_requests_total",
			Help: "Requests by service, priority and outcome.",
		}, []string{"service", "priority", "outcome"}),
		onTime: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_requests_on_time_total",
			Help: "Requests whose answer began within the route's objective and did not pause for too long.",
		}, []string{"service", "priority"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_request_first_seconds",
			Help:    "Time from a request's arrival to the first piece of its answer.",
			Buckets: firstBuckets,
		}, []string{"service", "priority"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_request_seconds",
			Help:    "Time from a request's arrival to its end.",
			Buckets: firstBuckets,
		}, []string{"service", "priority"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_sends_failed_total",
			Help: "Sends that no runner answered with a result.",
		}, []string{"service"}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_streams_resumed_total",
			Help: "Streams that went on at another runner.",
		}, []string{"service"}),
	}
	r.MustRegister(m.calls, m.onTime, m.first, m.took, m.failed, m.resumes)
	return m
}

func (m *Metrics) ended(c *call, now time.Time) {
	priority := ""
	if c.route != nil {
		priority = priorityLabel(c.route.Priority)
	}
	service := c.service.Name
	m.calls.WithLabelValues(service, priority, string(c.outcome)).Inc()
	m.took.WithLabelValues(service, priority).Observe(now.Sub(c.request.Arrived).Seconds())
	if c.first.IsZero() {
		return
	}
	first := c.first.Sub(c.request.Arrived)
	m.first.WithLabelValues(service, priority).Observe(first.Seconds())
	if c.outcome == Answered && !c.late() {
		m.onTime.WithLabelValues(service, priority).Inc()
	}
}

func (m *Metrics) sendFailed(service string) { m.failed.WithLabelValues(service).Inc() }

func (m *Metrics) resumed(service string) { m.resumes.WithLabelValues(service).Inc() }

// priorityLabel bounds the label by the ranks that runners know.
func priorityLabel(priority int) string {
	return string(rune('0' + min(max(priority, 0), lowestPriority)))
}
