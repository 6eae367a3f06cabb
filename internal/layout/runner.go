package layout

import "slices"

// Runner is what the planner knows of one runner.
type Runner struct {
	ID            string
	FailureDomain string
	// Models is the adapters of each model that the runner has.
	Models map[string][]string
	// Loading is the model that a step under way brings, Unloading those that it takes away.
	Loading   string
	Unloading []string
	// Fresh is the adapters that came so lately that who asked for them may not have used them yet.
	Fresh map[Adapter]bool
	// InUse is the adapters, or models without a name of an adapter, that requests run on now.
	InUse map[Adapter]bool
	// Busy runners take no further step now.
	Busy bool
	// Leaving runners count for nothing.
	Leaving bool
	// InMemory and OnDisk name models that load without the weight store.
	InMemory []string
	OnDisk   []string
}

func (r *Runner) has(model string) bool { return r.serves(model) || r.Loading == model }

// serves reports whether the runner has the model and keeps it.
func (r *Runner) serves(model string) bool {
	_, ok := r.Models[model]
	return ok && !slices.Contains(r.Unloading, model)
}

// uses reports whether requests run on a model.
func (r *Runner) uses(model string) bool { return r.InUse[Adapter{Model: model}] }

// atHand reports whether the runner has a copy of the model's weights.
func (r *Runner) atHand(model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

// adapters returns how many adapter places are taken.
func (r *Runner) adapters() int {
	n := 0
	for _, list := range r.Models {
		n += len(list)
	}
	return n
}
