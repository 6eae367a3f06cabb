package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/reach"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// state is how a runner treats new connections.
type state int

const (
	sound state = iota
	hanging
	refusing
)

// testTick is the time between two steps, probeTimeout when a probe of a hanging runner ends, and roundTrip when another does.
const (
	testTick     = 50 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	roundTrip    = 2 * time.Millisecond
)

// traffic is what requests show at a time: at how many runners they wait, for how long all have been silent, and which runners
// fail new connections.
type traffic struct {
	waiting int
	silence time.Duration
	failing []string
}

// simulation runs a detector in virtual time, in which times are counted from its start.
type simulation struct {
	detector *reach.Detector
	start    time.Time
	now      time.Time
	view     *roster.View
	vms      int
	// state returns the state of a runner at a time.
	state func(runner *roster.Runner, at time.Duration) state
	// traffic returns what requests show at a time.
	traffic func(at time.Duration) traffic
	// changes are the times at which the VM was cut off and reached runners again, in turn.
	changes []time.Duration
	// probes are the runners probed, in order, and opened is how many connections were opened.
	probes []string
	opened int
}

func newSimulation(view *roster.View, seed uint64) *simulation {
	start := time.Unix(1_000, 0)
	random := rand.New(rand.NewPCG(seed, 0))
	return &simulation{
		detector: reach.NewDetector(start, random.IntN),
		start:    start,
		now:      start,
		view:     view,
		vms:      3,
		state:    func(*roster.Runner, time.Duration) state { return sound },
		traffic:  func(time.Duration) traffic { return traffic{} },
	}
}

func (s *simulation) at() time.Duration { return s.now.Sub(s.start) }

// run goes on until a time.
func (s *simulation) run(until time.Duration) {
	for s.at() < until {
		s.now = s.now.Add(testTick)
		for s.step() && s.at() < until {
		}
	}
}

// step asks the detector once and reports whether it probed runners.
func (s *simulation) step() bool {
	shown := s.traffic(s.at())
	for _, id := range shown.failing {
		s.detector.RecordFailure(id, s.now)
	}
	runners := s.detector.Next(reach.Fleet{
		Runners: s.view,
		VMs:     s.vms,
		Waiting: shown.waiting,
		Silence: shown.silence,
	}, s.now)
	s.observe()
	if len(runners) == 0 {
		return false
	}
	began := s.now
	opened, took := 0, time.Duration(0)
	for _, runner := range runners {
		s.probes = append(s.probes, runner.ID)
		switch s.state(runner, s.at()) {
		case sound:
			opened++
			took = max(took, roundTrip)
		case refusing:
			took = max(took, roundTrip)
		case hanging:
			took = max(took, probeTimeout)
		}
	}
	s.opened += opened
	if opened > 0 {
		took = roundTrip
	}
	s.now = s.now.Add(took)
	s.detector.Record(opened > 0, len(runners), began, s.now)
	s.observe()
	return true
}

// observe keeps the time if the decision changed.
func (s *simulation) observe() {
	if s.detector.CutOff() != (len(s.changes)%2 == 1) {
		s.changes = append(s.changes, s.at())
	}
}

// newView returns runners spread evenly over services and three failure domains.
func newView(t *testing.T, runners, services int, alter ...func(*roster.Runner)) *roster.View {
	t.Helper()
	r := roster.New()
	for i := range runners {
		runner := &roster.Runner{
			ID:            fmt.Sprintf("runner-%d", i),
			Service:       fmt.Sprintf("service-%d", i%services),
			Address:       fmt.Sprintf("10.0.0.%d:80", i),
			FailureDomain: fmt.Sprintf("zone-%d", i/services%3),
			Incarnation:   1,
		}
		for _, f := range alter {
			f(runner)
		}
		r.Apply([]roster.Change{{ID: runner.ID, Runner: runner}}, time.Unix(0, 0))
	}
	return r.View()
}

// during returns a function that returns a state from one time to another, and sound otherwise.
func during(from, to time.Duration, broken state) func(*roster.Runner, time.Duration) state {
	return func(_ *roster.Runner, at time.Duration) state {
		if at >= from && at < to {
			return broken
		}
		return sound
	}
}

// silentDuring returns traffic at several runners that sends nothing from one time to another.
func silentDuring(from, to time.Duration) func(time.Duration) traffic {
	return func(at time.Duration) traffic {
		shown := traffic{waiting: 6}
		if at >= from && at < to {
			shown.silence = at - from
		}
		return shown
	}
}

// failingDuring returns traffic whose data keeps coming, while each new connection fails from one time to another, at one of n runners
// in turn.
func failingDuring(from, to time.Duration, n int) func(time.Duration) traffic {
	return func(at time.Duration) traffic {
		shown := traffic{waiting: 6}
		if at >= from && at < to {
			shown.failing = []string{fmt.Sprintf("runner-%d", int(at/testTick)%n)}
		}
		return shown
	}
}

// failingAtTwo returns traffic like failingDuring at two runners.
func failingAtTwo(from, to time.Duration) func(time.Duration) traffic {
	return failingDuring(from, to, 2)
}
