package layout

import (
	"math"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// minGainShare is the share of a runner's mean work that one more replica must gain.
	minGainShare = 0.36
	// minRequestRate is the number of requests per second below which demand is too small a sample to justify moving models.
	minRequestRate = 15
	// hysteresis is the factor by which the gain of a replica must exceed the loss of those unloaded to make room for it; for a
	// load from the weight store, the load time divided by hysteresisLoadTime is added.
	hysteresis         = 1.4
	hysteresisLoadTime = time.Second
	// lastReplicaValue is the value of a model's only replica, which exceeds any gain.
	lastReplicaValue = math.MaxFloat64
	// missingWeight is the weight of the work for a model without a replica, relative to work that another replica takes off
	// existing ones: its requests are all refused, not only delayed.
	missingWeight = 10
	// noDemandGain is the gain of a model without a replica and without current demand, as a multiple of the minimum gain.
	noDemandGain = 2
	// sameDomainPenalty is the share of a gain deducted for each replica in the same failure domain.
	sameDomainPenalty = 0.12
	// noRunnerGain marks the gain of a model for which no runner was found.
	noRunnerGain = -1
	// storeLoadPenalty is the share of a gain deducted for a load from the weight store.
	storeLoadPenalty = 0.6
	// unloadInUsePenalty is the share of a gain deducted for unloading a model in use, whose requests must end first.
	unloadInUsePenalty = 0.2
)

// modelPlan is the state of a plan while its steps are chosen.
type modelPlan struct {
	engine  *catalog.Engine
	runners []*Runner
	demand  Demand
	// replicas counts the replicas of each model including those being loaded, serving and releaseServing only those that serve requests.
	replicas       map[string]int
	serving        map[string]int
	releaseServing map[releaseModel]int
	// excluded is the set of runners that get no step, or no further one, in this plan.
	excluded map[string]bool
	// gains is the value of one more replica of each model, minGain what it must exceed.
	gains   []float64
	minGain float64
	// ranking lists the indexes of the models that are worth one more replica, the best first.
	ranking []int
	// weightsMB is the memory of each model, largestMB and smallestMB that of the largest and the smallest one, and
	// adapterReserveMB the memory reserved for adapters.
	weightsMB        map[string]float64
	largestMB        float64
	smallestMB       float64
	adapterReserveMB float64
	// totalWork is the work of all models, meanWork the mean work of a runner and runnerWork the work of each runner.
	totalWork  float64
	meanWork   float64
	runnerWork []float64
}

// PlanModels returns steps that load models, the most urgent first; maxStoreLoads bounds the loads from the weight store.
func PlanModels(engine *catalog.Engine, runners []*Runner, demand Demand, maxStoreLoads int) []Step {
	p := &modelPlan{
		engine:   engine,
		runners:  runners,
		demand:   demand,
		replicas: countReplicas(runners, (*Runner).hasOrLoads),
		serving:  countReplicas(runners, (*Runner).serves),
		excluded: make(map[string]bool),
	}
	p.countReleases()
	p.prepare()
	var steps []Step
	for {
		step, ok := p.nextStep(maxStoreLoads > 0)
		if !ok {
			return steps
		}
		if step.FromStore {
			maxStoreLoads--
		}
		p.excluded[step.Runner] = true
		p.replicas[step.Load]++
		for _, victim := range step.Unload {
			p.replicas[victim]--
			p.serving[victim]--
		}
		p.removeFromRelease(step)
		p.updateGains(step)
		p.computeRunnerWork()
		steps = append(steps, step)
	}
}

// countReplicas counts the runners of each model for which a predicate holds.
func countReplicas(runners []*Runner, predicate func(*Runner, string) bool) map[string]int {
	counts := make(map[string]int)
	for _, r := range runners {
		if r.Draining {
			continue
		}
		for model := range r.Models {
			if predicate(r, model) {
				counts[model]++
			}
		}
		if _, held := r.Models[r.Loading]; r.Loading != "" && !held && predicate(r, r.Loading) {
			counts[r.Loading]++
		}
	}
	return counts
}

// nextStep returns the best step that is worth its cost.
func (p *modelPlan) nextStep(allowStore bool) (Step, bool) {
	p.rankModels()
	for _, i := range p.ranking {
		if step, ok := p.placeModel(p.engine.Models[i], p.gains[i], allowStore); ok {
			return step, true
		}
		// Later steps have fewer runners and fewer models to unload, so they find no runner either.
		p.gains[i] = noRunnerGain
	}
	return Step{}, false
}

// placeModel finds the runner on which loading the model costs least.
func (p *modelPlan) placeModel(model catalog.Model, gain float64, allowStore bool) (Step, bool) {
	domainReplicas := p.replicasByDomain(model.Name)
	scale := preferenceScale(gain, p.totalWork)
	bestScore := math.Inf(1)
	var chosen Step
	for i, r := range p.runners {
		if r.Busy || r.Draining || p.excluded[r.ID] || r.hasOrLoads(model.Name) {
			continue
		}
		fromStore := !r.hasLocalCopy(model.Name)
		if fromStore && !allowStore {
			continue
		}
		victims, cost, ok := p.makeRoom(r, model)
		if !ok || (gain < lastReplicaValue && !p.hasNoReplica(model.Name) && gain < requiredGain(model, fromStore, cost)) {
			continue
		}
		score := cost + p.runnerWork[i] + scale*sameDomainPenalty*float64(domainReplicas[r.FailureDomain])
		if fromStore {
			score += scale * storeLoadPenalty
		}
		for _, victim := range victims {
			score -= p.workPerReplica(victim)
		}
		if slices.ContainsFunc(victims, r.isInUse) {
			score += scale * unloadInUsePenalty
		}
		if score < bestScore {
			bestScore = score
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

// computeRunnerWork computes the work that falls to each runner.
func (p *modelPlan) computeRunnerWork() {
	for i, r := range p.runners {
		sum := 0.0
		for model := range r.Models {
			sum += p.workPerReplica(model)
		}
		p.runnerWork[i] = sum
	}
}

// workPerReplica returns the work that falls to each replica of a model.
func (p *modelPlan) workPerReplica(model string) float64 {
	return p.demand.Work[model] / float64(max(p.replicas[model], 1))
}

// preferenceScale returns the factor for preferences among runners: the gain, limited to the total work plus one because the
// gain of a model without a replica may be lastReplicaValue.
func preferenceScale(gain, total float64) float64 { return min(gain, total+1) }

// replicasByDomain counts the replicas of a model in each failure domain.
func (p *modelPlan) replicasByDomain(model string) map[string]int {
	domains := make(map[string]int)
	for _, r := range p.runners {
		if !r.Draining && r.hasOrLoads(model) {
			domains[r.FailureDomain]++
		}
	}
	return domains
}

// makeRoom returns which models must be unloaded from a runner for another to fit, and their total value.
func (p *modelPlan) makeRoom(r *Runner, model catalog.Model) ([]string, float64, bool) {
	freeMB := p.engine.WeightsMB - p.usedMB(r) - model.WeightsMB - p.adapterReserveMB
	var victims []string
	cost := 0.0
	for freeMB < 0 {
		victim, value := p.cheapestModel(r, victims)
		if victim == "" {
			p.excludeIfFull(r, freeMB+model.WeightsMB)
			return nil, 0, false
		}
		freeMB += p.weightMB(victim)
		cost += value
		victims = append(victims, victim)
	}
	return victims, cost, true
}

// excludeIfFull excludes a runner from the rest of the plan if no model fits into the memory that can be freed there.
func (p *modelPlan) excludeIfFull(r *Runner, availableMB float64) {
	if availableMB < p.smallestMB {
		p.excluded[r.ID] = true
	}
}

// cheapestModel returns the model on a runner with the lowest value, except those already chosen and those that streams of the
// runner's release need.
func (p *modelPlan) cheapestModel(r *Runner, excluded []string) (string, float64) {
	name, minValue := "", lastReplicaValue
	for model := range r.Models {
		if slices.Contains(excluded, model) || p.lastOfRelease(r, model) {
			continue
		}
		if value := p.replicaValue(model, p.serving[model]); value < minValue {
			name, minValue = model, value
		}
	}
	return name, minValue
}

// usedMB returns the memory of the models on a runner; adapters are covered by adapterReserveMB.
func (p *modelPlan) usedMB(r *Runner) float64 {
	sum := 0.0
	for model := range r.Models {
		sum += p.weightMB(model)
	}
	return sum
}

// prepare computes the sizes of models, the work of runners and the initial gains.
func (p *modelPlan) prepare() {
	p.smallestMB = math.Inf(1)
	p.weightsMB = make(map[string]float64, len(p.engine.Models))
	adapterMB := 0.0
	for _, m := range p.engine.Models {
		p.weightsMB[m.Name] = m.WeightsMB
		p.largestMB = max(p.largestMB, m.WeightsMB)
		p.smallestMB = min(p.smallestMB, m.WeightsMB)
		if m.Adapters > 0 {
			adapterMB = max(adapterMB, m.AdapterMB)
		}
	}
	p.adapterReserveMB = adapterMB * float64(p.engine.AdapterSlots)
	p.totalWork = p.demand.totalWork()
	p.meanWork = max(p.totalWork, 1) / float64(max(len(p.runners), 1))
	p.minGain = minGainShare * p.meanWork
	if p.demand.totalRequests() < minRequestRate || p.totalWork == 0 {
		p.minGain = lastReplicaValue / 2
	}
	p.runnerWork = make([]float64, len(p.runners))
	p.computeRunnerWork()
	p.gains = make([]float64, len(p.engine.Models))
	for i, model := range p.engine.Models {
		p.gains[i] = p.gain(model.Name)
	}
}

// weightMB returns the memory of a model. A model that the configuration no longer lists still occupies memory, so the
// largest is assumed.
func (p *modelPlan) weightMB(model string) float64 {
	if mb, ok := p.weightsMB[model]; ok {
		return mb
	}
	return p.largestMB
}

// requiredGain returns the gain that justifies a cost. What is unloaded is missed at once, but the replica serves only once it is
// loaded, and demand may have moved on by then; meanwhile the runner takes no other order.
func requiredGain(model catalog.Model, fromStore bool, cost float64) float64 {
	if !fromStore {
		return hysteresis * cost
	}
	return (hysteresis + model.LoadTime.Seconds()/hysteresisLoadTime.Seconds()) * cost
}
