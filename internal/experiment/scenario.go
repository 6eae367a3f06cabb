package experiment

import "time"

// Scenario names a kind of day.
type Scenario string

// The scenarios.
const (
	Steady       Scenario = "Steady"
	WakeUp       Scenario = "WakeUp"
	Tenfold      Scenario = "Tenfold"
	DomainLost   Scenario = "DomainLost"
	DomainCut    Scenario = "DomainCut"
	StaleReports Scenario = "StaleReports"
	VMsReplaced  Scenario = "VMsReplaced"
	StoreLost    Scenario = "StoreLost"
)

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{Steady, WakeUp, Tenfold, DomainLost, DomainCut, StaleReports, VMsReplaced, StoreLost}
}

const (
	// trouble is when a scenario's fault begins.
	trouble = 20 * time.Second
	// wakeUpFactor is how many times the load arrives in the wake-up second.
	wakeUpFactor = 10
	// rise is over how long one model's demand grows tenfold.
	rise = 20 * time.Second
)

// begin arranges the faults of a scenario.
func (s Scenario) begin(w *world) {
	switch s {
	case DomainLost:
		w.at(trouble, func() {
			for _, e := range w.engines {
				if e.domain == 0 {
					e.fail(w)
				}
			}
		})
	case DomainCut:
		w.at(trouble, func() { w.cut = 0 })
	case VMsReplaced:
		w.at(trouble, func() {
			for i, v := range w.vms {
				if i%2 == 0 {
					v.forget()
					v.readReports()
				}
			}
		})
	case StoreLost:
		w.at(0, func() { w.storeDown = true })
	}
}

// rate is the factor on the load at a time.
func (s Scenario) rate(now time.Duration) float64 {
	if s == WakeUp && now >= trouble && now < trouble+time.Second {
		return wakeUpFactor
	}
	return 1
}

// model draws which model a call is for.
func (s Scenario) model(w *world, models int) int {
	if (s == Tenfold || s == StoreLost) && w.random.Float64() < s.hot(w.now) {
		return models / 2
	}
	// A few models get most of the calls.
	u := w.random.Float64()
	rank := 0
	sum := 0.0
	for i := range models {
		sum += 1 / float64(i+1)
	}
	for i, part := 0, 0.0; i < models; i++ {
		part += 1 / float64(i+1) / sum
		if u < part {
			rank = i
			break
		}
	}
	return rank
}

// hot is the part of all calls that the one growing model takes on top of its own.
func (s Scenario) hot(now time.Duration) float64 {
	if now < trouble {
		return 0
	}
	return 0.3 * min(1, float64(now-trouble)/float64(rise))
}
