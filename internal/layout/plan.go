package layout

import (
	"math"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// leastGain is the part of a runner's mean work that one more replica must gain.
	leastGain = 0.36
	// leastRequests is the requests a second below which demand says too little to move models.
	leastRequests = 15
	// hysteresis is by how much a replica's gain must exceed the loss of those that make room for it.
	hysteresis = 1.4
	// lastReplica is the value of a model's only replica, beyond any gain.
	lastReplica = math.MaxFloat64
	// missingWeight is by how many times the work asked of a model without a replica counts more than work that another replica
	// takes off the others: all of it is refused, not only later.
	missingWeight = 10
	// unaskedGain is the gain, in bounds for one more replica, of a model without a replica that nobody asks for just now.
	unaskedGain = 2
	// domainShare is the part of a gain that each replica in the same failure domain takes off it.
	domainShare = 0.12
	// unplaced is the gain of a model for which no runner was found.
	unplaced = -1
	// storeShare is the part of a gain that a load from the weight store takes off it.
	storeShare = 0.1
	// waitShare is the part of a gain that unloading a model in use, whose requests must end first, takes off it.
	waitShare = 0.2
)

// plan holds the replicas and steps while they are worked out.
type plan struct {
	engine  *catalog.Engine
	runners []*Runner
	demand  Demand
	// replicas counts models also where they are on their way, present only where they serve.
	replicas map[string]int
	present  map[string]int
	// taken is the runners that take no step, or no further one, in this plan.
	taken map[string]bool
	// gains is what one more replica of each model is worth, least what it must exceed.
	gains []float64
	least float64
	// order is the models worth one more, the best first.
	order []int
	// weights is the memory of each model, largest that of the largest, reserve that kept for adapters.
	weights map[string]float64
	// smallest is that of the smallest model.
	largest  float64
	smallest float64
	reserve  float64
	// total is the work of all models, mean that of a runner if all had the same, loads that of each.
	total float64
	mean  float64
	loads []float64
}

// Models returns steps that load models, the most urgent first; most bounds the loads from the weight store.
func Models(engine *catalog.Engine, runners []*Runner, demand Demand, most int) []Step {
	p := &plan{
		engine:   engine,
		runners:  runners,
		demand:   demand,
		replicas: replicas(runners, (*Runner).has),
		present:  replicas(runners, (*Runner).serves),
		taken:    make(map[string]bool),
	}
	p.measure()
	var steps []Step
	for {
		step, ok := p.next(most > 0)
		if !ok {
			return steps
		}
		if step.FromStore {
			most--
		}
		p.taken[step.Runner] = true
		p.replicas[step.Load]++
		for _, victim := range step.Unload {
			p.replicas[victim]--
			p.present[victim]--
		}
		p.weigh(step)
		p.spread()
		steps = append(steps, step)
	}
}

// replicas counts the runners for which a predicate on a model holds.
func replicas(runners []*Runner, holds func(*Runner, string) bool) map[string]int {
	counts := make(map[string]int)
	for _, r := range runners {
		if r.Leaving {
			continue
		}
		for model := range r.Models {
			if holds(r, model) {
				counts[model]++
			}
		}
		if _, held := r.Models[r.Loading]; r.Loading != "" && !held && holds(r, r.Loading) {
			counts[r.Loading]++
		}
	}
	return counts
}

// next returns the best step that is worth it.
func (p *plan) next(store bool) (Step, bool) {
	p.rank()
	for _, i := range p.order {
		if step, ok := p.place(p.engine.Models[i], p.gains[i], store); ok {
			return step, true
		}
		// Later steps leave fewer runners and less to unload.
		p.gains[i] = unplaced
	}
	return Step{}, false
}

// place finds the runner where the model costs least.
func (p *plan) place(model catalog.Model, gain float64, store bool) (Step, bool) {
	domains := p.domains(model.Name)
	weight := preference(gain, p.total)
	best := math.Inf(1)
	var chosen Step
	for i, r := range p.runners {
		if r.Busy || r.Leaving || p.taken[r.ID] || r.has(model.Name) {
			continue
		}
		fromStore := !r.atHand(model.Name)
		if fromStore && !store {
			continue
		}
		victims, cost, ok := p.room(r, model)
		if !ok || (gain < lastReplica && !p.owed(model.Name) && gain < hysteresis*cost) {
			continue
		}
		score := cost + p.loads[i] + weight*domainShare*float64(domains[r.FailureDomain])
		if fromStore {
			score += weight * storeShare
		}
		for _, victim := range victims {
			score -= p.part(victim)
		}
		if slices.ContainsFunc(victims, r.uses) {
			score += weight * waitShare
		}
		if score < best {
			best = score
			chosen = Step{
				Runner:    r.ID,
				Unload:    victims,
				Load:      model.Name,
				FromStore: fromStore,
				Work:      p.demand.Work[model.Name],
				Replicas:  p.replicas[model.Name],
				Gain:      gain,
				Cost:      cost,
			}
		}
	}
	return chosen, chosen.Runner != ""
}

// spread works out the work that falls to each runner.
func (p *plan) spread() {
	for i, r := range p.runners {
		sum := 0.0
		for model := range r.Models {
			sum += p.part(model)
		}
		p.loads[i] = sum
	}
}

// part returns the work that falls to each replica of a model.
func (p *plan) part(model string) float64 {
	return p.demand.Work[model] / float64(max(p.replicas[model], 1))
}

// preference scales what is only preferred by the gain, which is unbounded for a model without a replica.
func preference(gain, total float64) float64 { return min(gain, total+1) }

// domains counts the replicas of a model by failure domain.
func (p *plan) domains(model string) map[string]int {
	domains := make(map[string]int)
	for _, r := range p.runners {
		if !r.Leaving && r.has(model) {
			domains[r.FailureDomain]++
		}
	}
	return domains
}

// room returns which models must leave a runner for another to fit, and what they are worth.
func (p *plan) room(r *Runner, model catalog.Model) ([]string, float64, bool) {
	free := p.engine.WeightsMB - p.used(r) - model.WeightsMB - p.reserve
	var victims []string
	cost := 0.0
	for free < 0 {
		victim, worth := p.cheapest(r, victims)
		if victim == "" {
			p.close(r, free+model.WeightsMB)
			return nil, 0, false
		}
		free += p.weight(victim)
		cost += worth
		victims = append(victims, victim)
	}
	return victims, cost, true
}

// close leaves a runner out of the rest of the plan when not even the smallest model fits into what can be freed there.
func (p *plan) close(r *Runner, room float64) {
	if room < p.smallest {
		p.taken[r.ID] = true
	}
}

// cheapest returns the model of a runner that can best be done without.
func (p *plan) cheapest(r *Runner, without []string) (string, float64) {
	name, least := "", lastReplica
	for model := range r.Models {
		if worth := p.value(model, p.present[model]); worth < least && !slices.Contains(without, model) {
			name, least = model, worth
		}
	}
	return name, least
}

// used returns the weights of the models on a runner; adapters are covered by the reserve.
func (p *plan) used(r *Runner) float64 {
	sum := 0.0
	for model := range r.Models {
		sum += p.weight(model)
	}
	return sum
}

// measure works out what depends on the configuration only.
func (p *plan) measure() {
	p.smallest = math.Inf(1)
	p.weights = make(map[string]float64, len(p.engine.Models))
	adapter := 0.0
	for _, m := range p.engine.Models {
		p.weights[m.Name] = m.WeightsMB
		p.largest = max(p.largest, m.WeightsMB)
		p.smallest = min(p.smallest, m.WeightsMB)
		if m.Adapters > 0 {
			adapter = max(adapter, m.AdapterMB)
		}
	}
	p.reserve = adapter * float64(p.engine.AdapterPlaces)
	p.total = p.demand.total()
	p.mean = max(p.total, 1) / float64(max(len(p.runners), 1))
	p.least = leastGain * p.mean
	if p.demand.requests() < leastRequests || p.total == 0 {
		p.least = lastReplica / 2
	}
	p.loads = make([]float64, len(p.runners))
	p.spread()
	p.gains = make([]float64, len(p.engine.Models))
	for i, model := range p.engine.Models {
		p.gains[i] = p.gain(model.Name)
	}
}

// weight returns the memory of a model; one that the configuration no longer lists still takes its place.
func (p *plan) weight(model string) float64 {
	if mb, ok := p.weights[model]; ok {
		return mb
	}
	return p.largest
}
