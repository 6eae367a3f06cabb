package dispatch

import (
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of the newest sample in a moving average.
	sampleWeight = 0.15
	// failureHalfLife is the time after which a runner's past failures count half.
	failureHalfLife = 2 * time.Second
	// initialServiceTime is the expected time of a request at a runner before any was measured.
	initialServiceTime = 400 * time.Millisecond
	// backoffFailures is the number of consecutive failures that put a runner in backoff.
	backoffFailures = 2
	// minBackoff is how long a runner in backoff gets no request before one probes it; it doubles up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// selfReportTTL is how long a runner's own report takes precedence over the counts that VMs exchange, which are about
	// that old.
	selfReportTTL = 300 * time.Millisecond
)

// runnerState is what this VM knows of one runner's load, failures and models.
type runnerState struct {
	// ownRequests is the number of this VM's requests at the runner.
	ownRequests int
	// otherRequests is the number of other VMs' requests there at updatedAt, from the runner's report or the counts that
	// VMs exchange.
	otherRequests int
	updatedAt     time.Time
	// ownAnnounced is the number of its own requests that this VM last announced to the others.
	ownAnnounced int
	// lastReceived is when any data last came from the runner, waitingSince is when a request was sent there while it had none of this
	// VM.
	lastReceived time.Time
	waitingSince time.Time
	// failureRate is the decaying share of failed attempts, as of failureRateAt.
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	backoff             time.Duration
	backoffUntil        time.Time
	observations        []observation
	// figure is how long work took at the runner at figureAt, in percent of the usual time, 0 if it never reported that.
	figure   int
	figureAt time.Time
	notice   notice
}

// observation is what was learned about a runner's models before its registration shows it.
type observation struct {
	model   string
	adapter string
	held    bool
	expires time.Time
}

// inFlight is how many requests the runner had by the newest figures.
func (s *runnerState) inFlight() int { return s.ownRequests + s.otherRequests }

// applyReport updates the estimate from the runner's own report.
func (s *runnerState) applyReport(report ReportedLoad, now time.Time) {
	s.otherRequests = max(report.Running+report.Waiting-s.ownRequests, 0)
	s.updatedAt = now
}

// applyTotal updates the estimate from the count of all VMs' requests, unless the runner itself reported recently.
func (s *runnerState) applyTotal(total int, now time.Time) {
	if now.Sub(s.updatedAt) < selfReportTTL {
		return
	}
	s.otherRequests = max(total-s.ownAnnounced, 0)
	s.updatedAt = now
}

func (s *runnerState) decayedFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	halfLives := float64(now.Sub(s.failureRateAt)) / float64(failureHalfLife)
	return s.failureRate / (1 + halfLives)
}

// recordFailureRate counts a failure in the failure rate only.
func (s *runnerState) recordFailureRate(now time.Time) {
	s.failureRate = s.decayedFailureRate(now)*(1-sampleWeight) + sampleWeight
	s.failureRateAt = now
}

// recordFailure counts a failure, also towards a backoff.
func (s *runnerState) recordFailure(now time.Time) {
	s.recordFailureRate(now)
	s.consecutiveFailures++
	if s.consecutiveFailures < backoffFailures {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}

func (s *runnerState) recordSuccess(now time.Time) {
	s.failureRate = s.decayedFailureRate(now) * (1 - sampleWeight)
	s.failureRateAt = now
	s.consecutiveFailures = 0
	s.backoff = 0
}

// backingOff reports whether the runner must get no request now.
func (s *runnerState) backingOff(now time.Time) bool {
	return s.backoff > 0 && now.Before(s.backoffUntil)
}

// startProbe holds back further requests while one probes a runner in backoff.
func (s *runnerState) startProbe(now time.Time) {
	if s.backoff > 0 {
		s.backoffUntil = now.Add(s.backoff)
	}
}

// observed returns what the observations say of a model or adapter, and whether any of them does.
func (s *runnerState) observed(model, adapter string, now time.Time) (held, known bool) {
	for i := len(s.observations) - 1; i >= 0; i-- {
		o := &s.observations[i]
		if o.model != model || now.After(o.expires) {
			continue
		}
		if o.adapter == adapter {
			return o.held, true
		}
		if o.adapter == "" && !o.held {
			return false, true
		}
	}
	return false, false
}

// hasObservations reports whether any observation is still valid.
func (s *runnerState) hasObservations(now time.Time) bool {
	return slices.ContainsFunc(s.observations, func(o observation) bool { return !now.After(o.expires) })
}

func (s *runnerState) observe(o observation, now time.Time) {
	kept := s.observations[:0]
	for _, old := range s.observations {
		if now.Before(old.expires) && (old.model != o.model || old.adapter != o.adapter) {
			kept = append(kept, old)
		}
	}
	s.observations = append(kept, o)
}
