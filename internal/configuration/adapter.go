package configuration

// Adapter is a small set of weights that is served on top of a model.
type Adapter struct {
	Name        string
	Model       string
	MemoryBytes int64
}
