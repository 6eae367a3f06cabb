package catalog

import "time"

// Service is a group of runners that answer alike.
type Service struct {
	Name string
	// MaxConnections is how many connections one runner takes from all VMs together.
	MaxConnections int
	// Engine is nil for services without models.
	Engine *Engine
}

// Engine says what the runners of a model service hold.
type Engine struct {
	Slots          int
	WeightsMB      float64
	AdapterPlaces  int
	KVTokens       int
	LoadsPerSecond float64
	HostMB         float64
	DiskMB         float64
	Models         []Model
}

// Model is a language model that the runners of a service may load.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime is the time of a load from the weight store, HostLoadTime and DiskLoadTime from a runner's own copies.
	LoadTime     time.Duration
	HostLoadTime time.Duration
	DiskLoadTime time.Duration
	// Adapters is how many adapters the model has, named a1, a2 and so on.
	Adapters  int
	AdapterMB float64
}

// Model returns the model of a name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
