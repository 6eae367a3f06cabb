package layout

// Demand is what callers ask for now.
type Demand struct {
	// Work is the runner time asked of each model each second.
	Work map[string]float64
	// Requests is the requests a second for each model.
	Requests map[string]float64
	// Adapters is the requests a second for each adapter of a model.
	Adapters map[string]map[string]float64
	// Missing is the adapters that were asked for just now and that no runner has.
	Missing map[Adapter]bool
}

// adapterShare returns the part of a model's requests that ask for adapters, and how many adapters they ask for.
func (d Demand) adapterShare(model string) (float64, int) {
	sum := 0.0
	for _, rate := range d.Adapters[model] {
		sum += rate
	}
	if sum == 0 || d.Requests[model] == 0 {
		return 0, 0
	}
	return min(sum/d.Requests[model], 1), len(d.Adapters[model])
}

// total returns the work asked of all models.
func (d Demand) total() float64 {
	sum := 0.0
	for _, work := range d.Work {
		sum += work
	}
	return sum
}

// requests returns the requests a second for all models.
func (d Demand) requests() float64 {
	sum := 0.0
	for _, rate := range d.Requests {
		sum += rate
	}
	return sum
}
