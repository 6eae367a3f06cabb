package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// recentLoadWindow protects a newly loaded adapter from being unloaded, for the callers that requested it; a refused caller
// retries within about half a second.
const recentLoadWindow = time.Second

// runnerState is what the lease holder knows of one runner.
type runnerState struct {
	registration *roster.Runner
	// orderCount is how many orders the runner has accepted; synced is set once it is known from a report.
	orderCount uint64
	synced     bool
	// models maps the models that the runner has to their adapters.
	models map[string][]string
	// busy is set while a step is in progress.
	busy bool
	// step is the step in progress, empty if there is none.
	step layout.Step
	// adapterLoadedAt is when each recently loaded adapter was loaded.
	adapterLoadedAt map[layout.Adapter]time.Time
	// backoffUntil is the time until which the runner gets no new step, after one that neither changed nor read its models.
	backoffUntil time.Time
}

// recentAdapters returns the adapters loaded within recentLoadWindow and forgets the others.
func (s *runnerState) recentAdapters(now time.Time) map[layout.Adapter]bool {
	recent := make(map[layout.Adapter]bool)
	for a, at := range s.adapterLoadedAt {
		if now.Sub(at) > recentLoadWindow {
			delete(s.adapterLoadedAt, a)
			continue
		}
		recent[a] = true
	}
	return recent
}

// updateRegistration stores the runner's newest registration. Once the order count is known, the models recorded here take
// precedence over those in the registration: registrations lag, and don't change while the store can't be read.
func (s *runnerState) updateRegistration(r *roster.Runner) {
	if s.registration == nil || s.registration.Incarnation != r.Incarnation {
		// A step at the earlier incarnation goes on until it notices, and no other may begin before.
		*s = runnerState{busy: s.busy}
	}
	s.registration = r
	if s.busy || s.synced {
		return
	}
	s.models = adaptersByModel(r.Models)
}

// recordLoaded records that adapters were loaded.
func (s *runnerState) recordLoaded(adapters []layout.Adapter, now time.Time) {
	if s.adapterLoadedAt == nil {
		s.adapterLoadedAt = make(map[layout.Adapter]time.Time)
	}
	for _, a := range adapters {
		s.adapterLoadedAt[a] = now
	}
}

func adaptersByModel(holdings []roster.LoadedModel) map[string][]string {
	models := make(map[string][]string, len(holdings))
	for _, h := range holdings {
		models[h.Model] = slices.Clone(h.Adapters)
	}
	return models
}

// modelsAfterStep returns the runner's models with the adapter changes of the step in progress applied. The adapters of
// models that the step unloads no longer count.
func (s *runnerState) modelsAfterStep() map[string][]string {
	if len(s.step.Adapters)+len(s.step.Unload) == 0 {
		return s.models
	}
	models := maps.Clone(s.models)
	for _, model := range s.step.Unload {
		if _, held := models[model]; held {
			models[model] = nil
		}
	}
	for _, a := range s.step.Adapters {
		adapters, held := models[a.Model]
		if !held {
			continue
		}
		adapters = slices.DeleteFunc(slices.Clone(adapters), func(name string) bool { return name == a.Name })
		if !a.Unload {
			adapters = append(adapters, a.Name)
		}
		models[a.Model] = adapters
	}
	return models
}

// layoutRunner returns the runner as the planner sees it; inUse lists what requests run on there.
func (s *runnerState) layoutRunner(now time.Time, inUse map[layout.Adapter]bool) *layout.Runner {
	return &layout.Runner{
		RecentlyLoaded: s.recentAdapters(now),
		InUse:          inUse,
		ID:             s.registration.ID,
		FailureDomain:  s.registration.FailureDomain,
		Release:        s.registration.Release,
		Models:         s.modelsAfterStep(),
		Loading:        s.step.Load,
		Unloading:      s.step.Unload,
		Busy:           s.busy,
		Draining:       s.registration.Draining,
		InMemory:       s.registration.InMemory,
		OnDisk:         s.registration.OnDisk,
	}
}

// usesByRunner groups the models and adapters in use by runner.
func usesByRunner(uses map[roster.ModelUse]bool) map[string]map[layout.Adapter]bool {
	byRunner := make(map[string]map[layout.Adapter]bool)
	for use := range uses {
		if byRunner[use.Runner] == nil {
			byRunner[use.Runner] = make(map[layout.Adapter]bool)
		}
		byRunner[use.Runner][layout.Adapter{Model: use.Model, Name: use.Adapter}] = true
	}
	return byRunner
}
