package configuration

// Preset is one of the operators' named ways to run the system.
type Preset struct {
	Name string
	// Replicas is the least number of replicas of a model that Floors doesn't name.
	Replicas int
	Floors   []Floor `json:",omitempty"`
	// MovePrice is the attained answers that a move must gain to be worth it.
	MovePrice float64
}

// Floor is the least number of replicas of one model.
type Floor struct {
	Model    string
	Replicas int
}

// Floor returns the least number of replicas of a model.
func (p Preset) Floor(model string) int {
	for _, floor := range p.Floors {
		if floor.Model == model {
			return floor.Replicas
		}
	}
	return p.Replicas
}
