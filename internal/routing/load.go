package routing

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// callTimeWeight is the weight of the newest call in the moving average of call times.
	callTimeWeight = 0.1
	// initialCallTime is the average call time before any call was measured.
	initialCallTime = 2 * time.Second
)

// Load is what is known of one endpoint's load: its last report, and this VM's own calls since then.
type Load struct {
	mu         sync.Mutex
	report     endpoint.Report
	reportedAt time.Time
	// senders is the number of VMs, this one included, that are assumed to send calls to the endpoint at the same rate.
	senders float64

	ownWaiting         int
	ownPrefill         int
	ownRunning         int
	sentSinceReport    int
	prefillSinceReport int
	endedSinceReport   int
	meanCallTime       time.Duration
	circuit            circuit
}

// NewLoad returns the load of an endpoint about which nothing is known yet.
func NewLoad() *Load {
	return &Load{
		senders:      1,
		meanCallTime: initialCallTime,
	}
}

// Report replaces the last report by a newer one, which was read from the engine at the given time.
func (l *Load) Report(r endpoint.Report, at time.Time, senders int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Incarnation == l.report.Incarnation && r.Sequence <= l.report.Sequence {
		return
	}
	l.report = r
	l.reportedAt = at
	l.senders = float64(max(senders, 1))
	l.sentSinceReport = 0
	l.prefillSinceReport = 0
	l.endedSinceReport = 0
}

// Sent counts a call with a prompt of prefill tokens immediately, long before a report includes it.
func (l *Load) Sent(prefill int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownWaiting++
	l.ownPrefill += prefill
	l.sentSinceReport++
	l.prefillSinceReport += prefill
}

// FirstToken moves a call from waiting to running.
func (l *Load) FirstToken(prefill int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownWaiting--
	l.ownPrefill -= prefill
	l.ownRunning++
}

// Ended removes a call; started states whether it had its first token.
func (l *Load) Ended(prefill int, started bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedSinceReport++
	if !started {
		l.ownWaiting--
		l.ownPrefill -= prefill
		return
	}
	l.ownRunning--
	l.meanCallTime += time.Duration(callTimeWeight * float64(took-l.meanCallTime))
}

// Failed records a failure of the endpoint and reports whether this opened the circuit.
func (l *Load) Failed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.circuit.failed(now)
}

// Succeeded closes the circuit and reports whether it was open.
func (l *Load) Succeeded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.circuit.succeeded()
}

// Allowed reports whether the circuit lets a call pass.
func (l *Load) Allowed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.circuit.allowed(now)
}

// Predict returns the expected time to the first token of a call with a prompt of prefill tokens.
func (l *Load) Predict(prefill int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prefillWait(prefill, now) + l.slotWait()
}

// Cost returns the time that the endpoint needs for the call's own prompt.
func (l *Load) Cost(prefill int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(prefill) / l.report.PrefillPerSecond * float64(time.Second))
}

// prefillWait is the time to process the prompts ahead in the queue and this one.
func (l *Load) prefillWait(prefill int, now time.Time) time.Duration {
	if l.report.PrefillPerSecond <= 0 {
		return 0
	}
	drained := l.report.PrefillPerSecond * now.Sub(l.reportedAt).Seconds()
	ahead := float64(l.report.WaitingPrefill) + l.senders*float64(l.prefillSinceReport) - drained
	ahead = max(ahead, float64(l.ownPrefill))
	return time.Duration((ahead + float64(prefill)) / l.report.PrefillPerSecond * float64(time.Second))
}

// slotWait is the time until a slot of the engine's batch becomes free.
func (l *Load) slotWait() time.Duration {
	slots := l.report.Slots
	if slots <= 0 {
		return 0
	}
	busy := float64(l.report.Running+l.report.Waiting) + l.senders*float64(l.sentSinceReport-l.endedSinceReport)
	busy = max(busy, float64(l.ownRunning+l.ownWaiting))
	excess := busy - float64(slots) + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(l.meanCallTime) / float64(slots))
}
