package layout

// Demand is what callers currently request.
type Demand struct {
	// Work is the runner time in seconds needed per second for each model.
	Work map[string]float64
	// Requests is the number of requests per second for each model.
	Requests map[string]float64
	// Adapters is the number of requests per second for each adapter of a model.
	Adapters map[string]map[string]float64
	// Missing is the set of adapters that were requested just now and that no runner has.
	Missing map[Adapter]bool
}

// adapterShare returns the share of a model's requests that name an adapter, and how many adapters they name.
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

// totalWork returns the work needed for all models.
func (d Demand) totalWork() float64 {
	sum := 0.0
	for _, work := range d.Work {
		sum += work
	}
	return sum
}

// totalRequests returns the requests per second for all models.
func (d Demand) totalRequests() float64 {
	sum := 0.0
	for _, rate := range d.Requests {
		sum += rate
	}
	return sum
}
