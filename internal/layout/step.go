package layout

// Step is what one runner should do next: first unload models, then load one, then change adapters.
type Step struct {
	Runner string
	Unload []string
	Load   string
	// FromStore is set if the load needs the weight store.
	FromStore bool
	Adapters  []Adapter
	// Work is the demand for the loaded model, Replicas how many it had before, Gain and Cost the values that were compared.
	Work     float64
	Replicas int
	Gain     float64
	Cost     float64
}

// Adapter is an adapter to load or, if Unload is set, to unload first to make room.
type Adapter struct {
	Model  string
	Name   string
	Unload bool
}
