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
	// Work is the runner time asked for each second, from how long requests to the model last; late answers add to it.
	Work float64
}

type meterKey struct {
	service string
	model   string
	adapter string
}

// typicalTime is how long a request lasts at a runner before any was seen.
const typicalTime = 1.0

const (
	// timeWeight is the weight of the newest request in the mean time of a model's requests, and in its share of late ones.
	timeWeight = 0.05
	// lateCost is by how many times a model's work counts more when all of its answers are late: its runners are too
	// busy, whatever the times say.
	lateCost = 4
)

// Meter keeps moving rates of what one VM is asked for; it is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	rates map[meterKey]float64
	at    time.Time
	// times is how long requests to each model last, in seconds, all the same over all models.
	times map[meterKey]float64
	all   float64
	// late is the share of answers of each model that were late.
	late map[meterKey]float64
}

// NewMeter returns a meter without demand.
func NewMeter(now time.Time) *Meter {
	return &Meter{
		rates: make(map[meterKey]float64),
		times: make(map[meterKey]float64),
		late:  make(map[meterKey]float64),
		all:   typicalTime,
		at:    now,
	}
}

// Add counts one request.
func (m *Meter) Add(service, model, adapter string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.count(meterKey{
		service: service,
		model:   model,
	})
	if adapter != "" {
		m.count(meterKey{
			service: service,
			model:   model,
			adapter: adapter,
		})
	}
}

// Took counts how long an answered request lasted, and whether its answer was late.
func (m *Meter) Took(service, model string, took time.Duration, late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := meterKey{
		service: service,
		model:   model,
	}
	seconds := took.Seconds()
	m.all += timeWeight * (seconds - m.all)
	before, known := m.times[k]
	if !known {
		before = m.all
	}
	m.times[k] = before + timeWeight*(seconds-before)
	m.late[k] *= 1 - timeWeight
	if late {
		m.late[k] += timeWeight
	}
}

// time returns how long requests to a model last; the caller holds the lock.
func (m *Meter) time(k meterKey) float64 {
	k.adapter = ""
	if seconds, known := m.times[k]; known {
		return seconds
	}
	return m.all
}

// count adds to one rate; the caller holds the lock.
func (m *Meter) count(k meterKey) { m.rates[k] += 1 / k.memory().Seconds() }

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
		if r*left < forgotten {
			delete(m.rates, k)
			continue
		}
		m.rates[k] = r * left
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
			Requests: r,
			Work:     r * m.time(k) * (1 + lateCost*m.late[meterKey{service: k.service, model: k.model}]),
		})
	}
	return out
}
