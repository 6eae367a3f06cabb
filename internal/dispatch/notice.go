package dispatch

import (
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// leavingTTL is how long the statement of an unregistered runner is kept. A registration that expired while its runner could
// not reach the store may return.
const leavingTTL = 10 * time.Minute

// notice is what an incarnation of a runner has stated in its responses about further requests from this VM.
type notice struct {
	incarnation int64
	// leaving is set once the runner has stated that it is about to stop; leavingAt is when it last did.
	leaving   bool
	leavingAt time.Time
	// pausedUntil is the end of the time for which the runner has asked for no further request.
	pausedUntil time.Time
}

// binds reports whether the notice concerns a registration; a later incarnation knows nothing of it.
func (n *notice) binds(runner *roster.Runner) bool { return runner.Incarnation <= n.incarnation }

// needed reports whether the notice must be kept although its runner isn't registered.
func (n *notice) needed(now time.Time) bool {
	return (n.leaving && now.Sub(n.leavingAt) < leavingTTL) || now.Before(n.pausedUntil)
}

// pause records that the runner wants no request until a time. It does not shorten a pause that the runner has asked for before.
func (n *notice) pause(until time.Time) {
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
}

// noticeFrom returns the notice of a runner's incarnation, or nil if a later incarnation has given one.
func (s *runnerState) noticeFrom(runner *roster.Runner) *notice {
	switch {
	case runner.Incarnation < s.notice.incarnation:
		return nil
	case runner.Incarnation > s.notice.incarnation:
		s.notice = notice{incarnation: runner.Incarnation}
	}
	return &s.notice
}

// isLeaving reports whether the runner has stated that it is about to stop.
func (s *runnerState) isLeaving(runner *roster.Runner) bool {
	return s != nil && s.notice.leaving && s.notice.binds(runner)
}

// pauseLeft returns how long the runner wants no request.
func (s *runnerState) pauseLeft(runner *roster.Runner, now time.Time) time.Duration {
	if s == nil || !s.notice.binds(runner) {
		return 0
	}
	return max(s.notice.pausedUntil.Sub(now), 0)
}

// responseReceived records what the head of a response says about further requests.
func (t *Tracker) responseReceived(runner *roster.Runner, response *Response, now time.Time) {
	t.recordBrittleness(runner, response, now)
	if response.Leaving {
		t.RecordLeaving(runner, now)
	}
	if response.Status == http.StatusServiceUnavailable && response.RetryAfter > 0 {
		t.recordPause(runner, now.Add(response.RetryAfter))
	}
}

// recordPause records that a runner wants no request until a time.
func (t *Tracker) recordPause(runner *roster.Runner, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.state(runner.ID).noticeFrom(runner); n != nil {
		n.pause(until)
	}
}

// RecordLeaving records that a runner has stated that it is about to stop.
func (t *Tracker) RecordLeaving(runner *roster.Runner, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.state(runner.ID).noticeFrom(runner); n != nil {
		n.leaving, n.leavingAt = true, now
	}
}

// Leaving reports whether a runner has stated that it is about to stop.
func (t *Tracker) Leaving(runner *roster.Runner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runners[runner.ID].isLeaving(runner)
}
