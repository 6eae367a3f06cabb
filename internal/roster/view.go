package roster

import "slices"

// View is the runners known at one moment; it is never changed after it is made.
type View struct {
	byID      map[string]*Runner
	byService map[string][]*Runner
	byModel   map[held][]*Runner
}

// held names a model of a service.
type held struct {
	service string
	model   string
}

func newView(runners map[string]*Runner) *View {
	v := &View{
		byID:      make(map[string]*Runner, len(runners)),
		byService: make(map[string][]*Runner),
		byModel:   make(map[held][]*Runner),
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
			for _, holding := range runner.Models {
				key := held{
					service: service,
					model:   holding.Model,
				}
				v.byModel[key] = append(v.byModel[key], runner)
			}
		}
	}
	return v
}

// Holders returns the runners of a service that registered a model, in order of ID.
func (v *View) Holders(service, model string) []*Runner {
	return v.byModel[held{
		service: service,
		model:   model,
	}]
}

// Runner returns the runner of an ID.
func (v *View) Runner(id string) (*Runner, bool) {
	runner, ok := v.byID[id]
	return runner, ok
}

// Service returns the runners of a service in order of ID.
func (v *View) Service(name string) []*Runner { return v.byService[name] }

// All returns every runner by ID.
func (v *View) All() map[string]*Runner { return v.byID }
