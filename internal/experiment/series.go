package experiment

import "time"

// Loads are the parts of what the accelerators can carry at which each scenario is run.
var Loads = []float64{0.7, 1, 1.5, 3}

const (
	runTime = time.Minute
	runSeed = 1
)

// Comparison is one scenario and load under every policy, and under a planner without hysteresis.
type Comparison struct {
	Scenario Scenario
	Load     float64
	Results  map[Policy]Result
	Eager    Result
}

// OfOracle returns our attained answers as a part of the oracle's.
func (c Comparison) OfOracle() float64 {
	return float64(c.Results[Ours].Attained) / float64(max(c.Results[Oracle].Attained, 1))
}

// Compare plays a scenario and load under every policy.
func Compare(deployment string, scenario Scenario, load float64) (Comparison, error) {
	c := Comparison{
		Scenario: scenario,
		Load:     load,
		Results:  make(map[Policy]Result),
	}
	run := Run{
		Deployment: deployment,
		Scenario:   scenario,
		Load:       load,
		Duration:   runTime,
		Seed:       runSeed,
	}
	for _, policy := range Policies() {
		run.Policy = policy
		result, err := Play(run)
		if err != nil {
			return c, err
		}
		c.Results[policy] = result
	}
	run.Policy = Ours
	run.NoHysteresis = true
	var err error
	c.Eager, err = Play(run)
	return c, err
}

// CompareAll plays every scenario and load.
func CompareAll(deployment string) ([]Comparison, error) {
	var all []Comparison
	for _, scenario := range Scenarios() {
		for _, load := range Loads {
			c, err := Compare(deployment, scenario, load)
			if err != nil {
				return nil, err
			}
			all = append(all, c)
		}
	}
	return all, nil
}
