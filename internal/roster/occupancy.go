package roster

// Occupancy is the number of requests in flight at each runner, by runner ID.
type Occupancy map[string]int

// Add adds the requests that another VM has at the runners.
func (o Occupancy) Add(other Occupancy) {
	for id, n := range other {
		o[id] += n
	}
}

// ModelUse names a model, or one of its adapters, that requests use at a runner.
type ModelUse struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Model   string
	Adapter string
}
