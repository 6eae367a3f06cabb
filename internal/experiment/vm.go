package experiment

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// vm is one entry VM: what it knows of the engines in its failure domain, and of other domains through heartbeats.
type vm struct {
	world     *world
	domain    int
	admission *admission.Controller
	budget    *routing.RetryBudget
	seats     map[*engine]*seat
	byModel   map[string][]*seat
	reports   map[*engine]endpoint.Report
	// levels are the wait levels of the other failure domains, as last heard.
	levels map[int]map[string]int8
}

// seat is an engine as one VM sees it; it is what the real choice is made among.
type seat struct {
	engine *engine
	load   *routing.Load
}

// Predict implements routing.Candidate.
func (s *seat) Predict(prefill int, now time.Time) (time.Duration, bool) {
	if !s.load.Allowed(now) {
		return 0, false
	}
	return s.load.Predict(prefill, now), true
}

func newVM(w *world, domain int) *vm {
	v := &vm{
		world:     w,
		domain:    domain,
		admission: admission.New(w.random),
		budget:    routing.NewRetryBudget(),
	}
	v.forget()
	return v
}

// forget makes the VM one that has just been replaced.
func (v *vm) forget() {
	v.seats = make(map[*engine]*seat)
	v.byModel = make(map[string][]*seat)
	v.reports = make(map[*engine]endpoint.Report)
	v.levels = make(map[int]map[string]int8)
	for _, e := range v.world.engines {
		if e.domain == v.domain {
			v.seats[e] = &seat{
				engine: e,
				load:   routing.NewLoad(),
			}
		}
	}
}

// readReports takes in the engines' reports and the other failure domains' levels.
func (v *vm) readReports() {
	w := v.world
	v.byModel = make(map[string][]*seat)
	for _, e := range w.engines {
		s, ok := v.seats[e]
		if !ok {
			continue
		}
		if e.down {
			s.load.Failed(w.time())
			continue
		}
		report := e.report()
		v.reports[e] = report
		s.load.Report(report, w.time(), w.deployment.EntriesPerDomain)
		for _, model := range w.deployment.Configuration.Models {
			if e.serves(model.Name, w.now) {
				v.byModel[model.Name] = append(v.byModel[model.Name], s)
			}
		}
	}
	v.hear()
}

// hear takes in what one VM of each other failure domain tells in its heartbeats.
func (v *vm) hear() {
	w := v.world
	for _, other := range w.vms {
		if other.domain == v.domain {
			continue
		}
		if w.cut == v.domain || w.cut == other.domain {
			delete(v.levels, other.domain)
			continue
		}
		levels := make(map[string]int8)
		for _, model := range w.deployment.Configuration.Models {
			if best, ok := routing.Choose(other.byModel[model.Name], nil, 0, w.time(), w.random); ok {
				levels[model.Name] = peer.LevelOf(best.Predicted)
			}
		}
		v.levels[other.domain] = levels
	}
}

// peerIn returns a VM of a failure domain.
func (w *world) peerIn(domain int) *vm {
	n := w.deployment.EntriesPerDomain
	return w.vms[domain*n+w.random.IntN(n)]
}
