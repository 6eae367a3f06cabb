package demo_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/load"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

const testTimeout = 3 * time.Minute

// newCluster starts a deployment, publishes its configuration and waits until every model is served; replicas > 0 preloads
// that many replicas of each model.
func newCluster(t testing.TB, d deployment.Deployment, replicas int) *demo.Cluster {
	t.Helper()
	cluster, err := demo.New(demo.Options{
		Deployment: d,
		Seed:       1,
		Logger:     slog.New(slog.DiscardHandler),
		Adjust:     func(s *settings.Settings) { s.Limits.DrainDelay = 300 * time.Millisecond },
	})
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	if replicas > 0 {
		cluster.Preload(replicas)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, cluster.Publish(ctx))
	require.NoError(t, cluster.WaitServing(ctx))
	return cluster
}

// Under load from many callers, every answer is complete and correct, no key is executed twice and no model load exceeds an
// accelerator's memory.
func TestAnswersAreCompleteAndCorrect(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 2)
	result := load.Run(t.Context(), load.Options{
		Addresses:     cluster.CallerAddresses(),
		Configuration: cluster.Deployment.Configuration,
		Duration:      2 * time.Second,
		Rate:          250,
		StartFactor:   3,
		Seed:          1,
		Tokens:        8,
		ServiceShare:  0.2,
		Verify:        cluster.Verify,
	}, clockwork.NewRealClock())
	for _, kindSummary := range result.Summary() {
		for _, outcome := range []string{"WrongAnswer", "Cut", "Unreached", "Unexpected"} {
			require.Zero(t, kindSummary.Outcomes[outcome], "%s of %s", outcome, kindSummary.Kind)
		}
		require.NotZero(t, kindSummary.Outcomes["Answered"], kindSummary.Kind)
	}
	totals := cluster.Totals()
	require.LessOrEqual(t, totals.MaxExecutionsPerKey, 1)
	require.Zero(t, totals.MemoryBreaches)
}
