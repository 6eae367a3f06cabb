package layout

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// maxCopies is how many runners an adapter is brought to while there are free places.
	maxCopies = 3
	// stepAdapters is how many adapters one step brings to a runner, so that other steps need not wait long.
	stepAdapters = 4
	// dropShare is the part of the wanted adapter's rate below which another one makes room for it.
	dropShare = 0.5
	// inUseRate is by how many requests a second an adapter that requests run on counts as more wanted: a runner takes no other
	// order until they have ended.
	inUseRate = 1000
)

// adapterPlan holds the places while adapters are dealt out.
type adapterPlan struct {
	engine *catalog.Engine
	demand Demand
	// takers are the runners that have each model and can take adapters now.
	takers map[string][]*Runner
	free   map[string]int
	copies map[Adapter]int
	// domains is the failure domains that have each adapter.
	domains map[Adapter]map[string]bool
	steps   map[string]*Step
}

// wish is an adapter with the rate at which it is asked for.
type wish struct {
	adapter Adapter
	rate    float64
}

// Adapters returns steps that bring adapters to runners that have their model.
func Adapters(engine *catalog.Engine, runners []*Runner, demand Demand) []Step {
	p := &adapterPlan{
		engine:  engine,
		demand:  demand,
		takers:  make(map[string][]*Runner),
		free:    make(map[string]int),
		copies:  make(map[Adapter]int),
		domains: make(map[Adapter]map[string]bool),
		steps:   make(map[string]*Step),
	}
	for _, r := range runners {
		if r.Leaving {
			continue
		}
		p.count(r)
		if !r.Busy {
			p.offer(r)
		}
	}
	wishes := p.wishes()
	for _, w := range wishes {
		if p.copies[w.adapter] == 0 {
			p.bring(w, true)
		}
	}
	for round := 1; round < maxCopies; round++ {
		for _, w := range wishes {
			if w.rate > 0 && p.copies[w.adapter] == round {
				p.bring(w, false)
			}
		}
	}
	out := make([]Step, 0, len(p.steps))
	for _, step := range p.steps {
		out = append(out, *step)
	}
	return out
}

func (p *adapterPlan) count(r *Runner) {
	for model, adapters := range r.Models {
		for _, name := range adapters {
			p.place(r, Adapter{
				Model: model,
				Name:  name,
			})
		}
	}
}

// place counts a copy of an adapter on a runner.
func (p *adapterPlan) place(r *Runner, a Adapter) {
	p.copies[a]++
	if p.domains[a] == nil {
		p.domains[a] = make(map[string]bool)
	}
	p.domains[a][r.FailureDomain] = true
}

// offer notes a runner's free places.
func (p *adapterPlan) offer(r *Runner) {
	p.free[r.ID] = p.engine.AdapterPlaces - r.adapters()
	for model := range r.Models {
		if r.serves(model) {
			p.takers[model] = append(p.takers[model], r)
		}
	}
}

// wishes lists the adapters of every model for which any adapter is asked, the most wanted first.
func (p *adapterPlan) wishes() []wish {
	var out []wish
	for _, model := range p.engine.Models {
		rates := p.demand.Adapters[model.Name]
		if len(rates) == 0 {
			continue
		}
		for i := range model.Adapters {
			a := Adapter{
				Model: model.Name,
				Name:  "a" + strconv.Itoa(i+1),
			}
			out = append(out, wish{
				adapter: a,
				rate:    rates[a.Name],
			})
		}
	}
	slices.SortStableFunc(out, func(a, b wish) int { return cmp.Compare(b.rate, a.rate) })
	return out
}

// bring gives an adapter a place; where none is free, a much less wanted one makes room if the adapter has no copy.
func (p *adapterPlan) bring(w wish, mayDrop bool) {
	if r := p.roomiest(w.adapter); r != nil {
		p.free[r.ID]--
		p.add(r, w.adapter)
		return
	}
	if !mayDrop || (w.rate == 0 && !p.demand.Missing[w.adapter]) {
		return
	}
	if r, victim, ok := p.droppable(w); ok {
		victim.Drop = true
		p.add(r, victim)
		p.add(r, w.adapter)
		p.copies[Adapter{Model: victim.Model, Name: victim.Name}]--
	}
}

func (p *adapterPlan) add(r *Runner, a Adapter) {
	step, ok := p.steps[r.ID]
	if !ok {
		step = &Step{Runner: r.ID}
		p.steps[r.ID] = step
	}
	step.Adapters = append(step.Adapters, a)
	if !a.Drop {
		p.place(r, a)
	}
}

// roomiest returns the runner with the most free places that has the model and lacks the adapter, in a failure domain
// that lacks it if there is one.
func (p *adapterPlan) roomiest(a Adapter) *Runner {
	var best *Runner
	bestScore := 0
	for _, r := range p.takers[a.Model] {
		if p.free[r.ID] <= 0 || !p.takes(r, a) {
			continue
		}
		score := p.free[r.ID]
		if !p.domains[a][r.FailureDomain] {
			score += p.engine.AdapterPlaces
		}
		if score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// takes reports whether a runner can be given the adapter in this plan.
func (p *adapterPlan) takes(r *Runner, a Adapter) bool {
	if slices.Contains(r.Models[a.Model], a.Name) {
		return false
	}
	step := p.steps[r.ID]
	return step == nil || (len(step.Adapters) < stepAdapters && !slices.Contains(step.Adapters, a))
}

// droppable returns the least wanted adapter, on a runner that has the model, that may make room. For one that a caller
// waits for any other may go, so that where places are few each gets its turn.
func (p *adapterPlan) droppable(w wish) (*Runner, Adapter, bool) {
	var at *Runner
	var victim Adapter
	most := dropShare * w.rate
	if p.demand.Missing[w.adapter] {
		most = math.Inf(1)
	}
	least := math.Inf(1)
	for _, r := range p.takers[w.adapter.Model] {
		if !p.takes(r, w.adapter) {
			continue
		}
		for model, adapters := range r.Models {
			for _, name := range adapters {
				a := Adapter{Model: model, Name: name}
				rate := p.demand.Adapters[model][name] / float64(max(p.copies[a], 1))
				if rate >= most || r.Fresh[a] || p.dropped(r, a) {
					continue
				}
				if r.InUse[a] {
					rate += inUseRate
				}
				if rate < least {
					at, victim, least = r, a, rate
				}
			}
		}
	}
	return at, victim, at != nil
}

func (p *adapterPlan) dropped(r *Runner, a Adapter) bool {
	a.Drop = true
	step := p.steps[r.ID]
	return step != nil && slices.Contains(step.Adapters, a)
}
