package experiment

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/placement"
)

const (
	loadTime = 2 * time.Second
	// unloadTime is the delay until a report shows that a model was unloaded.
	unloadTime = 250 * time.Millisecond
)

// domainPlanner runs the production planner for one failure domain.
type domainPlanner struct {
	sim        *simulation
	domain     int
	planner    *placement.Planner
	meter      *placement.Meter
	callCounts map[string]uint64
}

func newDomainPlanner(sim *simulation, domain int) *domainPlanner {
	return &domainPlanner{
		sim:        sim,
		domain:     domain,
		planner:    placement.New(),
		meter:      placement.NewMeter(),
		callCounts: make(map[string]uint64),
	}
}

// planAll runs the planners of all failure domains. It is the same for every policy: policies differ only in how they
// admit and route calls.
func (sim *simulation) planAll() {
	for _, p := range sim.planners {
		p.plan()
	}
}

func (p *domainPlanner) plan() {
	p.meter.Observe(p.callCounts, time.Second, 1)
	p.callCounts = make(map[string]uint64)
	planner := p.planner
	if p.sim.run.NoHysteresis {
		planner = placement.NewEager()
	}
	for _, move := range planner.Plan(p.sim.virtualTime(), p.planInput()) {
		p.execute(move)
	}
}

func (p *domainPlanner) planInput() placement.Input {
	sim := p.sim
	c := sim.deployment.Configuration
	in := placement.Input{
		MovePrice: c.Presets[0].MovePrice,
		MaxLoads:  max(1, c.Store.LoadsAtOnce/len(c.FailureDomains)),
		LoadTime:  loadTime,
	}
	if p.sim.run.NoHysteresis {
		in.MovePrice = 0
	}
	for _, model := range c.Models {
		calls, _ := p.meter.Demand(model.Name)
		in.Targets = append(in.Targets, placement.Target{
			Model:               model.Name,
			Bytes:               c.ReplicaBytes(model),
			Floor:               1,
			KeepLast:            true,
			ServedByOtherDomain: true,
			CallsPerSecond:      calls,
			AnswerTime:          p.slotTime(),
		})
	}
	for _, e := range sim.engines {
		if e.domain != p.domain || e.down {
			continue
		}
		runner := p.runner(e)
		in.MaxLoads -= loadingCount(runner)
		in.Runners = append(in.Runners, runner)
	}
	in.MaxLoads = max(in.MaxLoads, 0)
	return in
}

// slotTime returns the effective time for which a call occupies a slot. The engine's throughput is limited by prefill, so
// it is the mean prefill time of a prompt multiplied by the number of slots.
func (p *domainPlanner) slotTime() time.Duration {
	spec := p.sim.deployment.Engine
	return time.Duration(float64(spec.Slots) * meanPromptTokens / spec.PrefillPerSecond * float64(time.Second))
}

func (p *domainPlanner) runner(e *engine) placement.Runner {
	runner := placement.Runner{
		Name:  e.name,
		Slots: e.spec.Slots,
	}
	for _, a := range e.accelerators {
		ledgerAccount := ledger.AcceleratorMemory{
			CapacityBytes: a.capacityBytes,
			ReservedBytes: a.capacityBytes - a.freeBytes(),
			Models:        make(map[string]ledger.Status),
		}
		for name, m := range a.models {
			ledgerAccount.Models[name] = ledger.Status{
				Bytes:     m.bytes,
				Present:   true,
				Ready:     m.readyAt <= p.sim.now,
				Unloading: m.unloading,
			}
		}
		runner.Accelerators = append(runner.Accelerators, ledgerAccount)
	}
	return runner
}

func loadingCount(r placement.Runner) int {
	n := 0
	for _, memory := range r.Accelerators {
		for _, status := range memory.Models {
			if !status.Ready {
				n++
			}
		}
	}
	return n
}

func (p *domainPlanner) execute(move placement.Move) {
	sim := p.sim
	for _, e := range sim.engines {
		if e.name != move.Runner {
			continue
		}
		models := e.accelerators[move.Accelerator].models
		if move.Action == endpoint.Unload {
			m := models[move.Model]
			m.unloading = true
			models[move.Model] = m
			sim.schedule(sim.now+unloadTime, func() { delete(models, move.Model) })
			continue
		}
		if sim.storeDown {
			continue
		}
		sim.result.Moves++
		models[move.Model] = loadedModel{
			bytes:   move.Bytes,
			readyAt: sim.now + loadTime,
		}
	}
}
