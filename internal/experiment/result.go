package experiment

import (
	"maps"
	"slices"
	"time"
)

// Run is the configuration of one simulation run.
type Run struct {
	Deployment string
	Scenario   Scenario
	Policy     Policy
	// Load is the rate at which calls arrive, as a fraction of the engines' capacity.
	Load     float64
	Duration time.Duration
	Seed     uint64
	// NoHysteresis makes the planner move models at no cost and as soon as demand changes.
	NoHysteresis bool
}

// Result is the outcome of one run.
type Result struct {
	Run        Run
	Calls      int
	Admitted   int
	Attained   int
	Late       int
	Refused    int
	Lost       int
	Moves      int
	CrossBytes uint64
	// PerAccelerator is the goodput per accelerator: calls answered in time per second.
	PerAccelerator float64
	// InTime is the fraction of the admitted calls that were answered in time.
	InTime float64
	// Fairness is Jain's fairness index over the fraction of each caller's calls that were answered in time.
	Fairness float64
}

// Simulate runs one simulation; it fails with deployment.UnknownError.
func Simulate(r Run) (Result, error) {
	sim, err := newSimulation(r)
	if err != nil {
		return Result{}, err
	}
	return sim.execute(), nil
}

func (sim *simulation) summarize() Result {
	r := sim.result
	accelerators := 0
	for _, e := range sim.engines {
		accelerators += len(e.accelerators)
	}
	r.PerAccelerator = float64(r.Attained) / float64(accelerators) / r.Run.Duration.Seconds()
	if r.Admitted > 0 {
		r.InTime = float64(r.Attained) / float64(r.Admitted)
	}
	r.Fairness = sim.jainIndex()
	return r
}

// jainIndex returns Jain's fairness index over the fraction of each caller's calls that were answered in time. Every
// caller has the same weight, however many calls it makes.
func (sim *simulation) jainIndex() float64 {
	var sum, squares, n float64
	for _, caller := range slices.Sorted(maps.Keys(sim.statsByCaller)) {
		s := sim.statsByCaller[caller]
		if s.calls == 0 {
			continue
		}
		rate := float64(s.attained) / float64(s.calls)
		sum += rate
		squares += rate * rate
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}
