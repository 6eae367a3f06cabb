package configuration

// Model is a language model that runners can load.
type Model struct {
	Name string
	// Service names the model service whose runners may load the model.
	Service string
	// MemoryBytes is the accelerator memory that one replica needs, including its KV cache.
	MemoryBytes int64
	// Class sets the priority of the model's calls under load: "People" before "Batch".
	Class Class
}
