package roster

import "slices"

// View is an immutable snapshot of the known runners.
type View struct {
	byID      map[string]*Runner
	byService map[string][]*Runner
	byModel   map[modelKey][]*Runner
}

// modelKey identifies a model of a service.
type modelKey struct {
	service string
	model   string
}

func newView(runners map[string]*Runner) *View {
	v := &View{
		byID:      make(map[string]*Runner, len(runners)),
		byService: make(map[string][]*Runner),
		byModel:   make(map[modelKey][]*Runner),
	}
	for id, runner := range runners {
		v.byID[id] = runner
		v.byService[runner.Service] = append(v.byService[runner.Service], runner)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Runner) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	for service, list := range v.byService {
		for _, runner := range list {
			for _, loaded := range runner.Models {
				key := modelKey{
					service: service,
					model:   loaded.Model,
				}
				v.byModel[key] = append(v.byModel[key], runner)
			}
		}
	}
	return v
}

// RunnersWithModel returns the runners of a service that have a model loaded, ordered by ID.
func (v *View) RunnersWithModel(service, model string) []*Runner {
	return v.byModel[modelKey{
		service: service,
		model:   model,
	}]
}

// Runner returns the runner with the given ID.
func (v *View) Runner(id string) (*Runner, bool) {
	runner, ok := v.byID[id]
	return runner, ok
}

// Service returns the runners of a service, ordered by ID.
func (v *View) Service(name string) []*Runner { return v.byService[name] }

// All returns all runners by ID.
func (v *View) All() map[string]*Runner { return v.byID }
