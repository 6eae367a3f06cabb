package endpoint

import "time"

// Report is an engine's report of its own status, which may lag behind its actual state.
type Report struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	// Sequence increases with every order that the engine carries out and with every report.
	Sequence uint64
	// Fence is the highest fencing number that the engine has accepted; 0 if it ignores fencing numbers.
	Fence        uint64
	Leaving      bool
	Accelerators []Accelerator
	// Slots is the maximum number of answers that the engine generates concurrently.
	Slots   int
	Running int
	Waiting int
	// WaitingPrefill is the number of prompt tokens of the waiting calls.
	WaitingPrefill int
	// PrefillPerSecond is the number of prompt tokens that the engine processes per second.
	PrefillPerSecond float64
	// TokenInterval is the time between two tokens of an answer.
	TokenInterval time.Duration
}

// Accelerator is the status of one accelerator in a report.
type Accelerator struct {
	CapacityBytes int64
	Loaded        []LoadedModel
}

// LoadedModel is a model on an accelerator. It serves calls only if Ready is true.
type LoadedModel struct {
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
