package configuration

// Class is the priority class of a model, after the kind of caller that its responses are for.
type Class string

// The classes. Under load, calls for People take priority over calls for Batch.
const (
	People Class = "People"
	Batch  Class = "Batch"
)
