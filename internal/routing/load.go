package routing

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// answerDecay is the weight of the newest answer in the mean answer time.
	answerDecay = 0.1
	// firstAnswer is the mean answer time before any answer was seen.
	firstAnswer = 2 * time.Second
)

// Load is what is known of one endpoint's load: its last report, and this VM's own calls since.
type Load struct {
	mu       sync.Mutex
	report   endpoint.Report
	reported time.Time
	// peers is how many VMs are thought to send here as this one does.
	peers float64

	ownWaiting   int
	ownPrefill   int
	ownRunning   int
	sentSince    int
	prefillSince int
	endedSince   int
	meanAnswer   time.Duration
	circuit      circuit
}

// NewLoad returns the load of an endpoint of which nothing is known yet.
func NewLoad() *Load {
	return &Load{
		peers:      1,
		meanAnswer: firstAnswer,
	}
}

// Report takes in an engine's report read at a time.
func (l *Load) Report(r endpoint.Report, at time.Time, peers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Incarnation == l.report.Incarnation && r.Sequence <= l.report.Sequence {
		return
	}
	l.report = r
	l.reported = at
	l.peers = float64(max(peers, 1))
	l.sentSince = 0
	l.prefillSince = 0
	l.endedSince = 0
}

// Sent counts a call of so many prompt tokens at once, long before a report shows it.
func (l *Load) Sent(prefill int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownWaiting++
	l.ownPrefill += prefill
	l.sentSince++
	l.prefillSince += prefill
}

// FirstToken moves a sent call from waiting to running.
func (l *Load) FirstToken(prefill int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownWaiting--
	l.ownPrefill -= prefill
	l.ownRunning++
}

// Ended takes a call off; started tells whether it had its first token.
func (l *Load) Ended(prefill int, started bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedSince++
	if !started {
		l.ownWaiting--
		l.ownPrefill -= prefill
		return
	}
	l.ownRunning--
	l.meanAnswer += time.Duration(answerDecay * float64(took-l.meanAnswer))
}

// Failed counts a failure of the endpoint towards opening its circuit and reports whether it opened.
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

// Predict returns the expected time to the first token of a call with so many prompt tokens.
func (l *Load) Predict(prefill int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prefillWait(prefill, now) + l.slotWait()
}

// Cost returns the endpoint's time for a call's own prompt.
func (l *Load) Cost(prefill int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(prefill) / l.report.PrefillPerSecond * float64(time.Second))
}

// prefillWait is the time for the prompts ahead and this one.
func (l *Load) prefillWait(prefill int, now time.Time) time.Duration {
	if l.report.PrefillPerSecond <= 0 {
		return 0
	}
	drained := l.report.PrefillPerSecond * now.Sub(l.reported).Seconds()
	ahead := float64(l.report.WaitingPrefill) + l.peers*float64(l.prefillSince) - drained
	ahead = max(ahead, float64(l.ownPrefill))
	return time.Duration((ahead + float64(prefill)) / l.report.PrefillPerSecond * float64(time.Second))
}

// slotWait is the time until a slot of the engine's batch is free.
func (l *Load) slotWait() time.Duration {
	slots := l.report.Slots
	if slots <= 0 {
		return 0
	}
	busy := float64(l.report.Running+l.report.Waiting) + l.peers*float64(l.sentSince-l.endedSince)
	busy = max(busy, float64(l.ownRunning+l.ownWaiting))
	excess := busy - float64(slots) + 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(l.meanAnswer) / float64(slots))
}
