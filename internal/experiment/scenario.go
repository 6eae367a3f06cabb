package experiment

import "time"

// Scenario names a pattern of load and faults.
type Scenario string

// Scenarios that a run can simulate.
const (
	Steady Scenario = "Steady"
	// WakeUp multiplies the load by wakeUpFactor for one second.
	WakeUp Scenario = "WakeUp"
	// Tenfold lets the demand for one model grow tenfold over rampTime.
	Tenfold Scenario = "Tenfold"
	// DomainLost fails all engines of one failure domain.
	DomainLost Scenario = "DomainLost"
	// DomainCut disconnects one failure domain from the others.
	DomainCut Scenario = "DomainCut"
	// StaleReports lengthens the interval between load reports.
	StaleReports Scenario = "StaleReports"
	// VMsReplaced replaces half of the entry VMs, which lose their state.
	VMsReplaced Scenario = "VMsReplaced"
	// StoreLost has the load of Tenfold while the weight store is down, so that no model can be loaded.
	StoreLost Scenario = "StoreLost"
)

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{Steady, WakeUp, Tenfold, DomainLost, DomainCut, StaleReports, VMsReplaced, StoreLost}
}

const (
	// faultTime is when a scenario's fault or load change begins.
	faultTime = 20 * time.Second
	// wakeUpFactor multiplies the load during the one-second burst of WakeUp.
	wakeUpFactor = 10
	// rampTime is how long the demand for one model takes to grow tenfold.
	rampTime = 20 * time.Second
)

// scheduleFaults schedules the faults of a scenario.
func (s Scenario) scheduleFaults(sim *simulation) {
	switch s {
	case DomainLost:
		sim.schedule(faultTime, func() {
			for _, e := range sim.engines {
				if e.domain == 0 {
					e.fail(sim)
				}
			}
		})
	case DomainCut:
		sim.schedule(faultTime, func() { sim.isolatedDomain = 0 })
	case VMsReplaced:
		sim.schedule(faultTime, func() {
			for i, v := range sim.vms {
				if i%2 == 0 {
					v.reset()
					v.readReports()
				}
			}
		})
	case StoreLost:
		sim.schedule(0, func() { sim.storeDown = true })
	}
}

// loadFactor returns the factor by which the scenario multiplies the load at a time.
func (s Scenario) loadFactor(now time.Duration) float64 {
	if s == WakeUp && now >= faultTime && now < faultTime+time.Second {
		return wakeUpFactor
	}
	return 1
}

// drawModel returns the index of a random model for a call.
func (s Scenario) drawModel(sim *simulation, models int) int {
	if (s == Tenfold || s == StoreLost) && sim.random.Float64() < s.hotShare(sim.now) {
		return models / 2
	}
	// Popularity follows Zipf's law: a few models get most of the calls.
	draw := sim.random.Float64()
	rank := 0
	totalWeight := 0.0
	for i := range models {
		totalWeight += 1 / float64(i+1)
	}
	for i, cumulative := 0, 0.0; i < models; i++ {
		cumulative += 1 / float64(i+1) / totalWeight
		if draw < cumulative {
			rank = i
			break
		}
	}
	return rank
}

// hotShare returns the fraction of all calls that the model with growing demand gets on top of its usual calls.
func (s Scenario) hotShare(now time.Duration) float64 {
	if now < faultTime {
		return 0
	}
	return 0.3 * min(1, float64(now-faultTime)/float64(rampTime))
}
