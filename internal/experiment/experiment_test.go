package experiment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/experiment"
)

const (
	// minOracleShare and minOverloadOracleShare are the smallest accepted fractions of the oracle's goodput, up to the
	// engines' capacity and above it.
	minOracleShare         = 0.95
	minOverloadOracleShare = 0.90
	minInTime              = 0.99
	// maxMovesRatio and minAttainedRatio compare the planner with one without hysteresis.
	maxMovesRatio    = 1.0 / 3
	minAttainedRatio = 0.98
)

func compareDeployments(t *testing.T, scenario experiment.Scenario) {
	t.Helper()
	for _, deployment := range []string{"peplos", "huallaga"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			compareLoads(t, deployment, scenario)
		})
	}
}

func compareLoads(t *testing.T, deployment string, scenario experiment.Scenario) {
	previous := 0
	for _, load := range experiment.Loads {
		c, err := experiment.Compare(deployment, scenario, load)
		require.NoError(t, err)
		bound := minOracleShare
		if load > 1 {
			bound = minOverloadOracleShare
		}
		ours := c.Results[experiment.Ours]
		require.GreaterOrEqual(t, c.OracleRatio(), bound, "load %.1f", load)
		require.GreaterOrEqual(t, ours.InTime, minInTime, "load %.1f", load)
		require.GreaterOrEqual(t, ours.Attained, previous, "goodput fell at load %.1f", load)
		previous = ours.Attained
	}
}

func TestSteady(t *testing.T)       { compareDeployments(t, experiment.Steady) }
func TestWakeUp(t *testing.T)       { compareDeployments(t, experiment.WakeUp) }
func TestTenfold(t *testing.T)      { compareDeployments(t, experiment.Tenfold) }
func TestDomainLost(t *testing.T)   { compareDeployments(t, experiment.DomainLost) }
func TestDomainCut(t *testing.T)    { compareDeployments(t, experiment.DomainCut) }
func TestStaleReports(t *testing.T) { compareDeployments(t, experiment.StaleReports) }
func TestVMsReplaced(t *testing.T)  { compareDeployments(t, experiment.VMsReplaced) }
func TestStoreLost(t *testing.T)    { compareDeployments(t, experiment.StoreLost) }

func TestMovesOfPeplos(t *testing.T)   { compareMoves(t, "peplos") }
func TestMovesOfHuallaga(t *testing.T) { compareMoves(t, "huallaga") }

// compareMoves compares the planner with one that has no hysteresis and moves models at no cost. The planner must move
// less than a third as often and answer nearly as many calls in time.
func compareMoves(t *testing.T, deployment string) {
	t.Helper()
	t.Parallel()
	moves, eager, attained, eagerAttained := 0, 0, 0, 0
	for _, scenario := range experiment.Scenarios() {
		for _, load := range experiment.Loads {
			c, err := experiment.Compare(deployment, scenario, load)
			require.NoError(t, err)
			moves += c.Results[experiment.Ours].Moves
			eager += c.Eager.Moves
			attained += c.Results[experiment.Ours].Attained
			eagerAttained += c.Eager.Attained
			require.GreaterOrEqual(t, float64(c.Results[experiment.Ours].Attained), minAttainedRatio*float64(c.Eager.Attained), "%s at %.1f", scenario, load)
		}
	}
	require.GreaterOrEqual(t, float64(attained), minAttainedRatio*float64(eagerAttained))
	require.Less(t, float64(moves), maxMovesRatio*float64(eager), "%d moves, %d without hysteresis", moves, eager)
}

func TestSameSeedSameResult(t *testing.T) {
	first, err := experiment.Compare("peplos", experiment.DomainLost, 1)
	require.NoError(t, err)
	second, err := experiment.Compare("peplos", experiment.DomainLost, 1)
	require.NoError(t, err)
	require.Equal(t, first, second)
}
