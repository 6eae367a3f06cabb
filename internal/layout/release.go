package layout

// releaseModel identifies a model at the runners of one release.
type releaseModel struct {
	release string
	model   string
}

func (r *Runner) releaseModel(model string) releaseModel {
	return releaseModel{
		release: r.Release,
		model:   model,
	}
}

// countReleases counts the replicas of each release that serve requests.
func (p *modelPlan) countReleases() {
	p.releaseServing = make(map[releaseModel]int)
	for _, r := range p.runners {
		if r.Draining {
			continue
		}
		for model := range r.Models {
			if r.serves(model) {
				p.releaseServing[r.releaseModel(model)]++
			}
		}
	}
}

// removeFromRelease counts what a step unloads as gone.
func (p *modelPlan) removeFromRelease(step Step) {
	for _, r := range p.runners {
		if r.ID != step.Runner {
			continue
		}
		for _, victim := range step.Unload {
			p.releaseServing[r.releaseModel(victim)]--
		}
	}
}

// lastOfRelease reports whether a runner has the last replica of a model in its release, although other releases serve the model too
// and there is work for it: streams that the release began could go on nowhere.
func (p *modelPlan) lastOfRelease(r *Runner, model string) bool {
	n := p.releaseServing[r.releaseModel(model)]
	return n == 1 && p.serving[model] > n && p.demand.Work[model] >= p.minGain
}
