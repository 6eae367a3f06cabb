package experiment

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// vm is the state of one entry VM: what it knows about the engines of its own failure domain from their reports, and about
// other failure domains from heartbeats.
type vm struct {
	sim          *simulation
	domain       int
	admission    *admission.Controller
	retryBudget  *routing.RetryBudget
	engineViews  map[*engine]*engineView
	viewsByModel map[string][]*engineView
	reports      map[*engine]endpoint.Report
	// waitLevels holds the last received wait levels, by failure domain and model.
	waitLevels map[int]map[string]int8
}

// engineView is what one VM knows about an engine; it is the candidate type for routing.Choose.
type engineView struct {
	engine *engine
	load   *routing.Load
}

// Predict implements routing.Candidate.
func (v *engineView) Predict(prefill int, now time.Time) (time.Duration, bool) {
	if !v.load.Allowed(now) {
		return 0, false
	}
	return v.load.Predict(prefill, now), true
}

func newVM(sim *simulation, domain int) *vm {
	v := &vm{
		sim:         sim,
		domain:      domain,
		admission:   admission.New(sim.random),
		retryBudget: routing.NewRetryBudget(),
	}
	v.reset()
	return v
}

// reset clears the VM's state, as if it had just been replaced.
func (v *vm) reset() {
	v.engineViews = make(map[*engine]*engineView)
	v.viewsByModel = make(map[string][]*engineView)
	v.reports = make(map[*engine]endpoint.Report)
	v.waitLevels = make(map[int]map[string]int8)
	for _, e := range v.sim.engines {
		if e.domain == v.domain {
			v.engineViews[e] = &engineView{
				engine: e,
				load:   routing.NewLoad(),
			}
		}
	}
}

// readReports reads the reports of the engines in the VM's failure domain and the wait levels of other failure domains.
func (v *vm) readReports() {
	sim := v.sim
	v.viewsByModel = make(map[string][]*engineView)
	for _, e := range sim.engines {
		view, ok := v.engineViews[e]
		if !ok {
			continue
		}
		if e.down {
			view.load.Failed(sim.virtualTime())
			continue
		}
		report := e.report()
		v.reports[e] = report
		view.load.Report(report, sim.virtualTime(), sim.deployment.EntriesPerDomain)
		for _, model := range sim.deployment.Configuration.Models {
			if e.serves(model.Name, sim.now) {
				v.viewsByModel[model.Name] = append(v.viewsByModel[model.Name], view)
			}
		}
	}
	v.receiveHeartbeats()
}

// receiveHeartbeats updates the wait levels of the other failure domains from the heartbeats of their VMs.
func (v *vm) receiveHeartbeats() {
	sim := v.sim
	for _, other := range sim.vms {
		if other.domain == v.domain {
			continue
		}
		if sim.cutDomain == v.domain || sim.cutDomain == other.domain {
			delete(v.waitLevels, other.domain)
			continue
		}
		levels := make(map[string]int8)
		for _, model := range sim.deployment.Configuration.Models {
			if best, ok := routing.Choose(other.viewsByModel[model.Name], nil, 0, sim.virtualTime(), sim.random); ok {
				levels[model.Name] = peer.WaitLevel(best.Predicted)
			}
		}
		v.waitLevels[other.domain] = levels
	}
}

// randomVM returns a random VM of a failure domain.
func (sim *simulation) randomVM(domain int) *vm {
	n := sim.deployment.EntriesPerDomain
	return sim.vms[domain*n+sim.random.IntN(n)]
}
