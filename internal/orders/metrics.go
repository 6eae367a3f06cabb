package orders

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts orders by result.
type Metrics struct {
	orders *prometheus.CounterVec
}

// NewMetrics returns metrics registered with the registerer.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowsliparch_orders_total",
			Help: "Orders to runners by result.",
		}, []string{"result"}),
	}
	r.MustRegister(m.orders)
	return m
}

func (m *Metrics) countOrder(result Result, err error) {
	if err != nil {
		result = "Lost"
	}
	m.orders.WithLabelValues(string(result)).Inc()
}
