package configuration

// Preset is a named set of placement parameters that operators can switch to.
type Preset struct {
	Name string
	// Replicas is the minimum number of replicas of each model that has no entry in Floors.
	Replicas int
	Floors   []Floor `json:",omitempty"`
	// MovePrice is the cost of a move: the number of additional calls that must meet their objectives to justify it.
	MovePrice float64
}

// Floor is the minimum number of replicas of one model.
type Floor struct {
	Model    string
	Replicas int
}

// Floor returns the minimum number of replicas of a model.
func (p Preset) Floor(model string) int {
	for _, floor := range p.Floors {
		if floor.Model == model {
			return floor.Replicas
		}
	}
	return p.Replicas
}
