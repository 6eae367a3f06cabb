package dispatch

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/loadbalance"
	"github.com/cowsliparch/cowsliparch/internal/pacing"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// latePauseObjectives is what a stream that pauses for too long counts in the choice of a runner, in objectives. A request in progress
// counts 6 ms, but twelve of them make only 3% more streams late; with one objective, streams went to slow runners while fast ones had
// free slots.
const latePauseObjectives = 3

// paces is what a tracker knows of the runners' paces; the tracker's lock guards it.
type paces struct {
	board  *pacing.Board
	pauses *pacing.Pauses
	// summary and prediction are those of the choice in progress.
	summary    pacing.Summary
	prediction pacing.Prediction
}

func newPaces() paces {
	return paces{
		board:  pacing.NewBoard(),
		pauses: pacing.NewPauses(),
	}
}

// pauseRequirement describes how a stream may pause. It is zero if its route has no target.
type pauseRequirement struct {
	route string
	// longest is the longest pause that is not too long, cost what one that is too long counts.
	longest time.Duration
	cost    time.Duration
}

// pauseRequirement returns how the request's stream may pause.
func (c *call) pauseRequirement() pauseRequirement {
	if c.route.Kind != catalog.Streaming || c.route.MaxEventGap <= 0 {
		return pauseRequirement{}
	}
	return pauseRequirement{
		route:   c.route.Name,
		longest: c.route.MaxEventGap,
		cost:    latePauseObjectives * c.service.MinObjective,
	}
}

// preparePaces prepares a choice; the caller holds the lock.
func (t *Tracker) preparePaces(view *roster.View, needs requirements, now time.Time) {
	t.paces.summary = t.paces.board.Summary(needs.service, view.Service(needs.service), now)
	t.paces.prediction = pacing.Prediction{}
	if t.paces.summary.Mean > 0 && needs.pauses.cost > 0 {
		t.paces.prediction = t.paces.pauses.Predict(needs.service, needs.pauses.route, needs.pauses.longest)
	}
}

// applyPace adds to a candidate what follows from the runner's pace; the caller holds the lock. Without any known pace at the service it
// changes nothing. A runner whose pace isn't known counts as one of the median pace.
func (t *Tracker) applyPace(c *loadbalance.Candidate, runner *roster.Runner, state *runnerState, needs requirements, now time.Time) {
	summary := t.paces.summary
	if summary.Mean == 0 {
		return
	}
	pace := t.paces.board.Pace(runner.ID)
	if pace == 0 {
		pace = summary.Median
	}
	if needs.pauses.cost > 0 {
		c.Penalty = time.Duration(t.paces.prediction.LateShare(pace) * float64(needs.pauses.cost))
	}
	if needs.model != "" {
		c.ServiceTime = time.Duration(float64(c.ServiceTime) * float64(pace) / summary.Mean)
		return
	}
	if state != nil && state.figure > 0 && now.Sub(state.figureAt) < selfReportTTL {
		pace = state.figure
	}
	c.ServiceTime = time.Duration(float64(c.ServiceTime) * float64(pace) / summary.Mean)
	if needs.pauses.cost == 0 {
		c.Penalty = c.ServiceTime
	}
}

// knownPace returns the pace of a runner and the factor by which requests take longer there than at the service's mean, or 0 and 1 if
// the pace isn't known; the caller holds the lock.
func (t *Tracker) knownPace(runner *roster.Runner) (pace int, factor float64) {
	pace = t.paces.board.Pace(runner.ID)
	if pace == 0 || t.paces.summary.Mean == 0 {
		return 0, 1
	}
	return pace, float64(pace) / t.paces.summary.Mean
}

// figureReported records how long work takes at a runner at the moment; the caller holds the lock.
func (t *Tracker) figureReported(runner string, figure int, now time.Time) {
	if figure <= 0 {
		return
	}
	state := t.state(runner)
	state.figure, state.figureAt = figure, now
	t.paces.board.See(runner, figure, now)
}

// recordPauses records the longest pause of a stream that one runner sent from the beginning to the end.
func (t *Tracker) recordPauses(service string, pauses pauseRequirement, longest time.Duration, pace int, now time.Time) {
	if pauses.longest <= 0 || pace <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.pauses.Record(service, pauses.route, longest, pace, now)
}

// TakeSeenPaces returns the lowest figure of each runner that reported one to this VM since the last call, or nil if none did.
func (t *Tracker) TakeSeenPaces(now time.Time) pacing.Paces {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paces.board.TakeSeen(now)
}

// RecordPaces records, at the lease holder, figures that a VM has seen.
func (t *Tracker) RecordPaces(seen pacing.Paces, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.board.Record(seen, now)
}

// TakeChangedPaces returns, at the lease holder, the paces that changed since the last call, or nil if none did.
func (t *Tracker) TakeChangedPaces(now time.Time) pacing.Paces {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.board.Record(t.paces.board.TakeSeen(now), now)
	return t.paces.board.TakeChanged()
}

// ApplyPaces records paces that the lease holder sent.
func (t *Tracker) ApplyPaces(received pacing.Paces) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.board.Apply(received)
}

// Paces returns the known paces, or nil if there are none.
func (t *Tracker) Paces() pacing.Paces {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paces.board.Known()
}

// prunePaces drops what is outdated; the caller holds the lock.
func (t *Tracker) prunePaces(view *roster.View, now time.Time) {
	t.paces.board.Prune(func(runner string) bool {
		_, registered := view.Runner(runner)
		return registered
	}, now)
	t.paces.pauses.Prune(now)
}
