package ledger

import "github.com/cowsliparch/cowsliparch/internal/endpoint"

// Status is the state of a model on an accelerator, as far as it is known.
type Status struct {
	Bytes int64
	// Present reports whether the last report shows the model.
	Present bool
	// Ready reports whether the last report shows the model as ready to serve.
	Ready bool
	// Loading and Unloading report whether an order may still load or unload the model.
	Loading   bool
	Unloading bool
}

// Stable reports whether the model is ready to serve and no open order can unload it.
func (s Status) Stable() bool { return s.Ready && !s.Unloading }

// AcceleratorMemory is the memory of one accelerator.
type AcceleratorMemory struct {
	CapacityBytes int64
	// ReservedBytes is the memory of all models that are, or may yet be, on the accelerator.
	ReservedBytes int64
	Models        map[string]Status
}

// FreeBytes returns the memory that a new load may take.
func (m AcceleratorMemory) FreeBytes() int64 { return m.CapacityBytes - m.ReservedBytes }

// Accelerators returns the memory of each accelerator of an endpoint, based on its last report; ended reports whether an
// incarnation of the engine is known to have ended.
func (l Ledger) Accelerators(name string, report endpoint.Report, ended func(incarnation string) bool) []AcceleratorMemory {
	accelerators := make([]AcceleratorMemory, len(report.Accelerators))
	for i, accelerator := range report.Accelerators {
		accelerators[i] = AcceleratorMemory{
			CapacityBytes: accelerator.CapacityBytes,
			Models:        make(map[string]Status),
		}
		for _, loaded := range accelerator.Loaded {
			accelerators[i].Models[loaded.Model] = Status{
				Bytes:   loaded.Bytes,
				Present: true,
				Ready:   loaded.Ready,
			}
		}
	}
	for _, o := range l.Open(name) {
		applyOpen(accelerators, o.Intent)
	}
	for _, settled := range l.forEndpoint(name).Settled {
		if settled.mayBeUnreported(report, ended) {
			applySettled(accelerators, settled.Intent)
		}
	}
	for i := range accelerators {
		for _, status := range accelerators[i].Models {
			accelerators[i].ReservedBytes += status.Bytes
		}
	}
	return accelerators
}

// applyOpen marks the effect that an open order may still have.
func applyOpen(accelerators []AcceleratorMemory, intent Intent) {
	if intent.Accelerator < 0 || intent.Accelerator >= len(accelerators) {
		return
	}
	models := accelerators[intent.Accelerator].Models
	status := models[intent.Model]
	switch intent.Action {
	case endpoint.Load:
		status.Loading = true
		status.Bytes = max(status.Bytes, intent.Bytes)
	case endpoint.Unload:
		status.Unloading = true
	}
	models[intent.Model] = status
}

// applySettled adds a model loaded by a settled order that the report is too old to show.
func applySettled(accelerators []AcceleratorMemory, intent Intent) {
	if intent.Accelerator < 0 || intent.Accelerator >= len(accelerators) {
		return
	}
	models := accelerators[intent.Accelerator].Models
	status := models[intent.Model]
	if status.Present {
		return
	}
	status.Loading = true
	status.Bytes = max(status.Bytes, intent.Bytes)
	models[intent.Model] = status
}
