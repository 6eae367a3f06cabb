package orders

import (
	"math"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
)

const (
	// meterMemory is the time constant of the moving rates.
	meterMemory = 1500 * time.Millisecond
	// forgotten is the rate below which an entry is dropped.
	forgotten = 0.01
)

// Demand is requests counted by a VM for a model and adapter.
type Demand struct {
	Service  string
	Model    string
	Adapter  string
	Requests int
	Tokens   int
}

type meterKey struct {
	service string
	model   string
	adapter string
}

type rate struct {
	tokens   float64
	requests float64
}

// Meter keeps moving rates of demand over all VMs; it is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	rates map[meterKey]rate
	at    time.Time
}

// NewMeter returns a meter without demand.
func NewMeter(now time.Time) *Meter {
	return &Meter{
		rates: make(map[meterKey]rate),
		at:    now,
	}
}

// Add takes in counts of a VM.
func (m *Meter) Add(counts []Demand, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	perSecond := 1 / meterMemory.Seconds()
	for _, c := range counts {
		k := meterKey{
			service: c.Service,
			model:   c.Model,
			adapter: c.Adapter,
		}
		r := m.rates[k]
		r.tokens += float64(c.Tokens) * perSecond
		r.requests += float64(c.Requests) * perSecond
		m.rates[k] = r
	}
}

// decay lets past demand count less; the caller holds the lock.
func (m *Meter) decay(now time.Time) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	m.at = now
	left := math.Exp(-passed.Seconds() / meterMemory.Seconds())
	for k, r := range m.rates {
		r.tokens *= left
		r.requests *= left
		if r.requests < forgotten {
			delete(m.rates, k)
			continue
		}
		m.rates[k] = r
	}
}

// Demand returns the demand for a service now.
func (m *Meter) Demand(service string, now time.Time) layout.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	d := layout.Demand{
		Work:     make(map[string]float64),
		Adapters: make(map[string]map[string]float64),
	}
	for k, r := range m.rates {
		if k.service != service {
			continue
		}
		d.Work[k.model] += r.tokens
		if k.adapter == "" {
			continue
		}
		if d.Adapters[k.model] == nil {
			d.Adapters[k.model] = make(map[string]float64)
		}
		d.Adapters[k.model][k.adapter] += r.requests
	}
	return d
}
