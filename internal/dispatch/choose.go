package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// requestCost is what each request at a runner adds to the expected time of the next one.
	requestCost = 6 * time.Millisecond
	// failurePenalty is what a runner's failures add to its expected time if every attempt fails.
	failurePenalty = 300 * time.Millisecond
	// scoreTolerance is how much worse than the best a runner may be and still be chosen, so that VMs with the same view
	// spread their requests.
	scoreTolerance = 4 * time.Millisecond
)

// choice is the runner chosen for an attempt, with the figures behind the choice.
type choice struct {
	runner   *roster.Runner
	score    time.Duration
	inFlight int
	loadAge  time.Duration
	// holders is how many runners have the model; ready is how many of these could take the request.
	holders int
	ready   int
}

// requirements describes the runner that a request needs.
type requirements struct {
	service string
	model   string
	adapter string
	// tried lists the runners that the request was already sent to.
	tried []string
}

// choose returns the runner with the shortest expected time for a request, or a choice without a runner if none can take
// it. It falls back on runners in backoff if there is no other.
func (t *Tracker) choose(view *roster.View, needs requirements, now time.Time) choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.bestRunner(view, needs, now, false)
	if best.runner == nil && best.holders > 0 {
		best = t.bestRunner(view, needs, now, true)
	}
	return best
}

// bestRunner chooses among the runners that are not in backoff, or among all; the caller holds the lock.
func (t *Tracker) bestRunner(view *roster.View, needs requirements, now time.Time, includeBackoff bool) choice {
	var best choice
	if needs.model == "" {
		for _, runner := range view.Service(needs.service) {
			t.consider(&best, runner, needs, now, includeBackoff)
		}
		return best
	}
	for _, runner := range view.RunnersWithModel(needs.service, needs.model) {
		t.consider(&best, runner, needs, now, includeBackoff)
	}
	// Runners that loaded the model recently do not list it in their registrations yet.
	for id := range t.observed {
		runner, known := view.Runner(id)
		if known && runner.Service == needs.service && !runner.HasLoaded(needs.model, "") {
			t.consider(&best, runner, needs, now, includeBackoff)
		}
	}
	return best
}

// consider replaces the best choice if the runner is better; the caller holds the lock.
func (t *Tracker) consider(best *choice, runner *roster.Runner, needs requirements, now time.Time, includeBackoff bool) {
	state := t.runners[runner.ID]
	if !hasModel(runner, state, needs, now) {
		return
	}
	best.holders++
	if runner.Draining || slices.Contains(needs.tried, runner.ID) || (!includeBackoff && state != nil && state.backingOff(now)) {
		return
	}
	best.ready++
	score := t.score(runner, state, now)
	if best.runner != nil && score >= best.score-scoreTolerance && (score >= best.score+scoreTolerance || rand.IntN(best.ready) != 0) {
		return
	}
	best.runner = runner
	best.score = score
	best.inFlight, best.loadAge = 0, 0
	if state != nil {
		best.inFlight, best.loadAge = state.inFlight(), now.Sub(state.updatedAt)
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

func (t *Tracker) score(runner *roster.Runner, state *runnerState, now time.Time) time.Duration {
	score := t.roundTrips.RoundTrip(runner.FailureDomain)
	if state == nil {
		return score
	}
	inFlight := state.inFlight()
	score += time.Duration(inFlight) * requestCost
	if excess := inFlight - runner.Slots + 1; runner.Slots > 0 && excess > 0 {
		serviceTime := state.serviceTime
		if serviceTime == 0 {
			serviceTime = initialServiceTime
		}
		score += time.Duration(excess) * serviceTime / time.Duration(runner.Slots)
	}
	return score + time.Duration(state.decayedFailureRate(now)*float64(failurePenalty))
}
