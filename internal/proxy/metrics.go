package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

// Directions and outcomes of proxied requests in the metrics.
const (
	directionOut = "Out"
	directionIn  = "In"

	outcomeAnswered = "Answered"
	outcomeRefused  = "Refused"
	outcomeNotSent  = "NotSent"
	outcomeLost     = "Lost"
)

// Metrics counts the requests sent through other VMs, and those of other VMs sent through this one.
type Metrics struct {
	requests *prometheus.CounterVec
}

// NewMetrics returns metrics registered with the registerer.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_proxied_requests_total",
			Help: "Requests sent through other VMs (Out) and requests of other VMs (In) by outcome.",
		}, []string{"direction", "outcome"}),
	}
	r.MustRegister(m.requests)
	return m
}

// sent counts a request that was sent through another VM.
func (m *Metrics) sent(response *dispatch.Response, err error) {
	outcome := outcomeAnswered
	switch {
	case isNotSent(err):
		outcome = outcomeNotSent
	case err != nil:
		outcome = outcomeLost
	case response.Refused != nil:
		outcome = outcomeRefused
	}
	m.requests.WithLabelValues(directionOut, outcome).Inc()
}

// served counts a request of another VM.
func (m *Metrics) served(outcome string) {
	m.requests.WithLabelValues(directionIn, outcome).Inc()
}
