package modelcall

import "sync"

// Demand counts the calls that arrived, by model, for the planner.
type Demand struct {
	mu     sync.Mutex
	counts map[string]uint64
}

// NewDemand returns a Demand without counts.
func NewDemand() *Demand {
	return &Demand{
		counts: make(map[string]uint64),
	}
}

// Arrived counts one call.
func (d *Demand) Arrived(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[model]++
}

// Add adds calls that were counted elsewhere.
func (d *Demand) Add(counts map[string]uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, n := range counts {
		d.counts[model] += n
	}
}

// Drain returns the counts since the last Drain and resets them.
func (d *Demand) Drain() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts
	d.counts = make(map[string]uint64, len(counts))
	return counts
}
