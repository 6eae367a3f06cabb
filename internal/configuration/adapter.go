package configuration

// Adapter is a small set of weights served on top of a model.
type Adapter struct {
	Name        string
	Model       string
	MemoryBytes int64
}
