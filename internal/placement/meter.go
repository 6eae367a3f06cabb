package placement

import (
	"sync"
	"time"
)

const (
	// fastSmoothing and slowSmoothing are the weights of a new sample in the moving averages.
	fastSmoothing = 0.3
	slowSmoothing = 0.02
	// defaultAnswerTime is assumed for a model with no finished calls.
	defaultAnswerTime = time.Second
)

// Meter estimates the call rate and answer time of each model. The rate is the larger of a fast and a slow exponential
// moving average, so that it follows a rise within seconds and a fall over a minute.
type Meter struct {
	mu    sync.Mutex
	stats map[string]*modelStats
}

type modelStats struct {
	fastRate   float64
	slowRate   float64
	answerTime time.Duration
}

// NewMeter returns a meter without samples.
func NewMeter() *Meter {
	return &Meter{
		stats: make(map[string]*modelStats),
	}
}

// Observe adds the calls counted during elapsed; scale extrapolates the counts to the VMs that are not included.
func (m *Meter) Observe(counts map[string]uint64, elapsed time.Duration, scale float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for model := range counts {
		m.statsOf(model)
	}
	for model, s := range m.stats {
		perSecond := scale * float64(counts[model]) / elapsed.Seconds()
		s.fastRate += fastSmoothing * (perSecond - s.fastRate)
		s.slowRate += slowSmoothing * (perSecond - s.slowRate)
	}
}

// ObserveAnswer adds the duration of one answered call.
func (m *Meter) ObserveAnswer(model string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.statsOf(model)
	s.answerTime += time.Duration(fastSmoothing * float64(took-s.answerTime))
}

// Demand returns the call rate of a model and how long one call occupies a slot.
func (m *Meter) Demand(model string) (callsPerSecond float64, answerTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.stats[model]
	if !ok {
		return 0, defaultAnswerTime
	}
	return max(s.fastRate, s.slowRate), s.answerTime
}

func (m *Meter) statsOf(model string) *modelStats {
	s, ok := m.stats[model]
	if !ok {
		s = &modelStats{
			answerTime: defaultAnswerTime,
		}
		m.stats[model] = s
	}
	return s
}
