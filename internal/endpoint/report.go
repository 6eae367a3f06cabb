package endpoint

import "time"

// Report is an engine's lagging account of itself.
type Report struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	// Sequence ascends with every order the engine carries out and every report.
	Sequence uint64
	// Fence is the highest fencing number the engine has accepted; 0 if it ignores them.
	Fence        uint64
	Leaving      bool
	Accelerators []Accelerator
	// Slots is how many answers the engine generates at once.
	Slots   int
	Running int
	Waiting int
	// WaitingPrefill is the prompt tokens of the waiting calls.
	WaitingPrefill int
	// PrefillPerSecond is the prompt tokens the engine takes in a second.
	PrefillPerSecond float64
	// TokenInterval is the time between two tokens of one answer.
	TokenInterval time.Duration
}

// Accelerator is one accelerator of a report.
type Accelerator struct {
	CapacityBytes int64
	Loaded        []Loaded
}

// Loaded is a model on an accelerator; it serves once Ready.
type Loaded struct {
	Model string
	Bytes int64
	Ready bool
}

// Serves reports whether the model is loaded and ready on some accelerator.
func (r Report) Serves(model string) bool {
	for _, accelerator := range r.Accelerators {
		for _, loaded := range accelerator.Loaded {
			if loaded.Model == model && loaded.Ready {
				return true
			}
		}
	}
	return false
}
