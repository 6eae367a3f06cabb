package layout

import (
	"cmp"
	"math"
	"slices"
)

// value returns the work that the last of n replicas takes off the others, weighed by how a runner with the work of the model
// alone compares to the mean one: work taken off busy runners counts for more.
func (p *plan) value(model string, n int) float64 {
	if n <= 1 {
		return lastReplica
	}
	work := p.demand.Work[model]
	return work*math.Sqrt(work/p.mean)/float64(n*(n-1)) + p.adapterValue(model, n)
}

// adapterValue returns the work for adapters that only the last of n replicas has places for.
func (p *plan) adapterValue(model string, n int) float64 {
	share, asked := p.demand.adapterShare(model)
	if asked == 0 {
		return 0
	}
	places := p.engine.AdapterPlaces
	added := min(n*places, asked) - min((n-1)*places, asked)
	return p.demand.Work[model] * share * float64(added) / float64(asked)
}

// gain returns what one more replica of a model is worth.
func (p *plan) gain(model string) float64 {
	n := p.replicas[model]
	if n > 0 || p.least >= lastReplica/2 {
		return p.value(model, n+1)
	}
	return max(missingWeight*p.demand.Work[model], unaskedGain*p.least)
}

// owed reports whether a model has no replica, so that any but a last one makes room for it.
func (p *plan) owed(model string) bool { return p.replicas[model] == 0 }

// rank orders the models that are worth one more replica by gain, of equal ones the one with the most work first.
func (p *plan) rank() {
	p.order = p.order[:0]
	for i, gain := range p.gains {
		if gain > p.least {
			p.order = append(p.order, i)
		}
	}
	slices.SortStableFunc(p.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.gains[b], p.gains[a]), cmp.Compare(p.work(b), p.work(a)))
	})
}

func (p *plan) work(i int) float64 { return p.demand.Work[p.engine.Models[i].Name] }

// weigh works out the gains anew of the models that a step changed.
func (p *plan) weigh(step Step) {
	for i, model := range p.engine.Models {
		changed := model.Name == step.Load || slices.Contains(step.Unload, model.Name)
		if changed && p.gains[i] != unplaced {
			p.gains[i] = p.gain(model.Name)
		}
	}
}
