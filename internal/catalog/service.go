package catalog

import "time"

// Service is a group of interchangeable runners.
type Service struct {
	// MinObjective is the shortest objective of the routes to the service, 0 if none has one; New sets it.
	MinObjective time.Duration
	// FirstPriority is the rank, as by Catalog.Rank, of the most urgent requests to the service, which have the least number, or -1 if
	// all are equally urgent; New and WithAccounts set it.
	FirstPriority int
	Name          string
	// MaxConnections is the number of connections that one runner accepts from all VMs together.
	MaxConnections int
	// Engine is nil for services without models.
	Engine *Engine
}

// Engine describes the capacity of each runner of a model service, and its models.
type Engine struct {
	Slots int
	// WeightsMB is the memory for the weights of models and adapters together.
	WeightsMB float64
	// AdapterSlots is the number of adapters that a runner can hold at a time.
	AdapterSlots int
	// KVCacheTokens is the capacity of the KV cache in tokens.
	KVCacheTokens int
	// LoadsPerSecond is the rate at which the weight store allows loads.
	LoadsPerSecond float64
	HostMB         float64
	DiskMB         float64
	Models         []Model
}

// Model is a language model that the runners of a service may load.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime is the time to load the model from the weight store; HostLoadTime and DiskLoadTime are those from a runner's
	// copies in host memory and on disk.
	LoadTime     time.Duration
	HostLoadTime time.Duration
	DiskLoadTime time.Duration
	// Adapters is the number of the model's adapters, which are named a1, a2 and so on.
	Adapters  int
	AdapterMB float64
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}
