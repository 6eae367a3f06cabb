package reach

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// minRunners is how many runners must fail to raise a suspicion, and must answer to end a cut, if as many are registered.
	minRunners = 2
	// failureWindow is the time within which failures at several runners raise a suspicion.
	failureWindow = time.Second
	// probeWidth is how many runners are probed on a suspicion.
	probeWidth = 4
	// confirmDelay is the shortest time between the first and the last failed probe of a suspicion: a service that restarts refuses
	// connections within a millisecond.
	confirmDelay = 100 * time.Millisecond
	// scoutInterval and maxScoutInterval bound the time between two probes while this VM is cut off.
	scoutInterval    = 250 * time.Millisecond
	maxScoutInterval = time.Second
	// scoutsPerRunner is how many probes per second a runner gets from all VMs if all are cut off, as far as maxScoutInterval allows.
	scoutsPerRunner = 5
	// secondScouts is how many other runners are probed once one has answered.
	secondScouts = 2
)

// Fleet is what a Detector must know of the system and of this VM's requests at the time of a step.
type Fleet struct {
	Runners *roster.View
	// VMs is the number of entry VMs.
	VMs int
	// Waiting is at how many runners requests of this VM are in flight, Silence the shortest time for which one of them sent nothing.
	Waiting int
	Silence time.Duration
}

// Evidence is what led to a suspicion.
type Evidence struct {
	// At is when the suspicion was raised.
	At time.Time
	// Silent is the number of runners that were silent for the time of Silence, if that was evidence.
	Silent  int
	Silence time.Duration
	// Failed is the number of runners to which connections failed, if that was evidence.
	Failed int
	// Probes is how many probes failed then.
	Probes int
}

// phase is what the next probes of a Detector are for.
type phase int

const (
	// reaching: there is no suspicion.
	reaching phase = iota
	// suspecting: the first probes are in progress.
	suspecting
	// confirming: these failed too soon, and others follow.
	confirming
	// scouting: this VM is cut off, and one runner at a time is probed.
	scouting
	// returning: that runner answered, and others follow at once.
	returning
)

// Detector decides whether this VM reaches the runners, and which runners are to be probed for that. It has no I/O, goroutines or
// clock, and is not safe for concurrent use.
type Detector struct {
	choice choice
	phase  phase
	// countFrom is the time before which silence doesn't count.
	countFrom time.Time
	// failures holds the last failure at each runner.
	failures     map[string]time.Time
	silenceAlarm alarm
	failureAlarm alarm
	// dismissed is the largest number of runners with failures as evidence that probes have refuted lately.
	dismissed   int
	evidence    Evidence
	confirmAt   time.Time
	cutOffSince time.Time
	nextScout   time.Time
}

// NewDetector returns a detector of a VM that starts now; random returns a number in [0, n).
func NewDetector(now time.Time, random func(n int) int) *Detector {
	return &Detector{
		choice: choice{
			random: random,
		},
		countFrom: now,
		failures:  make(map[string]time.Time),
		silenceAlarm: alarm{
			base:  400 * time.Millisecond,
			limit: 3200 * time.Millisecond,
		},
		failureAlarm: alarm{
			base:  250 * time.Millisecond,
			limit: 4 * time.Second,
		},
	}
}

// CutOff reports whether this VM reaches no runner.
func (d *Detector) CutOff() bool { return d.phase >= scouting }

// CutOffSince returns when this VM was last found cut off.
func (d *Detector) CutOffSince() time.Time { return d.cutOffSince }

// Evidence returns what led to the last suspicion.
func (d *Detector) Evidence() Evidence { return d.evidence }

// RecordFailure records that a connection to a runner failed.
func (d *Detector) RecordFailure(runner string, now time.Time) { d.failures[runner] = now }

// Resume records that this process stood still until now, so that what it missed is no evidence.
func (d *Detector) Resume(now time.Time) {
	d.clear(now)
	if d.CutOff() {
		d.phase = scouting
		return
	}
	d.phase = reaching
}

// Next returns the runners to be probed now, all at once; Record must be called with the result before Next is called again.
func (d *Detector) Next(fleet Fleet, now time.Time) []*roster.Runner {
	registered := len(fleet.Runners.All())
	if registered == 0 {
		d.clear(now)
		d.phase = reaching
		return nil
	}
	switch d.phase {
	case reaching:
		if d.suspect(fleet, now) {
			d.phase = suspecting
			return d.choice.pick(fleet.Runners, probeWidth, d.failures)
		}
	case confirming:
		if !now.Before(d.confirmAt) {
			return d.choice.pick(fleet.Runners, probeWidth, d.failures)
		}
	case scouting:
		if !now.Before(d.nextScout) {
			d.nextScout = now.Add(interval(fleet.VMs, registered))
			return d.choice.pick(fleet.Runners, 1, nil)
		}
	case returning:
		if registered >= minRunners {
			return d.choice.pickOthers(fleet.Runners, secondScouts)
		}
		d.reach(now)
	}
	return nil
}

// Record records whether any of the probes that Next returned last, a number of them, opened a connection; they began at a time, and
// now the first has opened one or all have failed.
func (d *Detector) Record(opened bool, probes int, began, now time.Time) {
	switch {
	case d.phase == scouting && opened:
		d.phase = returning
	case d.phase == returning && opened:
		d.reach(now)
	case d.CutOff():
		d.phase = scouting
	case opened:
		d.dismiss(now)
	default:
		d.evidence.Probes += probes
		if d.phase == suspecting && now.Sub(began) < confirmDelay {
			d.phase = confirming
			d.confirmAt = began.Add(confirmDelay)
			return
		}
		d.phase = scouting
		d.cutOffSince = now
		d.nextScout = now.Add(scoutInterval)
	}
}

// suspect reports whether there is evidence that this VM reaches no runner, and keeps it.
func (d *Detector) suspect(fleet Fleet, now time.Time) bool {
	silence := min(fleet.Silence, now.Sub(d.countFrom))
	silent := fleet.Waiting >= minRunners && silence >= d.silenceAlarm.wait(now)
	failed, failing := d.failing(fleet.Runners, now)
	if !silent && !failing {
		return false
	}
	d.evidence = Evidence{At: now}
	if silent {
		d.evidence.Silent, d.evidence.Silence = fleet.Waiting, silence
	}
	if failing {
		d.evidence.Failed = failed
	}
	return true
}

// Pending reports whether failures at runners are evidence that this VM reaches none, on which the probes have not decided yet.
func (d *Detector) Pending(view *roster.View, now time.Time) bool {
	if d.phase == suspecting || d.phase == confirming {
		return d.evidence.Failed > 0
	}
	_, failing := d.failing(view, now)
	return d.phase == reaching && failing
}

// failing returns at how many runners there were failures, and whether they are evidence: at several runners, or at all of a service.
// Evidence that probes have refuted counts again after a wait, or once there is twice as much of it.
func (d *Detector) failing(view *roster.View, now time.Time) (failed int, evidence bool) {
	services := make(map[string]int)
	for id, at := range d.failures {
		if now.Sub(at) > failureWindow {
			delete(d.failures, id)
			continue
		}
		if runner, registered := view.Runner(id); registered {
			failed++
			services[runner.Service]++
		}
	}
	evidence = failed >= minRunners
	for service, n := range services {
		evidence = evidence || n == len(view.Service(service))
	}
	waited := now.Sub(d.failureAlarm.last) >= d.failureAlarm.wait(now)
	return failed, evidence && (waited || failed >= 2*d.dismissed)
}

// dismiss ends a suspicion that probes have refuted.
func (d *Detector) dismiss(now time.Time) {
	if d.evidence.Silent > 0 {
		d.silenceAlarm.raise(now)
	}
	if d.evidence.Failed > 0 {
		if d.failureAlarm.wait(now) == d.failureAlarm.base {
			d.dismissed = 0
		}
		d.failureAlarm.raise(now)
		d.dismissed = max(d.dismissed, d.evidence.Failed)
	}
	d.clear(now)
	d.phase = reaching
}

// reach ends a cut.
func (d *Detector) reach(now time.Time) {
	d.clear(now)
	d.phase = reaching
}

// clear drops all evidence.
func (d *Detector) clear(now time.Time) {
	d.countFrom = now
	clear(d.failures)
}

// interval returns the time between two probes of a VM that is cut off, so that runners aren't flooded if all VMs are.
func interval(vms, runners int) time.Duration {
	shared := time.Duration(vms) * time.Second / time.Duration(scoutsPerRunner*runners)
	return min(max(shared, scoutInterval), maxScoutInterval)
}
