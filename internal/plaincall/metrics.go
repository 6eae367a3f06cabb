package plaincall

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// Metrics counts calls to plain services.
type Metrics struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewMetrics returns metrics registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_service_calls_total",
			Help: "Calls to plain services by outcome.",
		}, []string{"service", "kind", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_service_call_seconds",
			Help:    "Time from a call's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"service", "kind"}),
	}
	registry.MustRegister(m.calls, m.duration)
	return m
}

func (m *Metrics) recordCall(c *call, refused *refusal.Refusal, duration time.Duration) {
	kind := "Once"
	switch {
	case c.idempotent:
		kind = "Idempotent"
	case c.key != "":
		kind = "Keyed"
	}
	outcome := "Answered"
	if refused != nil {
		outcome = string(refused.Code)
	}
	m.calls.WithLabelValues(c.service.Name, kind, outcome).Inc()
	m.duration.WithLabelValues(c.service.Name, kind).Observe(duration.Seconds())
}
