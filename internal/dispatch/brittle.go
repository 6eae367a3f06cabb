package dispatch

import (
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/brittle"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// roomAt reports whether a runner that ends after too many rejections has room for the request, and when it may have if not; the caller
// holds the lock.
func (t *Tracker) roomAt(runner *roster.Runner, state *runnerState, needs requirements, now time.Time) (ok bool, retryIn time.Duration) {
	q := brittle.Query{
		Service: runner.Service,
		Runner:  runner.ID,
		Slots:   runner.Slots,
		VMs:     needs.vms,
		Urgent:  needs.urgent,
	}
	if state != nil {
		q.Own, q.Others, q.UpdatedAt = state.ownRequests, state.otherRequests, state.updatedAt
	}
	return t.brittle.HasRoom(q, t.random, now)
}

// recordBrittleness records what an answer says about rejections.
func (t *Tracker) recordBrittleness(runner *roster.Runner, response *Response, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.brittle.RecordAnswer(brittle.Answer{
		Service:   runner.Service,
		Runner:    runner.ID,
		Tolerance: response.Brittle,
		Rejected:  response.NotRun && !response.Leaving && response.Status == http.StatusServiceUnavailable,
		Own:       t.state(runner.ID).ownRequests - 1,
		VMs:       t.vms,
	}, t.random, now)
}

// BrittlenessReceived returns what runners stated to this VM on how many requests they can reject, or nil if none did.
func (t *Tracker) BrittlenessReceived(now time.Time) brittle.Statements {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.brittle.Received(now)
}

// Brittleness returns what is known of that from any VM, or nil.
func (t *Tracker) Brittleness(now time.Time) brittle.Statements {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.brittle.Known(now)
}

// ApplyBrittleness records what other VMs know of that.
func (t *Tracker) ApplyBrittleness(received brittle.Statements, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.brittle.Apply(received, now)
}

// pruneBrittleness drops what is outdated; the caller holds the lock.
func (t *Tracker) pruneBrittleness(view *roster.View, now time.Time) {
	t.brittle.Prune(func(runner string) bool {
		_, registered := view.Runner(runner)
		return registered
	}, now)
}
