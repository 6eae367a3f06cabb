package reach

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// tick is the time between two looks at the evidence.
	tick = 50 * time.Millisecond
	// maxDelay is how much later than planned a tick or a probe may end; later than that, this process itself stood still.
	maxDelay = 200 * time.Millisecond
	// probeTimeout limits the time to open a connection to a runner.
	probeTimeout = 400 * time.Millisecond
	// decisionTimeout limits the wait for a decision, and decisionInterval is the time between two looks at it.
	decisionTimeout  = 2 * probeTimeout
	decisionInterval = 10 * time.Millisecond
)

// Opener opens connections to runners and keeps them for requests.
type Opener interface {
	Open(ctx context.Context, address string) error
}

// Dependencies holds what a monitor uses.
type Dependencies struct {
	Roster func() *roster.View
	// VMs returns the number of entry VMs.
	VMs func() int
	// Silence returns at how many runners requests of this VM are in flight, and the shortest time for which one of them sent nothing.
	Silence func(now time.Time) (runners int, shortest time.Duration)
	Opener  Opener
	Clock   clockwork.Clock
	Logger  *slog.Logger
}

// Monitor watches whether this VM reaches the runners; it is safe for concurrent use.
type Monitor struct {
	Dependencies
	cutOff atomic.Bool

	mu       sync.Mutex
	detector *Detector
	// lost is closed while this VM is cut off.
	lost chan struct{}
}

// New returns a monitor of a VM that reaches the runners, as far as is known; Run finds out.
func New(d Dependencies) *Monitor {
	return &Monitor{
		Dependencies: d,
		detector:     NewDetector(d.Clock.Now(), rand.IntN),
		lost:         make(chan struct{}),
	}
}

// RecordFailure records that a connection to a runner could not be opened, or broke off before a response.
func (m *Monitor) RecordFailure(runner *roster.Runner) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.RecordFailure(runner.ID, now)
}

// CutOff reports whether this VM reaches no runner.
func (m *Monitor) CutOff() bool { return m.cutOff.Load() }

// Lost returns a channel that is closed once this VM is cut off, and stays closed until it reaches runners again.
func (m *Monitor) Lost() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// Await waits as long as failures at runners are evidence that this VM reaches none, until the probes have decided, and reports whether
// it is cut off.
func (m *Monitor) Await(ctx context.Context) bool {
	deadline := m.Clock.Now().Add(decisionTimeout)
	for m.pending() && m.Clock.Now().Before(deadline) && pause.For(ctx, m.Clock, decisionInterval) {
	}
	return m.CutOff()
}

func (m *Monitor) pending() bool {
	view, now := m.Roster(), m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Pending(view, now)
}

// Run looks for evidence and probes runners until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	m.resume()
	for {
		planned := m.Clock.Now().Add(tick)
		if !pause.For(ctx, m.Clock, tick) {
			return nil
		}
		if m.Clock.Since(planned) > maxDelay {
			m.resume()
		}
		for runners := m.next(); len(runners) > 0; runners = m.next() {
			began := m.Clock.Now()
			opened := m.probe(ctx, runners)
			if ctx.Err() != nil {
				return nil
			}
			m.record(opened, len(runners), began)
		}
	}
}

// resume tells the detector that this process stood still.
func (m *Monitor) resume() {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Resume(now)
}

// next returns the runners to be probed now.
func (m *Monitor) next() []*roster.Runner {
	now := m.Clock.Now()
	fleet := Fleet{
		Runners: m.Roster(),
		VMs:     m.VMs(),
	}
	fleet.Waiting, fleet.Silence = m.Silence(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	runners := m.detector.Next(fleet, now)
	m.publish(now)
	return runners
}

// record tells the detector the result of a number of probes that began at a time.
func (m *Monitor) record(opened bool, probes int, began time.Time) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !opened && now.Sub(began) > probeTimeout+maxDelay {
		m.detector.Resume(now)
		return
	}
	m.detector.Record(opened, probes, began, now)
	m.publish(now)
}

// probe opens connections to runners and reports whether one could be opened, as soon as that is known; the others go on.
func (m *Monitor) probe(ctx context.Context, runners []*roster.Runner) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, m.Clock, probeTimeout)
	results := make(chan bool, len(runners))
	var probes sync.WaitGroup
	for _, runner := range runners {
		probes.Go(func() { results <- m.Opener.Open(ctx, runner.Address) == nil })
	}
	go func() {
		probes.Wait()
		cancel()
	}()
	for range runners {
		if <-results {
			return true
		}
	}
	return false
}

// publish makes known what the detector has decided; the caller holds the lock.
func (m *Monitor) publish(now time.Time) {
	cutOff := m.detector.CutOff()
	if m.cutOff.Swap(cutOff) == cutOff {
		return
	}
	if !cutOff {
		m.lost = make(chan struct{})
		event.RunnersReached.Log(m.Logger,
			slog.Int64("LastedMS", now.Sub(m.detector.CutOffSince()).Milliseconds()),
			slog.Int("Registered", len(m.Roster().All())))
		return
	}
	close(m.lost)
	evidence := m.detector.Evidence()
	event.RunnersOutOfReach.Log(m.Logger,
		slog.Int64("AfterMS", now.Sub(evidence.At).Milliseconds()),
		slog.Int("Silent", evidence.Silent),
		slog.Int64("SilenceMS", evidence.Silence.Milliseconds()),
		slog.Int("Failed", evidence.Failed),
		slog.Int("Probes", evidence.Probes))
}
