package promptguard

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a guard.
type Metrics struct {
	quarantined prometheus.Gauge
	strikes     prometheus.Counter
	refused     prometheus.Counter
}

// NewMetrics returns metrics registered with the registerer.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cowsliparch_sections_quarantined",
			Help: "Prompt sections in quarantine here.",
		}),
		strikes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cowsliparch_section_strikes_total",
			Help: "Requests with shared prompt sections whose runner broke off before it answered.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cowsliparch_quarantine_refused_total",
			Help: "Attempts refused because a section of the prompt is in quarantine.",
		}),
	}
	r.MustRegister(m.quarantined, m.strikes, m.refused)
	return m
}
