package reach_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/reach"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// chosen returns the runners that are probed first after runner-0 and runner-1 failed.
func chosen(t *testing.T, view *roster.View, seed uint64) []*roster.Runner {
	t.Helper()
	s := newSimulation(view, seed)
	s.detector.RecordFailure("runner-0", s.now)
	s.detector.RecordFailure("runner-1", s.now)
	return s.detector.Next(reach.Fleet{
		Runners: view,
		VMs:     s.vms,
	}, s.now.Add(time.Millisecond))
}

func TestProbesAreSpread(t *testing.T) {
	for seed := range uint64(seeds) {
		services, domains := make(map[string]int), make(map[string]int)
		for _, r := range chosen(t, newView(t, 24, 4), seed) {
			services[r.Service]++
			domains[r.FailureDomain]++
			require.NotContains(t, []string{"runner-0", "runner-1"}, r.ID)
		}
		require.Len(t, services, 4)
		require.Len(t, domains, 3)
	}
}

func TestDrainingRunnersAreProbedOnlyForLackOfOthers(t *testing.T) {
	drain := func(staying ...string) func(*roster.Runner) {
		return func(r *roster.Runner) {
			r.Draining = true
			for _, id := range staying {
				r.Draining = r.Draining && r.ID != id
			}
		}
	}
	for seed := range uint64(seeds) {
		for _, r := range chosen(t, newView(t, 9, 2, drain("runner-4", "runner-7")), seed) {
			require.False(t, r.Draining)
		}
		require.Len(t, chosen(t, newView(t, 9, 2, drain("runner-4")), seed), 4)
	}
}

// Two rounds of a suspicion ask different runners.
func TestConfirmationAsksOtherRunners(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSimulation(newView(t, 24, 2), seed)
		s.state, s.traffic = during(0, time.Hour, refusing), failingDuring(broke, time.Hour, 2)
		for len(s.changes) == 0 {
			s.run(s.at() + testTick)
		}
		require.Len(t, s.probes, 8)
		seen := make(map[string]bool)
		for _, id := range s.probes {
			require.False(t, seen[id], id)
			seen[id] = true
		}
	}
}
