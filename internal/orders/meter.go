package orders

import (
	"math"
	"sync"
	"time"
)

const (
	// workMemory is the time constant of the rates of models, which must show a shift of demand at once.
	workMemory = time.Second
	// adapterMemory is that of the rates of adapters, each of which is asked for about once a second.
	adapterMemory = 6 * time.Second
	// forgotten is the rate below which an entry is dropped.
	forgotten = 0.01
)

// Rate is what is asked of a model each second or, if it names one, of an adapter, which its model's rate includes.
type Rate struct {
	Service  string
	Model    string
	Adapter  string
	Requests float64
	Tokens   float64
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

// Meter keeps moving rates of what one VM is asked for; it is safe for concurrent use.
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

// Add counts one request.
func (m *Meter) Add(service, model, adapter string, tokens int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.count(meterKey{
		service: service,
		model:   model,
	}, tokens)
	if adapter != "" {
		m.count(meterKey{
			service: service,
			model:   model,
			adapter: adapter,
		}, tokens)
	}
}

// count adds to one rate; the caller holds the lock.
func (m *Meter) count(k meterKey, tokens int) {
	perSecond := 1 / k.memory().Seconds()
	r := m.rates[k]
	r.tokens += float64(tokens) * perSecond
	r.requests += perSecond
	m.rates[k] = r
}

// memory returns the time constant of a rate.
func (k meterKey) memory() time.Duration {
	if k.adapter != "" {
		return adapterMemory
	}
	return workMemory
}

// decay lets past demand count less; the caller holds the lock.
func (m *Meter) decay(now time.Time) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	m.at = now
	for k, r := range m.rates {
		left := math.Exp(-passed.Seconds() / k.memory().Seconds())
		r.tokens *= left
		r.requests *= left
		if r.requests < forgotten {
			delete(m.rates, k)
			continue
		}
		m.rates[k] = r
	}
}

// Rates returns what is asked now.
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
			Requests: r.requests,
			Tokens:   r.tokens,
		})
	}
	return out
}
