package layout

// Step is what one runner should do next: first unload, then load, then the adapters.
type Step struct {
	Runner string
	Unload []string
	Load   string
	// FromStore tells that the load needs the weight store.
	FromStore bool
	Adapters  []Adapter
	// Work is the demand for the model loaded, Replicas how many it had, Gain and Cost what was weighed.
	Work     float64
	Replicas int
	Gain     float64
	Cost     float64
}

// Adapter is an adapter to load, or to drop first to make room.
type Adapter struct {
	Model string
	Name  string
	Drop  bool
}
