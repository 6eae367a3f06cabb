package experiment

import (
	"maps"
	"slices"
	"time"
)

// Run is one experiment.
type Run struct {
	Deployment string
	Scenario   Scenario
	Policy     Policy
	// Load is the calls that arrive, as a part of what the accelerators can carry.
	Load     float64
	Duration time.Duration
	Seed     uint64
	// NoHysteresis lets the planner move without price or patience.
	NoHysteresis bool
}

// Result is what callers and operators got.
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
	// PerAccelerator is the attained answers of one accelerator in a second.
	PerAccelerator float64
	// InTime is the part of the admitted calls that were answered in time.
	InTime float64
	// Fairness is Jain's index over the callers' attained shares.
	Fairness float64
}

// Play runs one experiment; it fails with deployment.UnknownError.
func Play(r Run) (Result, error) {
	w, err := newWorld(r)
	if err != nil {
		return Result{}, err
	}
	return w.play(), nil
}

func (w *world) summary() Result {
	r := w.result
	accelerators := 0
	for _, e := range w.engines {
		accelerators += len(e.accounts)
	}
	r.PerAccelerator = float64(r.Attained) / float64(accelerators) / r.Run.Duration.Seconds()
	if r.Admitted > 0 {
		r.InTime = float64(r.Attained) / float64(r.Admitted)
	}
	r.Fairness = w.jain()
	return r
}

// jain returns the fairness of how many answers callers attained, heavy callers counting like the others.
func (w *world) jain() float64 {
	var sum, squares, n float64
	for _, caller := range slices.Sorted(maps.Keys(w.byCaller)) {
		s := w.byCaller[caller]
		if s.calls == 0 {
			continue
		}
		part := float64(s.attained) / float64(s.calls)
		sum += part
		squares += part * part
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}
