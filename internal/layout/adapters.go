package layout

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// maxAdapterCopies is how many runners an adapter is loaded on while there are free adapter slots.
	maxAdapterCopies = 3
	// maxStepAdapters is how many adapters one step loads and unloads on a runner, so that other steps need not wait long.
	maxStepAdapters = 4
	// maxEvictRateShare is the share of a wanted adapter's request rate below which another adapter may be evicted for it.
	maxEvictRateShare = 0.5
	// inUseRateBonus is added to the request rate of an adapter in use when choosing one to evict: the runner takes no other
	// order until the requests on it have ended.
	inUseRateBonus = 1000
)

// adapterPlan is the state of a plan that assigns adapters to the adapter slots of runners.
type adapterPlan struct {
	engine *catalog.Engine
	demand Demand
	// candidates lists, for each model, the runners that have it and can take adapters now.
	candidates map[string][]*Runner
	// freeSlots is the number of free adapter slots of each candidate, by runner ID.
	freeSlots map[string]int
	copies    map[Adapter]int
	// domains is the set of failure domains that have each adapter.
	domains map[Adapter]map[string]bool
	steps   map[string]*Step
}

// adapterRate is an adapter with the rate at which it is requested.
type adapterRate struct {
	adapter Adapter
	rate    float64
}

// PlanAdapters returns steps that load adapters on runners that have their model.
func PlanAdapters(engine *catalog.Engine, runners []*Runner, demand Demand) []Step {
	p := &adapterPlan{
		engine:     engine,
		demand:     demand,
		candidates: make(map[string][]*Runner),
		freeSlots:  make(map[string]int),
		copies:     make(map[Adapter]int),
		domains:    make(map[Adapter]map[string]bool),
		steps:      make(map[string]*Step),
	}
	for _, r := range runners {
		if r.Draining {
			continue
		}
		p.countCopies(r)
		if !r.Busy {
			p.addCandidate(r)
		}
	}
	ranked := p.adaptersByRate()
	for _, wanted := range ranked {
		if p.copies[wanted.adapter] == 0 {
			p.placeAdapter(wanted, true)
		}
	}
	for round := 1; round < maxAdapterCopies; round++ {
		for _, wanted := range ranked {
			if wanted.rate > 0 && p.copies[wanted.adapter] == round {
				p.placeAdapter(wanted, false)
			}
		}
	}
	steps := make([]Step, 0, len(p.steps))
	for _, step := range p.steps {
		steps = append(steps, *step)
	}
	return steps
}

func (p *adapterPlan) countCopies(r *Runner) {
	for model, adapters := range r.Models {
		for _, name := range adapters {
			p.countCopy(r, Adapter{
				Model: model,
				Name:  name,
			})
		}
	}
}

// countCopy counts a copy of an adapter on a runner.
func (p *adapterPlan) countCopy(r *Runner, a Adapter) {
	p.copies[a]++
	if p.domains[a] == nil {
		p.domains[a] = make(map[string]bool)
	}
	p.domains[a][r.FailureDomain] = true
}

// addCandidate records a runner's free slots and the models whose adapters it can take.
func (p *adapterPlan) addCandidate(r *Runner) {
	p.freeSlots[r.ID] = p.engine.AdapterSlots - r.adapterCount()
	for model := range r.Models {
		if r.serves(model) {
			p.candidates[model] = append(p.candidates[model], r)
		}
	}
}

// adaptersByRate lists all adapters of the models of which any adapter is requested, in descending order of request rate.
func (p *adapterPlan) adaptersByRate() []adapterRate {
	var out []adapterRate
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
			out = append(out, adapterRate{
				adapter: a,
				rate:    rates[a.Name],
			})
		}
	}
	slices.SortStableFunc(out, func(a, b adapterRate) int { return cmp.Compare(b.rate, a.rate) })
	return out
}

// placeAdapter assigns an adapter to a free slot. If there is none and mayEvict is set, it evicts an adapter with a much
// lower request rate.
func (p *adapterPlan) placeAdapter(wanted adapterRate, mayEvict bool) {
	if r := p.bestCandidate(wanted.adapter); r != nil {
		p.freeSlots[r.ID]--
		p.addToStep(r, wanted.adapter)
		return
	}
	if !mayEvict || (wanted.rate == 0 && !p.demand.Missing[wanted.adapter]) {
		return
	}
	if r, victim, ok := p.evictionVictim(wanted); ok {
		victim.Unload = true
		p.addToStep(r, victim)
		p.addToStep(r, wanted.adapter)
		evicted := Adapter{Model: victim.Model, Name: victim.Name}
		p.copies[evicted]--
		delete(p.domains[evicted], r.FailureDomain)
	}
}

// hasRoomForEviction reports whether both an unload and a load still fit into the runner's step.
func (p *adapterPlan) hasRoomForEviction(r *Runner) bool {
	step := p.steps[r.ID]
	return step == nil || len(step.Adapters)+2 <= maxStepAdapters
}

func (p *adapterPlan) addToStep(r *Runner, a Adapter) {
	step, ok := p.steps[r.ID]
	if !ok {
		step = &Step{Runner: r.ID}
		p.steps[r.ID] = step
	}
	step.Adapters = append(step.Adapters, a)
	if !a.Unload {
		p.countCopy(r, a)
	}
}

// bestCandidate returns the runner with the most free slots that has the model but not the adapter, preferably in a failure
// domain without the adapter.
func (p *adapterPlan) bestCandidate(a Adapter) *Runner {
	var best *Runner
	bestScore := 0
	for _, r := range p.candidates[a.Model] {
		if p.freeSlots[r.ID] <= 0 || !p.canTake(r, a) {
			continue
		}
		score := p.freeSlots[r.ID]
		if !p.domains[a][r.FailureDomain] {
			score += p.engine.AdapterSlots
		}
		if score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// canTake reports whether a runner can be given the adapter in this plan.
func (p *adapterPlan) canTake(r *Runner, a Adapter) bool {
	if slices.Contains(r.Models[a.Model], a.Name) {
		return false
	}
	step := p.steps[r.ID]
	return step == nil || (len(step.Adapters) < maxStepAdapters && !slices.Contains(step.Adapters, a))
}

// evictionVictim returns the adapter with the lowest request rate that may be evicted for the wanted one, and its runner,
// among the runners that have the model. For an adapter that a caller waits for, any other may be evicted, so that each gets
// a turn when slots are few.
func (p *adapterPlan) evictionVictim(wanted adapterRate) (*Runner, Adapter, bool) {
	var runner *Runner
	var victim Adapter
	maxRate := maxEvictRateShare * wanted.rate
	if p.demand.Missing[wanted.adapter] {
		maxRate = math.Inf(1)
	}
	minRate := math.Inf(1)
	for _, r := range p.candidates[wanted.adapter.Model] {
		if !p.canTake(r, wanted.adapter) || !p.hasRoomForEviction(r) {
			continue
		}
		for model, adapters := range r.Models {
			for _, name := range adapters {
				a := Adapter{Model: model, Name: name}
				rate := p.demand.Adapters[model][name] / float64(max(p.copies[a], 1))
				if rate >= maxRate || r.RecentlyLoaded[a] || p.evicts(r, a) {
					continue
				}
				if r.InUse[a] {
					rate += inUseRateBonus
				}
				if rate < minRate {
					runner, victim, minRate = r, a, rate
				}
			}
		}
	}
	return runner, victim, runner != nil
}

// evicts reports whether this plan already evicts an adapter from a runner.
func (p *adapterPlan) evicts(r *Runner, a Adapter) bool {
	a.Unload = true
	step := p.steps[r.ID]
	return step != nil && slices.Contains(step.Adapters, a)
}
