package experiment

import "time"

// Loads are the loads at which each scenario is run, as fractions of the engines' capacity.
var Loads = []float64{0.7, 1, 1.5, 3}

const (
	runDuration = time.Minute
	runSeed     = 1
)

// Comparison holds the results of one scenario and load under every policy.
type Comparison struct {
	Scenario Scenario
	Load     float64
	Results  map[Policy]Result
	// Eager is the result of Ours with a planner without hysteresis.
	Eager Result
}

// OracleRatio returns the number of calls that Ours answers in time as a fraction of the oracle's.
func (c Comparison) OracleRatio() float64 {
	return float64(c.Results[Ours].Attained) / float64(max(c.Results[Oracle].Attained, 1))
}

// Compare simulates a scenario and load under every policy; it fails with deployment.UnknownError.
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
		Duration:   runDuration,
		Seed:       runSeed,
	}
	for _, policy := range Policies() {
		run.Policy = policy
		result, err := Simulate(run)
		if err != nil {
			return c, err
		}
		c.Results[policy] = result
	}
	run.Policy = Ours
	run.NoHysteresis = true
	var err error
	c.Eager, err = Simulate(run)
	return c, err
}

// CompareAll simulates every scenario at every load in Loads.
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
