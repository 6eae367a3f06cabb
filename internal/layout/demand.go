package layout

// Demand is what callers ask for now.
type Demand struct {
	// Work is the tokens a second asked of each model.
	Work map[string]float64
	// Adapters is the requests a second for each adapter of a model.
	Adapters map[string]map[string]float64
}

// total returns the work asked of all models.
func (d Demand) total() float64 {
	sum := 0.0
	for _, work := range d.Work {
		sum += work
	}
	return sum
}
