package burn

import (
	"sync"
	"time"
)

// Windows are the lengths of time over which a recorder can report.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Recorder counts the calls of one VM.
type Recorder struct {
	mu      sync.Mutex
	series  map[Key]*series
	models  names
	callers names
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		series:  make(map[Key]*series),
		models:  make(names),
		callers: make(names),
	}
}

// Record counts a call.
func (r *Recorder) Record(s Sample) {
	key := Key{
		Service: s.Service,
		Class:   s.Class,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counted, ok := r.series[key]
	if !ok {
		counted = &series{}
		r.series[key] = counted
	}
	counted.add(s.At, s.Good)
	if s.Model != "" {
		r.models.add(s.Model, s.Good)
	}
	r.callers.add(s.Caller, s.Good)
}

// Summary returns the counts up to now.
func (r *Recorder) Summary(now time.Time) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	var summary Summary
	for key, counted := range r.series {
		counts := make([]Count, 0, len(Windows))
		for _, window := range Windows {
			counts = append(counts, counted.sum(now, window))
		}
		summary.Objectives = append(summary.Objectives, ObjectiveCount{
			Service: key.Service,
			Class:   key.Class,
			Counts:  counts,
		})
	}
	summary.Models = r.models.named()
	summary.Callers = r.callers.named()
	return summary
}

func (n names) named() []Named {
	out := make([]Named, 0, len(n))
	for name, count := range n {
		out = append(out, Named{
			Name:  name,
			Count: count,
		})
	}
	return Worst(out, worstPerVM)
}
