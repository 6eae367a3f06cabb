package dispatch

import (
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/loadbalance"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// failurePenalty is what a runner's failures add to its expected time if every attempt fails.
	failurePenalty = 300 * time.Millisecond
	// maxCandidates is how many runners are compared for a request; of more, a random sample is.
	maxCandidates = 32
)

// choice is the runner or the VM chosen for an attempt, with the figures behind the choice.
type choice struct {
	runner *roster.Runner
	// proxied is set if runner is another VM, through which the request is to be sent.
	proxied  bool
	score    time.Duration
	inFlight int
	loadAge  time.Duration
	// withModel is how many runners have the model, or how many the service has if the request needs no model; ready is how
	// many of these could take the request.
	withModel int
	ready     int
	// staying is how many of withModel are not about to stop; pause is the time until the first of these takes requests, 0 if one
	// does so now.
	staying int
	pause   time.Duration
	// admit is the share of requests for the model that its runners can serve within the limit.
	admit float64
	// pace is the pace of the runner, 0 if it isn't known, and paceFactor how much longer requests take there than at the mean one.
	pace       int
	paceFactor float64
	// supply is what the ready runners can serve, demand the number of requests per second to the model or 0 if it isn't known.
	supply loadbalance.Supply
	demand float64
}

// requirements describes the runner that a request needs.
type requirements struct {
	service string
	model   string
	adapter string
	// limit is the wait within which the runners should serve a request, 0 if there is none.
	limit time.Duration
	// pauses describes how the stream may pause.
	pauses pauseRequirement
	// release is the only release of runners that suits, or nil if any does.
	release *string
	// vms is the number of VMs that share the runners.
	vms int
	// urgent is set if the request ranks before those that runners let wait.
	urgent bool
	// tried lists the runners that the request was already sent to.
	tried []string
}

// choose returns a runner for a request, or a choice without a runner if none can take it. It falls back on runners in backoff if
// there is no other.
func (t *Tracker) choose(view *roster.View, needs requirements, now time.Time) choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = needs.vms
	t.preparePaces(view, needs, now)
	best := t.pickRunner(view, needs, now, false)
	if best.runner == nil && best.withModel > 0 {
		best = t.pickRunner(view, needs, now, true)
	}
	return best
}

// pickRunner picks among the runners that are not in backoff, or among all; the caller holds the lock.
func (t *Tracker) pickRunner(view *roster.View, needs requirements, now time.Time, includeBackoff bool) choice {
	var best choice
	t.compared, t.candidates = t.compared[:0], t.candidates[:0]
	t.collect(&best, view, needs, now, includeBackoff)
	i, expected := t.picker.Pick(t.candidates, t.random())
	if i < 0 {
		return best
	}
	best.runner = t.compared[i]
	best.admit = 1
	if needs.limit > 0 {
		best.admit = t.picker.Admit(needs.limit, t.knownRate(needs.service, needs.model, now)*float64(len(t.compared))/float64(best.ready))
	}
	if needs.limit > 0 {
		best.supply = t.picker.Supply(needs.limit).Scale(float64(best.ready) / float64(len(t.compared)))
		best.demand = t.knownRate(needs.service, needs.model, now)
	}
	// The preference among runners is no time that the caller waits.
	best.score = expected - t.candidates[i].Penalty
	best.inFlight = t.candidates[i].Own + t.candidates[i].Others
	best.loadAge = t.candidates[i].Age
	best.pace, best.paceFactor = t.knownPace(best.runner)
	return best
}

// collect collects the runners that can take a request; the caller holds the lock.
func (t *Tracker) collect(best *choice, view *roster.View, needs requirements, now time.Time, includeBackoff bool) {
	if needs.model == "" {
		for _, runner := range view.Service(needs.service) {
			t.consider(best, runner, needs, now, includeBackoff)
		}
		return
	}
	for _, runner := range view.RunnersWithModel(needs.service, needs.model) {
		t.consider(best, runner, needs, now, includeBackoff)
	}
	// Runners that loaded the model recently do not list it in their registrations yet.
	for id := range t.observed {
		runner, known := view.Runner(id)
		if known && runner.Service == needs.service && !runner.HasLoaded(needs.model, "") {
			t.consider(best, runner, needs, now, includeBackoff)
		}
	}
}

// consider counts a runner and, if it can take the request, compares it with the others; the caller holds the lock.
func (t *Tracker) consider(best *choice, runner *roster.Runner, needs requirements, now time.Time, includeBackoff bool) {
	state := t.runners[runner.ID]
	if needs.release != nil && runner.Release != *needs.release || !hasModel(runner, state, needs, now) {
		return
	}
	best.withModel++
	if runner.Draining || state.isLeaving(runner) {
		return
	}
	hasRoom, roomIn := t.roomAt(runner, state, needs, now)
	pause := max(state.pauseLeft(runner, now), roomIn)
	if best.staying++; best.staying == 1 || pause < best.pause {
		best.pause = pause
	}
	if pause > 0 || !hasRoom || slices.Contains(needs.tried, runner.ID) || (!includeBackoff && state != nil && state.backingOff(now)) {
		return
	}
	best.ready++
	if len(t.compared) < maxCandidates {
		t.compared = append(t.compared, runner)
		t.candidates = append(t.candidates, t.candidate(runner, state, needs, now))
		return
	}
	if i := int(t.random() * float64(best.ready)); i < maxCandidates {
		t.compared[i] = runner
		t.candidates[i] = t.candidate(runner, state, needs, now)
	}
}

func hasModel(runner *roster.Runner, state *runnerState, needs requirements, now time.Time) bool {
	if needs.model == "" {
		return true
	}
	if state != nil && len(state.observations) > 0 {
		if held, known := state.observed(needs.model, needs.adapter, now); known {
			return held
		}
	}
	return runner.HasLoaded(needs.model, needs.adapter)
}

// candidate returns what is known of a runner's load; the caller holds the lock.
func (t *Tracker) candidate(runner *roster.Runner, state *runnerState, needs requirements, now time.Time) loadbalance.Candidate {
	c := loadbalance.Candidate{
		Base:        t.roundTrips.RoundTrip(runner.FailureDomain),
		Slots:       runner.Slots,
		ServiceTime: t.serviceTime(runner.Service),
	}
	t.applyPace(&c, runner, state, needs, now)
	if state == nil {
		return c
	}
	c.Base += time.Duration(state.decayedFailureRate(now) * float64(failurePenalty))
	c.Own, c.Others = state.ownRequests, state.otherRequests
	c.Age = now.Sub(state.updatedAt)
	return c
}

// serviceTime returns how long a request of a service takes at a runner; the caller holds the lock.
func (t *Tracker) serviceTime(service string) time.Duration {
	if measured, ok := t.serviceTimes[service]; ok {
		return measured
	}
	return initialServiceTime
}
