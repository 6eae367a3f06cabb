package configuration

// Class is the kind of caller that a model's answers are for.
type Class string

// The classes; People go before Batch under load.
const (
	People Class = "People"
	Batch  Class = "Batch"
)
