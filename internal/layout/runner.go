package layout

import "slices"

// Runner is what the planner knows of one runner.
type Runner struct {
	ID            string
	FailureDomain string
	// Release is the version of the runner's software; a stream goes on only at runners of the release that began it.
	Release string
	// Models maps the models that the runner has to their adapters.
	Models map[string][]string
	// Loading is the model that a step in progress loads, Unloading those that it unloads.
	Loading   string
	Unloading []string
	// RecentlyLoaded is the set of adapters loaded so recently that the callers who requested them may not have used them yet.
	RecentlyLoaded map[Adapter]bool
	// InUse is the set of adapters that requests use now, and of models, which have an empty adapter name.
	InUse map[Adapter]bool
	// Busy is set if the runner can take no further step now.
	Busy bool
	// Draining is set if the runner is about to stop; the planner ignores it.
	Draining bool
	// InMemory and OnDisk name the models that load without the weight store.
	InMemory []string
	OnDisk   []string
}

// hasOrLoads reports whether the runner has the model and keeps it, or is loading it.
func (r *Runner) hasOrLoads(model string) bool { return r.serves(model) || r.Loading == model }

// serves reports whether the runner has the model and is not unloading it.
func (r *Runner) serves(model string) bool {
	_, ok := r.Models[model]
	return ok && !slices.Contains(r.Unloading, model)
}

// isInUse reports whether requests run on a model.
func (r *Runner) isInUse(model string) bool { return r.InUse[Adapter{Model: model}] }

// hasLocalCopy reports whether the runner has a copy of the model's weights in memory or on disk.
func (r *Runner) hasLocalCopy(model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

// adapterCount returns how many adapter slots are occupied.
func (r *Runner) adapterCount() int {
	n := 0
	for _, adapters := range r.Models {
		n += len(adapters)
	}
	return n
}
