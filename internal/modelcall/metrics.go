package modelcall

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// Metrics counts calls to models. Label values come only from the configuration and the refusal codes, which bounds their
// number.
type Metrics struct {
	calls      *prometheus.CounterVec
	attained   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	interval   *prometheus.HistogramVec
	tokens     prometheus.Counter
	spilled    *prometheus.CounterVec
}

// NewMetrics returns metrics registered with a registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_model_calls_total",
			Help: "Calls to models by service, class and outcome.",
		}, []string{"service", "class", "outcome"}),
		attained: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_model_calls_attained_total",
			Help: "Calls to models whose answer met its objective.",
		}, []string{"service", "class"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_first_token_seconds",
			Help:    "Time from a call's arrival to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"service", "class"}),
		interval: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cowsliparch_token_interval_seconds",
			Help:    "Mean time between the tokens of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 10),
		}, []string{"service", "class"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cowsliparch_tokens_total",
			Help: "Tokens relayed to callers.",
		}),
		spilled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_spilled_calls_total",
			Help: "Calls sent to another failure domain.",
		}, []string{"domain"}),
	}
	registry.MustRegister(m.calls, m.attained, m.firstToken, m.interval, m.tokens, m.spilled)
	return m
}

func (m *Metrics) recordCall(call Call, p *progress, refused *refusal.Refusal, objectiveMet bool) {
	service, class := call.Model.Service, string(call.Model.Class)
	outcome := "Answered"
	if refused != nil {
		outcome = string(refused.Code)
	}
	m.calls.WithLabelValues(service, class, outcome).Inc()
	m.tokens.Add(float64(p.tokens))
	if objectiveMet {
		m.attained.WithLabelValues(service, class).Inc()
	}
	if p.tokens == 0 {
		return
	}
	m.firstToken.WithLabelValues(service, class).Observe(p.firstAt.Sub(call.Arrived).Seconds())
	if p.tokens > 1 {
		m.interval.WithLabelValues(service, class).Observe(p.meanInterval().Seconds())
	}
}

func (m *Metrics) countSpilled(domain string) { m.spilled.WithLabelValues(domain).Inc() }
