package burn

import (
	"sync"
	"time"
)

// Windows are the time windows over which burn rates are computed.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Recorder counts the calls of one VM by objective, model and caller.
type Recorder struct {
	mu       sync.Mutex
	counters map[ObjectiveKey]*windowCounter
	models   countsByName
	callers  countsByName
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		counters: make(map[ObjectiveKey]*windowCounter),
		models:   make(countsByName),
		callers:  make(countsByName),
	}
}

// Record counts one call.
func (r *Recorder) Record(s Sample) {
	key := ObjectiveKey{
		Service: s.Service,
		Class:   s.Class,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counter, ok := r.counters[key]
	if !ok {
		counter = &windowCounter{}
		r.counters[key] = counter
	}
	counter.add(s.At, s.Good)
	if s.Model != "" {
		r.models.add(s.Model, s.Good)
	}
	r.callers.add(s.Caller, s.Good)
}

// Summary returns the counts of each window that ends now.
func (r *Recorder) Summary(now time.Time) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	var summary Summary
	for key, counter := range r.counters {
		counts := make([]Count, 0, len(Windows))
		for _, window := range Windows {
			counts = append(counts, counter.sum(now, window))
		}
		summary.Objectives = append(summary.Objectives, ObjectiveCount{
			Service: key.Service,
			Class:   key.Class,
			Counts:  counts,
		})
	}
	summary.Models = r.models.worst()
	summary.Callers = r.callers.worst()
	return summary
}

func (n countsByName) worst() []NamedCount {
	counts := make([]NamedCount, 0, len(n))
	for name, count := range n {
		counts = append(counts, NamedCount{
			Name:  name,
			Count: count,
		})
	}
	return Worst(counts, worstPerVM)
}
