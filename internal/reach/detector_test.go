package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	seeds = 20
	// broke and healed are when the network of the simulations breaks and heals.
	broke  = 5 * time.Second
	healed = 12 * time.Second
)

func TestPartitionIsFoundAndItsEndToo(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   state
		traffic func(from, to time.Duration) func(time.Duration) traffic
		lost    time.Duration
		reached time.Duration
	}{
		{"hang, silent", hanging, silentDuring, 860 * time.Millisecond, 460 * time.Millisecond},
		{"refused, silent", refusing, silentDuring, 610 * time.Millisecond, 360 * time.Millisecond},
		{"hang, open ones live on", hanging, failingAtTwo, 560 * time.Millisecond, 460 * time.Millisecond},
		{"refused, open ones live on", refusing, failingAtTwo, 310 * time.Millisecond, 360 * time.Millisecond},
	} {
		for _, runners := range []int{2, 9, 112} {
			t.Run(fmt.Sprintf("%s, %d runners", c.name, runners), func(t *testing.T) {
				var lost, reached time.Duration
				for seed := range uint64(seeds) {
					from, to := broke+time.Duration(seed)*7*time.Millisecond, healed+time.Duration(seed)*31*time.Millisecond
					s := newSimulation(newView(t, runners, 2), seed)
					s.state, s.traffic = during(from, to, c.state), c.traffic(from, to)
					s.run(30 * time.Second)
					require.Len(t, s.changes, 2)
					require.Greater(t, s.changes[0], from)
					require.Greater(t, s.changes[1], to)
					lost, reached = max(lost, s.changes[0]-from), max(reached, s.changes[1]-to)
				}
				t.Logf("cut off after %v, reached again after %v", lost, reached)
				require.LessOrEqual(t, lost, c.lost)
				require.LessOrEqual(t, reached, c.reached)
			})
		}
	}
}

func TestOnlyRunner(t *testing.T) {
	s := newSimulation(newView(t, 1, 1), 1)
	s.state, s.traffic = during(broke, healed, refusing), failingDuring(broke, healed, 1)
	s.run(30 * time.Second)
	require.Len(t, s.changes, 2)
	require.Less(t, s.changes[0], broke+300*time.Millisecond)
	require.Less(t, s.changes[1], healed+700*time.Millisecond)
}

// A service all of whose runners are down is no reason to take the VM for cut off, and probes on its account are rare.
func TestServiceDown(t *testing.T) {
	for _, broken := range []state{hanging, refusing} {
		for seed := range uint64(seeds) {
			s := newSimulation(newView(t, 112, 2), seed)
			s.state = func(r *roster.Runner, at time.Duration) state {
				if r.Service == "service-0" {
					return during(broke, 65*time.Second, broken)(r, at)
				}
				return sound
			}
			s.traffic = func(at time.Duration) traffic {
				shown := failingDuring(broke, 65*time.Second, 56)(at)
				for i := range shown.failing {
					shown.failing[i] = fmt.Sprintf("runner-%d", 2*(int(at/testTick)%56))
				}
				return shown
			}
			s.run(65 * time.Second)
			require.Empty(t, s.changes)
			require.NotEmpty(t, s.probes)
			require.LessOrEqual(t, len(s.probes), 4*20)
		}
	}
}

func TestServiceThatRestartsIsConfirmed(t *testing.T) {
	s := newSimulation(newView(t, 9, 1), 1)
	s.state = during(broke, broke+80*time.Millisecond, refusing)
	s.traffic = failingDuring(broke, broke+80*time.Millisecond, 9)
	s.run(10 * time.Second)
	require.Empty(t, s.changes)
	require.NotEmpty(t, s.probes)
}

func TestSingleSilentRunnerIsNoSuspicion(t *testing.T) {
	s := newSimulation(newView(t, 9, 2), 1)
	s.traffic = func(at time.Duration) traffic { return traffic{waiting: 1, silence: at} }
	s.run(30 * time.Second)
	require.Empty(t, s.probes)
}

func TestSingleFailingRunnerIsNoSuspicion(t *testing.T) {
	s := newSimulation(newView(t, 9, 2), 1)
	s.traffic = failingDuring(0, 30*time.Second, 1)
	s.run(30 * time.Second)
	require.Empty(t, s.probes)
}

// A service with one runner only shows by that runner that the VM may reach none.
func TestOnlyRunnerOfServiceFails(t *testing.T) {
	view := newView(t, 9, 2, func(r *roster.Runner) {
		if r.ID != "runner-0" {
			r.Service = "service-1"
		}
	})
	s := newSimulation(view, 1)
	s.state, s.traffic = during(broke, healed, refusing), failingDuring(broke, healed, 1)
	s.run(30 * time.Second)
	require.Len(t, s.changes, 2)
	require.Less(t, s.changes[0], broke+300*time.Millisecond)

	s = newSimulation(view, 1)
	s.traffic = failingDuring(broke, broke+time.Minute, 1)
	s.run(broke + time.Minute)
	require.Empty(t, s.changes)
	require.LessOrEqual(t, len(s.probes), 4*20)
}

// A partition must not go unnoticed because failures at fewer runners were no partition.
func TestPartitionBesideFailingRunners(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSimulation(newView(t, 9, 2), seed)
		s.state = during(2*broke, time.Hour, refusing)
		s.traffic = func(at time.Duration) traffic {
			if at < 2*broke {
				return failingDuring(0, 2*broke, 2)(at)
			}
			return failingDuring(2*broke, time.Hour, 9)(at)
		}
		s.run(3 * broke)
		require.Len(t, s.changes, 1)
		require.Less(t, s.changes[0], 2*broke+600*time.Millisecond)
	}
}

// Where few requests wait for runners that think for long, all of them are silent time and again.
func TestSilentSoundRunnersAreProbedRarely(t *testing.T) {
	s := newSimulation(newView(t, 9, 2), 1)
	s.traffic = func(at time.Duration) traffic { return traffic{waiting: 3, silence: at % (2 * time.Second)} }
	s.run(time.Minute)
	require.Empty(t, s.changes)
	require.LessOrEqual(t, len(s.probes), 4*12)
}

// A long silence during which the network breaks is found at the longest wait for silence.
func TestPartitionAfterFalseAlarms(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSimulation(newView(t, 9, 2), seed)
		s.state = during(broke, time.Hour, hanging)
		s.traffic = func(at time.Duration) traffic { return traffic{waiting: 3, silence: at} }
		s.run(healed)
		require.Len(t, s.changes, 1)
		require.Less(t, s.changes[0], broke+3700*time.Millisecond)

		s = newSimulation(newView(t, 9, 2), seed)
		s.state = during(broke, time.Hour, refusing)
		s.traffic = failingDuring(0, time.Hour, 9)
		s.run(healed)
		require.Len(t, s.changes, 1)
		require.Less(t, s.changes[0], broke+4200*time.Millisecond)
	}
}

func TestOwnPauseIsNoSilence(t *testing.T) {
	s := newSimulation(newView(t, 9, 2), 1)
	s.traffic = silentDuring(3*time.Second, 8300*time.Millisecond)
	s.run(3 * time.Second)
	s.now = s.start.Add(8 * time.Second)
	s.detector.Resume(s.now)
	s.run(20 * time.Second)
	require.Empty(t, s.probes)
}

func TestStartIsNoSilence(t *testing.T) {
	s := newSimulation(newView(t, 9, 2), 1)
	s.traffic = func(at time.Duration) traffic {
		return traffic{
			waiting: 5,
			silence: time.Minute + at,
		}
	}
	s.run(350 * time.Millisecond)
	require.Empty(t, s.probes)
}

// A network that breaks and heals every second is cut off and reached at most once each time.
func TestFlapping(t *testing.T) {
	for _, broken := range []state{hanging, refusing} {
		for seed := range uint64(seeds) {
			s := newSimulation(newView(t, 112, 2), seed)
			isBroken := func(at time.Duration) bool { return at/time.Second%2 == 1 }
			s.state = func(_ *roster.Runner, at time.Duration) state {
				if isBroken(at) {
					return broken
				}
				return sound
			}
			s.traffic = func(at time.Duration) traffic {
				if !isBroken(at) {
					return traffic{waiting: 6}
				}
				return traffic{
					waiting: 6,
					silence: at % time.Second,
					failing: []string{"runner-1", "runner-2"},
				}
			}
			s.run(time.Minute)
			require.NotEmpty(t, s.changes)
			for i := 2; i < len(s.changes); i += 2 {
				require.Greater(t, s.changes[i]-s.changes[i-2], 1500*time.Millisecond)
			}
		}
	}
}

func TestNoRunnerRegistered(t *testing.T) {
	s := newSimulation(newView(t, 0, 1), 1)
	s.traffic = func(at time.Duration) traffic {
		return traffic{
			waiting: 5,
			silence: at,
			failing: []string{"runner-1", "runner-2"},
		}
	}
	s.run(10 * time.Second)
	require.Empty(t, s.changes)
	require.Empty(t, s.probes)
}

// Registrations lapse after all runners went down.
func TestLapsedRegistrationsEndTheCut(t *testing.T) {
	s := newSimulation(newView(t, 9, 1), 1)
	s.state, s.traffic = during(0, time.Hour, refusing), failingDuring(broke, healed, 9)
	s.run(broke + 2*time.Second)
	require.True(t, s.detector.CutOff())
	s.view = newView(t, 0, 1)
	s.run(broke + 3*time.Second)
	require.False(t, s.detector.CutOff())
}

// Of runners that answer again, one is not enough.
func TestOneOfManyRunnersDoesNotEndTheCut(t *testing.T) {
	s := newSimulation(newView(t, 9, 2), 1)
	s.state = func(r *roster.Runner, at time.Duration) state {
		if r.ID == "runner-3" && at > broke+time.Second {
			return sound
		}
		return during(broke, time.Hour, refusing)(r, at)
	}
	s.traffic = failingDuring(broke, time.Hour, 9)
	s.run(broke + 30*time.Second)
	require.Len(t, s.changes, 1)
	require.Positive(t, s.opened)
}

// However many VMs are cut off, a runner gets a few probes per second.
func TestProbesOfAllVMsAreBounded(t *testing.T) {
	const duration = 60
	for _, c := range []struct {
		vms     int
		runners int
	}{
		{3, 9},
		{12, 18},
		{340, 112},
	} {
		s := newSimulation(newView(t, c.runners, 2), 1)
		s.vms = c.vms
		s.state, s.traffic = during(0, time.Hour, refusing), failingDuring(0, time.Hour, 2)
		s.run(duration * time.Second)
		perSecond := float64(len(s.probes)) / duration
		perRunner := perSecond * float64(c.vms) / float64(c.runners)
		t.Logf("%d VMs, %d runners: %.1f probes per VM and second, %.1f per runner and second", c.vms, c.runners, perSecond, perRunner)
		require.LessOrEqual(t, perRunner, 5.2)
	}
}
