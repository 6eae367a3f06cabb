package placement

import (
	"sync"
	"time"
)

const (
	fastDecay = 0.3
	slowDecay = 0.02
	// firstAnswerTime is assumed for a model that has not answered yet.
	firstAnswerTime = time.Second
)

// Meter turns counts of calls into rates; a rise shows within seconds and a fall over a minute.
type Meter struct {
	mu    sync.Mutex
	rates map[string]*rate
}

type rate struct {
	fast   float64
	slow   float64
	answer time.Duration
}

// NewMeter returns a meter at rest.
func NewMeter() *Meter {
	return &Meter{
		rates: make(map[string]*rate),
	}
}

// Observe takes in the calls counted since the last time, elapsed ago, on one in scale VMs.
func (m *Meter) Observe(counts map[string]uint64, elapsed time.Duration, scale float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for model := range counts {
		m.rate(model)
	}
	for model, r := range m.rates {
		perSecond := scale * float64(counts[model]) / elapsed.Seconds()
		r.fast += fastDecay * (perSecond - r.fast)
		r.slow += slowDecay * (perSecond - r.slow)
	}
}

// Answered takes in how long an answer took.
func (m *Meter) Answered(model string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rate(model)
	r.answer += time.Duration(fastDecay * float64(took-r.answer))
}

// Demand returns the calls a second for a model and how long one takes a slot.
func (m *Meter) Demand(model string) (callsPerSecond float64, answerTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rates[model]
	if !ok {
		return 0, firstAnswerTime
	}
	return max(r.fast, r.slow), r.answer
}

func (m *Meter) rate(model string) *rate {
	r, ok := m.rates[model]
	if !ok {
		r = &rate{
			answer: firstAnswerTime,
		}
		m.rates[model] = r
	}
	return r
}
