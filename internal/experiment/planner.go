package experiment

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/placement"
)

const (
	loadTime = 2 * time.Second
	// unloadTime is how long it takes until a report shows an unload.
	unloadTime = 250 * time.Millisecond
)

// domainPlanner runs the real planner for one failure domain.
type domainPlanner struct {
	world   *world
	domain  int
	planner *placement.Planner
	meter   *placement.Meter
	counts  map[string]uint64
}

func newDomainPlanner(w *world, domain int) *domainPlanner {
	return &domainPlanner{
		world:   w,
		domain:  domain,
		planner: placement.New(),
		meter:   placement.NewMeter(),
		counts:  make(map[string]uint64),
	}
}

// plan lets the planners of all failure domains act, as they do in every policy: only the choice of engines differs.
func (w *world) plan() {
	for _, p := range w.planners {
		p.plan()
	}
}

func (p *domainPlanner) plan() {
	p.meter.Observe(p.counts, time.Second, 1)
	p.counts = make(map[string]uint64)
	planner := p.planner
	if p.world.run.NoHysteresis {
		planner = placement.NewEager()
	}
	for _, move := range planner.Plan(p.world.time(), p.input()) {
		p.carryOut(move)
	}
}

func (p *domainPlanner) input() placement.Input {
	w := p.world
	c := w.deployment.Configuration
	in := placement.Input{
		MovePrice: c.Presets[0].MovePrice,
		MaxLoads:  max(1, c.Store.LoadsAtOnce/len(c.FailureDomains)),
		LoadTime:  loadTime,
	}
	if p.world.run.NoHysteresis {
		in.MovePrice = 0
	}
	for _, model := range c.Models {
		calls, _ := p.meter.Demand(model.Name)
		in.Wants = append(in.Wants, placement.Want{
			Model:          model.Name,
			Bytes:          c.ReplicaBytes(model),
			Floor:          1,
			Keep:           true,
			Elsewhere:      true,
			CallsPerSecond: calls,
			AnswerTime:     p.slotTime(),
		})
	}
	for _, e := range w.engines {
		if e.domain != p.domain || e.down {
			continue
		}
		runner := p.runner(e)
		in.MaxLoads -= loading(runner)
		in.Runners = append(in.Runners, runner)
	}
	in.MaxLoads = max(in.MaxLoads, 0)
	return in
}

// slotTime is the part of an engine's slots that a call takes, prompt included, at the engine's true limit.
func (p *domainPlanner) slotTime() time.Duration {
	size := p.world.deployment.Engine
	return time.Duration(float64(size.Slots) * meanPrompt / size.PrefillPerSecond * float64(time.Second))
}

func (p *domainPlanner) runner(e *engine) placement.Runner {
	runner := placement.Runner{
		Name:  e.name,
		Slots: e.size.Slots,
	}
	for _, a := range e.accounts {
		accounted := ledger.Account{
			CapacityBytes: a.capacity,
			ReservedBytes: a.capacity - a.free(),
			Models:        make(map[string]ledger.Status),
		}
		for name, m := range a.models {
			accounted.Models[name] = ledger.Status{
				Bytes:     m.bytes,
				Present:   true,
				Ready:     m.ready <= p.world.now,
				Unloading: m.gone,
			}
		}
		runner.Accounts = append(runner.Accounts, accounted)
	}
	return runner
}

func loading(r placement.Runner) int {
	n := 0
	for _, account := range r.Accounts {
		for _, status := range account.Models {
			if !status.Ready {
				n++
			}
		}
	}
	return n
}

func (p *domainPlanner) carryOut(move placement.Move) {
	w := p.world
	for _, e := range w.engines {
		if e.name != move.Runner {
			continue
		}
		models := e.accounts[move.Accelerator].models
		if move.Action == endpoint.Unload {
			m := models[move.Model]
			m.gone = true
			models[move.Model] = m
			w.at(w.now+unloadTime, func() { delete(models, move.Model) })
			continue
		}
		if w.storeDown {
			continue
		}
		w.result.Moves++
		models[move.Model] = loadedModel{
			bytes: move.Bytes,
			ready: w.now + loadTime,
		}
	}
}
