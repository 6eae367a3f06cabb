package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// freshTime is for how long an adapter stays for who asked for it; a refused caller comes back within about half a second.
const freshTime = time.Second

// book is what the holder knows of one runner.
type book struct {
	runner *roster.Runner
	// orders is how many orders the runner has accepted; unknown until a report was read.
	orders uint64
	known  bool
	models map[string][]string
	busy   bool
	// step is the one under way, empty if there is none.
	step layout.Step
	// brought is when each adapter came.
	brought map[layout.Adapter]time.Time
	// rest is until when the runner takes no step after one that brought nothing.
	rest time.Time
}

// fresh returns the adapters that came lately, and forgets the others.
func (b *book) fresh(now time.Time) map[layout.Adapter]bool {
	fresh := make(map[layout.Adapter]bool)
	for a, at := range b.brought {
		if now.Sub(at) > freshTime {
			delete(b.brought, a)
			continue
		}
		fresh[a] = true
	}
	return fresh
}

// follow takes in the runner's registration. Once the count of orders is known, the own account of what the runner holds goes
// before it: registrations lag, and stand still while the store can't be read.
func (b *book) follow(r *roster.Runner) {
	if b.runner == nil || b.runner.Born != r.Born {
		*b = book{busy: b.busy && b.runner != nil && b.runner.Born == r.Born}
	}
	b.runner = r
	if b.busy || b.known {
		return
	}
	b.models = byModel(r.Models)
}

// bring notes that adapters came.
func (b *book) bring(adapters []layout.Adapter, now time.Time) {
	if b.brought == nil {
		b.brought = make(map[layout.Adapter]time.Time)
	}
	for _, a := range adapters {
		b.brought[a] = now
	}
}

func byModel(holdings []roster.Holding) map[string][]string {
	models := make(map[string][]string, len(holdings))
	for _, h := range holdings {
		models[h.Model] = slices.Clone(h.Adapters)
	}
	return models
}

// expected returns what the runner has once the adapters of the step under way have come and gone; what a model that it
// unloads has counts no more.
func (b *book) expected() map[string][]string {
	if len(b.step.Adapters)+len(b.step.Unload) == 0 {
		return b.models
	}
	models := maps.Clone(b.models)
	for _, model := range b.step.Unload {
		if _, held := models[model]; held {
			models[model] = nil
		}
	}
	for _, a := range b.step.Adapters {
		adapters, held := models[a.Model]
		if !held {
			continue
		}
		adapters = slices.DeleteFunc(slices.Clone(adapters), func(name string) bool { return name == a.Name })
		if !a.Drop {
			adapters = append(adapters, a.Name)
		}
		models[a.Model] = adapters
	}
	return models
}

// view returns the runner as the planner sees it, with what requests run on there.
func (b *book) view(now time.Time, inUse map[layout.Adapter]bool) *layout.Runner {
	return &layout.Runner{
		Fresh:         b.fresh(now),
		InUse:         inUse,
		ID:            b.runner.ID,
		FailureDomain: b.runner.FailureDomain,
		Models:        b.expected(),
		Loading:       b.step.Load,
		Unloading:     b.step.Unload,
		Busy:          b.busy,
		Leaving:       b.runner.Draining,
		InMemory:      b.runner.InMemory,
		OnDisk:        b.runner.OnDisk,
	}
}

// byRunner sorts what requests run on by runner.
func byRunner(uses map[roster.Use]bool) map[string]map[layout.Adapter]bool {
	sorted := make(map[string]map[layout.Adapter]bool)
	for use := range uses {
		if sorted[use.Runner] == nil {
			sorted[use.Runner] = make(map[layout.Adapter]bool)
		}
		sorted[use.Runner][layout.Adapter{Model: use.Model, Name: use.Adapter}] = true
	}
	return sorted
}
