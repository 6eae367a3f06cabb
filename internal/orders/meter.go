package orders

import (
	"math"
	"sync"
	"time"
)

const (
	// modelTimeConstant is the time constant of the decaying rates of models, which must show a shift of demand at once.
	modelTimeConstant = time.Second
	// adapterTimeConstant is that of the rates of adapters, each of which is requested about once a second.
	adapterTimeConstant = 6 * time.Second
	// minRate is the rate below which an entry is dropped.
	minRate = 0.01
)

// Rate is the demand for a model or, if one is named, for an adapter, which is included in its model's rate.
type Rate struct {
	Service string
	Model   string
	Adapter string
	// Requests is the number of requests per second.
	Requests float64
	// Work is the runner time needed per second, from the duration of requests to the model; late responses increase it.
	Work float64
}

type meterKey struct {
	service string
	model   string
	adapter string
}

// RequestRate is the number of requests per second to a model over all VMs.
type RequestRate struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Model    string
	Requests float32
}

// initialDuration is the assumed duration of a request in seconds before any was measured.
const initialDuration = 1.0

const (
	// averageWeight is the weight of the newest request in the moving averages of a model's request duration and late share.
	averageWeight = 0.05
	// lateFactor is the multiple of a model's work that is added to it when all of its responses are late: its runners are
	// overloaded, whatever the durations say.
	lateFactor = 4
)

// Meter measures the decaying rates of demand at one VM; it is safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	rates     map[meterKey]float64
	decayedAt time.Time
	// durations is the mean duration of requests to each model in seconds, meanDuration that of all requests.
	durations    map[meterKey]float64
	meanDuration float64
	// lateShares is the share of late responses of each model.
	lateShares map[meterKey]float64
}

// NewMeter returns a meter that has counted no requests.
func NewMeter(now time.Time) *Meter {
	return &Meter{
		rates:        make(map[meterKey]float64),
		durations:    make(map[meterKey]float64),
		lateShares:   make(map[meterKey]float64),
		meanDuration: initialDuration,
		decayedAt:    now,
	}
}

// RecordRequest counts one request.
func (m *Meter) RecordRequest(service, model, adapter string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.increment(meterKey{
		service: service,
		model:   model,
	})
	if adapter != "" {
		m.increment(meterKey{
			service: service,
			model:   model,
			adapter: adapter,
		})
	}
}

// RecordDuration records how long an answered request took and whether its response was late.
func (m *Meter) RecordDuration(service, model string, took time.Duration, late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := meterKey{
		service: service,
		model:   model,
	}
	seconds := took.Seconds()
	m.meanDuration += averageWeight * (seconds - m.meanDuration)
	previous, known := m.durations[k]
	if !known {
		previous = m.meanDuration
	}
	m.durations[k] = previous + averageWeight*(seconds-previous)
	m.lateShares[k] *= 1 - averageWeight
	if late {
		m.lateShares[k] += averageWeight
	}
}

// duration returns the mean duration of requests to a model; the caller holds the lock.
func (m *Meter) duration(k meterKey) float64 {
	k.adapter = ""
	if seconds, known := m.durations[k]; known {
		return seconds
	}
	return m.meanDuration
}

// increment adds one request to a rate; the caller holds the lock.
func (m *Meter) increment(k meterKey) { m.rates[k] += 1 / k.timeConstant().Seconds() }

// timeConstant returns the time constant of a rate.
func (k meterKey) timeConstant() time.Duration {
	if k.adapter != "" {
		return adapterTimeConstant
	}
	return modelTimeConstant
}

// decay ages all rates to the given time; the caller holds the lock.
func (m *Meter) decay(now time.Time) {
	elapsed := now.Sub(m.decayedAt)
	if elapsed <= 0 {
		return
	}
	m.decayedAt = now
	for k, r := range m.rates {
		factor := math.Exp(-elapsed.Seconds() / k.timeConstant().Seconds())
		if r*factor < minRate {
			delete(m.rates, k)
			continue
		}
		m.rates[k] = r * factor
	}
}

// Rates returns the current rates.
func (m *Meter) Rates(now time.Time) []Rate {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	out := make([]Rate, 0, len(m.rates))
	for k, r := range m.rates {
		out = append(out, Rate{
			Service:  k.service,
			Model:    k.model,
			Adapter:  k.adapter,
			Requests: r,
			Work:     r * m.duration(k) * (1 + lateFactor*m.lateShares[meterKey{service: k.service, model: k.model}]),
		})
	}
	return out
}
