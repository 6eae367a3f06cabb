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
	// failureCost is what a runner's failing adds to the expected time when every send fails.
	failureCost = 300 * time.Millisecond
	// similar is how much worse than the best a choice may be and still be taken, so that VMs with the same view
	// spread their requests.
	similar = 4 * time.Millisecond
)

// choice is where a request goes and what decided it.
type choice struct {
	runner   *roster.Runner
	score    time.Duration
	occupied int
	age      time.Duration
	// holders is how many runners have the model, ready how many of these could be sent to.
	holders int
	ready   int
}

// wanted describes the runner that a request needs.
type wanted struct {
	service string
	model   string
	adapter string
	// tried lists the runners that already had the request.
	tried []string
}

// choose returns the runner with the least expected time for a request; its runner is nil when none can take it. Runners
// that are avoided come last.
func (t *Tracker) choose(view *roster.View, w wanted, now time.Time) choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.best(view, w, now, false)
	if best.runner == nil && best.holders > 0 {
		best = t.best(view, w, now, true)
	}
	return best
}

// best returns the best choice among the runners that are not avoided, or among all; the caller holds the lock.
func (t *Tracker) best(view *roster.View, w wanted, now time.Time, all bool) choice {
	var best choice
	if w.model == "" {
		for _, runner := range view.Service(w.service) {
			t.consider(&best, runner, w, now, all)
		}
		return best
	}
	for _, runner := range view.Holders(w.service, w.model) {
		t.consider(&best, runner, w, now, all)
	}
	// Runners that got the model lately do not show it in their registrations yet.
	for id := range t.noted {
		runner, known := view.Runner(id)
		if known && runner.Service == w.service && !runner.Holds(w.model, "") {
			t.consider(&best, runner, w, now, all)
		}
	}
	return best
}

// consider takes a runner for the choice if it is better; the caller holds the lock.
func (t *Tracker) consider(best *choice, runner *roster.Runner, w wanted, now time.Time, all bool) {
	l := t.loads[runner.ID]
	if !holds(runner, l, w, now) {
		return
	}
	best.holders++
	if runner.Draining || slices.Contains(w.tried, runner.ID) || (!all && l != nil && l.avoided(now)) {
		return
	}
	best.ready++
	score := t.score(runner, l, now)
	if best.runner != nil && score >= best.score-similar && (score >= best.score+similar || rand.IntN(best.ready) != 0) {
		return
	}
	best.runner = runner
	best.score = score
	best.occupied, best.age = 0, 0
	if l != nil {
		best.occupied, best.age = l.occupied(), now.Sub(l.told)
	}
}

func holds(runner *roster.Runner, l *load, w wanted, now time.Time) bool {
	if w.model == "" {
		return true
	}
	if l != nil && len(l.notes) > 0 {
		if held, known := l.learned(w.model, w.adapter, now); known {
			return held
		}
	}
	return runner.Holds(w.model, w.adapter)
}

func (t *Tracker) score(runner *roster.Runner, l *load, now time.Time) time.Duration {
	score := t.distances.To(runner.FailureDomain)
	if l == nil {
		return score
	}
	occupied := l.occupied()
	score += time.Duration(occupied) * requestCost
	if excess := occupied - runner.Slots + 1; runner.Slots > 0 && excess > 0 {
		work := l.work
		if work == 0 {
			work = firstWork
		}
		score += time.Duration(excess) * work / time.Duration(runner.Slots)
	}
	return score + time.Duration(l.failing(now)*float64(failureCost))
}
