package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/shedding"
)

// latencyBuckets are the histogram bounds of response times, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.5, 1, 1.5, 3, 6, 12}

// Metrics holds the metrics of requests by service, priority and outcome.
type Metrics struct {
	requests       *prometheus.CounterVec
	onTime         *prometheus.CounterVec
	paused         *prometheus.CounterVec
	firstByte      *prometheus.HistogramVec
	duration       *prometheus.HistogramVec
	failedSends    *prometheus.CounterVec
	resumedStreams *prometheus.CounterVec
	accounts       *prometheus.CounterVec
	shed           *prometheus.CounterVec
	withoutRoom    *prometheus.CounterVec
}

// NewMetrics returns metrics registered with the registerer.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_requests_total",
			Help: "Requests by service, priority and outcome.",
		}, []string{"service", "priority", "outcome"}),
		onTime: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_requests_on_time_total",
			Help: "Requests whose answer began within the route's objective and did not pause for too long.",
		}, []string{"service", "priority"}),
		paused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_streams_paused_total",
			Help: "Streams that paused for longer than the route allows.",
		}, []string{"service", "priority"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_request_first_seconds",
			Help:    "Time from a request's arrival to the first piece of its answer.",
			Buckets: latencyBuckets,
		}, []string{"service", "priority"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_request_seconds",
			Help:    "Time from a request's arrival to its end.",
			Buckets: latencyBuckets,
		}, []string{"service", "priority"}),
		failedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_sends_failed_total",
			Help: "Sends that no runner answered with a result.",
		}, []string{"service"}),
		resumedStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_streams_resumed_total",
			Help: "Streams that went on at another runner.",
		}, []string{"service"}),
	}
	m.accounts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowsliparch_account_requests_total",
		Help: "Requests with a known API key by client account and outcome.",
	}, []string{"account", "outcome"})
	m.shed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowsliparch_requests_shed_total",
		Help: "Requests that were delayed or refused because of a lack of capacity, by rank and reason.",
	}, []string{"service", "rank", "action", "reason"})
	m.withoutRoom = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowsliparch_requests_without_room_total",
		Help: "Requests that were not sent because runners say that they are brittle and have no room.",
	}, []string{"service"})
	r.MustRegister(m.requests, m.onTime, m.paused, m.firstByte, m.duration, m.failedSends, m.resumedStreams, m.accounts, m.shed, m.withoutRoom)
	return m
}

func (m *Metrics) requestEnded(c *call, now time.Time) {
	priority := ""
	if c.route != nil {
		priority = priorityLabel(c.route.Priority)
	}
	service := c.service.Name
	if c.account != nil {
		m.accounts.WithLabelValues(c.account.Name, string(c.outcome)).Inc()
	}
	m.requests.WithLabelValues(service, priority, string(c.outcome)).Inc()
	m.duration.WithLabelValues(service, priority).Observe(now.Sub(c.request.Arrived).Seconds())
	if c.firstByteAt.IsZero() {
		return
	}
	first := c.firstByteAt.Sub(c.request.Arrived)
	m.firstByte.WithLabelValues(service, priority).Observe(first.Seconds())
	if c.paused() {
		m.paused.WithLabelValues(service, priority).Inc()
	}
	if c.outcome == Answered && !c.late() {
		m.onTime.WithLabelValues(service, priority).Inc()
	}
}

func (m *Metrics) sendFailed(service string) { m.failedSends.WithLabelValues(service).Inc() }

func (m *Metrics) streamResumed(service string) { m.resumedStreams.WithLabelValues(service).Inc() }

func (m *Metrics) requestWithoutRoom(service string) { m.withoutRoom.WithLabelValues(service).Inc() }

func (m *Metrics) requestShed(service string, rank int, d shedding.Decision) {
	m.shed.WithLabelValues(service, priorityLabel(rank), string(d.Action), string(d.Reason)).Inc()
}

// priorityLabel limits the label to the priorities that runners accept.
func priorityLabel(priority int) string {
	return string(rune('0' + min(max(priority, 0), catalog.LowestPriority)))
}
