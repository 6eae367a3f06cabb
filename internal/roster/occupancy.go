package roster

// Occupancy is how many requests are at each runner, by its ID.
type Occupancy map[string]int

// Add counts in what another VM has at the runners.
func (o Occupancy) Add(other Occupancy) {
	for id, n := range other {
		o[id] += n
	}
}

// Use is a model, or an adapter of it, that a request runs on at a runner.
type Use struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Model   string
	Adapter string
}
