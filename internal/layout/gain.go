package layout

import (
	"cmp"
	"math"
	"slices"
)

// replicaValue returns the work that the last of n replicas takes off the others. It is weighted by how the work of a runner
// with the model alone compares with that of the mean runner, so work taken off busy runners counts for more.
func (p *modelPlan) replicaValue(model string, n int) float64 {
	if n <= 1 {
		return lastReplicaValue
	}
	work := p.demand.Work[model]
	return work*math.Sqrt(work/p.meanWork)/float64(n*(n-1)) + p.adapterValue(model, n)
}

// adapterValue returns the work for adapters that only the last of n replicas has slots for.
func (p *modelPlan) adapterValue(model string, n int) float64 {
	share, requested := p.demand.adapterShare(model)
	if requested == 0 {
		return 0
	}
	slots := p.engine.AdapterSlots
	added := min(n*slots, requested) - min((n-1)*slots, requested)
	return p.demand.Work[model] * share * float64(added) / float64(requested)
}

// gain returns the value of one more replica of a model.
func (p *modelPlan) gain(model string) float64 {
	n := p.replicas[model]
	if n > 0 || p.minGain >= lastReplicaValue/2 {
		return p.replicaValue(model, n+1)
	}
	return max(missingWeight*p.demand.Work[model], noDemandGain*p.minGain)
}

// hasNoReplica reports whether a model has no replica, so that any replica except the last one of a model may be unloaded
// for it.
func (p *modelPlan) hasNoReplica(model string) bool { return p.replicas[model] == 0 }

// rankModels orders the models that are worth one more replica by descending gain, and by descending work among equal gains.
func (p *modelPlan) rankModels() {
	p.ranking = p.ranking[:0]
	for i, gain := range p.gains {
		if gain > p.minGain {
			p.ranking = append(p.ranking, i)
		}
	}
	slices.SortStableFunc(p.ranking, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.gains[b], p.gains[a]), cmp.Compare(p.work(b), p.work(a)))
	})
}

func (p *modelPlan) work(i int) float64 { return p.demand.Work[p.engine.Models[i].Name] }

// updateGains recomputes the gains of the models that a step changes.
func (p *modelPlan) updateGains(step Step) {
	for i, model := range p.engine.Models {
		changed := model.Name == step.Load || slices.Contains(step.Unload, model.Name)
		if changed && p.gains[i] != noRunnerGain {
			p.gains[i] = p.gain(model.Name)
		}
	}
}
