package configuration

// Model is a language model that runners can load.
type Model struct {
	Name string
	// Service names the model service whose runners may load the model.
	Service string
	// MemoryBytes is what one replica takes of an accelerator, KV cache included.
	MemoryBytes int64
	// Class orders calls under load: "People" before "Batch".
	Class Class
}
