package dispatch

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/brittle"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// brittleTime is a time in which runners let fewer requests wait and fall over if they reject too many within a second.
type brittleTime struct {
	// stated is set if the runners say so in their answers, from statedFrom on.
	stated               bool
	statedFrom, from, to time.Duration
	tolerance, queue     int
	downFor              time.Duration
	// unlinked is the share of VMs that neither report their requests to the others nor get the totals.
	unlinked float64
	// assumedVMs is how many VMs each of them takes for granted, 0 if it knows their number.
	assumedVMs int
	// skew is how many times as many requests the first VM gets as the others.
	skew int
}

// brittleRunner is what a runner counts in a brittle time.
type brittleRunner struct {
	rejections []time.Duration
	downUntil  time.Duration
	// starts counts how often the runner fell over; requests of an earlier start are lost.
	starts int
	// active lists the requests that the runner works on.
	active []*replayRequest
}

// queueLimit returns how many requests may wait at a runner.
func (r *replay) queueLimit() int {
	if b := r.brittle; b != nil && r.now >= b.from && r.now < b.to {
		return b.queue
	}
	return r.queue
}

// tolerance returns what runners state in their answers.
func (r *replay) tolerance() int {
	if b := r.brittle; b != nil && b.stated && r.now >= b.statedFrom && r.now < b.to {
		return b.tolerance
	}
	return 0
}

// linked reports whether a VM exchanges counts with the others.
func (r *replay) linked(vm int) bool {
	return r.brittle == nil || vm >= int(r.brittle.unlinked*float64(r.vms))
}

// assumedVMs returns how many VMs there are as far as they know.
func (r *replay) assumedVMs() int {
	if r.brittle != nil && r.brittle.assumedVMs > 0 {
		return r.brittle.assumedVMs
	}
	return r.vms
}

// statements returns what the lease holder, the last VM, knows of the runners after the reports of the others.
func (r *replay) statements() brittle.Statements {
	now := start.Add(r.now)
	holder := r.trackers[len(r.trackers)-1]
	for vm, tracker := range r.trackers {
		if r.linked(vm) {
			holder.ApplyBrittleness(tracker.BrittlenessReceived(now), now)
		}
	}
	return holder.Brittleness(now)
}

// drawVM draws the VM that gets a request.
func (r *replay) drawVM() int {
	if r.brittle == nil || r.brittle.skew == 0 {
		return r.random.IntN(r.vms)
	}
	return max(r.random.IntN(r.vms+r.brittle.skew-1)-r.brittle.skew+1, 0)
}

// reject turns a request away, and ends the runner if it did so too often.
func (r *replay) reject(request *replayRequest) {
	r.result.rejected++
	runner, tolerance := request.runner, r.tolerance()
	load := ReportedLoad{
		Running: runner.running,
		Waiting: len(runner.waiting),
		Slots:   r.slots,
	}
	if b := r.brittle; b != nil && r.now >= b.from && r.now < b.to {
		runner.rejections = slices.DeleteFunc(runner.rejections, func(at time.Duration) bool { return r.now-at >= time.Second })
		if runner.rejections = append(runner.rejections, r.now); len(runner.rejections) > b.tolerance {
			r.result.falls++
			runner.rejections, runner.downUntil = nil, r.now+b.downFor
			runner.starts++
			for _, lost := range append(runner.active, runner.waiting...) {
				r.breakOff(lost)
			}
			runner.running, runner.waiting, runner.active = 0, nil, nil
		}
	}
	r.fail(request, &Response{
		Status:  http.StatusServiceUnavailable,
		NotRun:  true,
		Brittle: tolerance,
		Load:    &load,
	})
}

// breakOff tells the VM that the connection of a request broke off.
func (r *replay) breakOff(request *replayRequest) {
	runner := request.runner
	r.at(r.now+r.roundTrip(request.vm, runner)/2, func() {
		registered, _ := r.view.Runner(runner.id)
		r.trackers[request.vm].recordResult(registered, false, start.Add(r.now))
		r.trackers[request.vm].requestEnded(roster.ModelUse{Runner: runner.id, Model: "m"})
	})
}

// fail tells the VM that the request didn't run, with the runner's response if there is one. The VM tries another runner once.
func (r *replay) fail(request *replayRequest, response *Response) {
	runner := request.runner
	r.at(r.now+r.roundTrip(request.vm, runner)/2, func() {
		tracker, now := r.trackers[request.vm], start.Add(r.now)
		registered, _ := r.view.Runner(runner.id)
		if response != nil {
			tracker.responseReceived(registered, response, now)
			tracker.loadReported(registered, *response.Load, now)
		}
		tracker.recordResult(registered, false, now)
		tracker.requestEnded(roster.ModelUse{Runner: runner.id, Model: "m"})
		if len(request.tried) > 0 {
			r.refuse(request, 0)
			return
		}
		request.tried = append(request.tried, runner.id)
		r.send(request)
	})
}

// brittleFleet is a small fleet with a popular model whose runners are brittle for 12 s, and say so 4 s before.
var brittleFleet = replayPattern{
	vms:              9,
	domains:          3,
	runnersPerDomain: 3,
	slots:            24,
	queue:            24,
	serviceTime:      700 * time.Millisecond,
	load:             1.5,
	totalsInterval:   218 * time.Millisecond,
	totalsDelay:      30 * time.Millisecond,
	objective:        500 * time.Millisecond,
	duration:         25 * time.Second,
	deadline:         4 * time.Second,
	brittle: &brittleTime{
		stated:     true,
		statedFrom: 4 * time.Second,
		from:       8 * time.Second,
		to:         20 * time.Second,
		tolerance:  3,
		queue:      3,
		downFor:    4 * time.Second,
	},
}

// While their runners say that they are brittle, VMs must not overrun them: at most 2 + a tenth of the runners may fall over, whether
// VMs hear from each other or not. If they don't say so, they fall over far more often.
func TestBrittleRunnersStayUp(t *testing.T) {
	for name, change := range map[string]func(*replayPattern){
		"overload": func(*replayPattern) {},
		"burst": func(p *replayPattern) {
			p.load, p.surge, p.surgeFrom, p.surgeTo = 0.6, 4, 9*time.Second, 15*time.Second
		},
		"without wait": func(p *replayPattern) { p.brittle.queue = 0 },
		"one rejection": func(p *replayPattern) {
			p.brittle.tolerance, p.brittle.queue = 1, 1
		},
		"urgent requests": func(p *replayPattern) { p.sendAll = true },
		"urgent requests, without wait": func(p *replayPattern) {
			p.sendAll, p.brittle.queue = true, 0
		},
		"some unlinked": func(p *replayPattern) { p.brittle.unlinked = 0.4 },
		"all unlinked":  func(p *replayPattern) { p.brittle.unlinked = 1 },
		"few slots": func(p *replayPattern) {
			p.domains, p.runnersPerDomain, p.slots, p.queue, p.serviceTime = 3, 1, 6, 6, 60*time.Millisecond
			p.brittle.queue = 1
		},
		"some unlinked, number of VMs unknown": func(p *replayPattern) { p.brittle.unlinked, p.brittle.assumedVMs = 0.4, 4 },
		"one VM with most requests":            func(p *replayPattern) { p.brittle.skew = 10 },
		"fewer processed than slots":           func(p *replayPattern) { p.registered = 36 },
		"urgent requests, fewer processed than slots": func(p *replayPattern) {
			p.registered, p.sendAll = 36, true
		},
		"many slots":  func(p *replayPattern) { p.slots, p.queue = 64, 64 },
		"large fleet": func(p *replayPattern) { p.vms, p.slots, p.queue, p.totalsInterval = 90, 64, 64, 400*time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				pattern := brittleFleet
				times := *brittleFleet.brittle
				pattern.brittle = &times
				change(&pattern)
				silentTimes := *pattern.brittle
				silentTimes.stated = false
				silent := pattern
				silent.brittle = &silentTimes
				before, got := newReplay(silent, seed).run(), newReplay(pattern, seed).run()
				t.Logf("not stated: %v", before)
				t.Logf("stated:     %v", got)
				allowed := 2 + pattern.domains*pattern.runnersPerDomain/10
				require.Greater(t, before.falls, allowed)
				require.LessOrEqual(t, got.falls, allowed)
				require.GreaterOrEqual(t, got.share(got.inTime+got.late), before.share(before.inTime+before.late))
			}
		})
	}
}

// While there is room, runners that say that they are brittle must serve as many requests as sound ones.
func TestBrittleRunnersWithRoomServeAll(t *testing.T) {
	for name, change := range map[string]func(*replayPattern){
		"many slots":  func(p *replayPattern) { p.slots = 64 },
		"some slots":  func(*replayPattern) {},
		"large fleet": func(p *replayPattern) { p.vms, p.slots, p.totalsInterval = 90, 64, 400*time.Millisecond },
		"few slots": func(p *replayPattern) {
			p.runnersPerDomain, p.slots, p.serviceTime, p.load = 1, 6, 60*time.Millisecond, 0.15
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				pattern := brittleFleet
				times := *brittleFleet.brittle
				pattern.brittle = &times
				pattern.load = 0.4
				change(&pattern)
				got := newReplay(pattern, seed).run()
				t.Log(got)
				require.Zero(t, got.falls)
				require.GreaterOrEqual(t, got.share(got.inTime+got.late), 0.995)
				require.GreaterOrEqual(t, got.share(got.inTime), 0.97)
			}
		})
	}
}
