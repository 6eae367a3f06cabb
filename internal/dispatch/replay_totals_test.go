package dispatch

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// chooseWithFullKnowledge replaces the choice by that of a VM that knows every runner's present requests.
func (r *replay) chooseWithFullKnowledge() {
	r.choose = func(request *replayRequest) (*replayRunner, time.Duration, float64) {
		var best *replayRunner
		bestCost := time.Duration(0)
		for _, runner := range r.ordered {
			queued := max(runner.inFlight()-r.slots+1, 0)
			cost := r.roundTrip(request.vm, runner) + time.Duration(runner.inFlight())*6*time.Millisecond +
				time.Duration(float64(queued)*runner.slowness)*r.serviceTime/time.Duration(r.slots)
			if best == nil || cost < bestCost {
				best, bestCost = runner, cost
			}
		}
		return best, bestCost, 1
	}
}

// sendTotals sums the requests that all VMs have at each runner and delivers the totals to every VM.
func (r *replay) sendTotals() {
	totals := make(roster.Occupancy)
	for vm, tracker := range r.trackers {
		if r.linked(vm) {
			totals.Add(tracker.Occupancy())
		}
	}
	statements := r.statements()
	perSecond := float64(r.attempts) / r.totalsInterval.Seconds()
	r.attempts = 0
	r.at(r.now+r.totalsDelay, func() {
		for vm, tracker := range r.trackers {
			if !r.linked(vm) {
				continue
			}
			tracker.ApplyOccupancy(totals, start.Add(r.now))
			tracker.ApplyBrittleness(statements, start.Add(r.now))
			tracker.ApplyRequestRate("s", "m", perSecond, start.Add(r.now))
		}
	})
	if r.now < r.duration {
		r.at(r.now+r.totalsInterval, r.sendTotals)
	}
}
