package burn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

var now = time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)

func objectives() configuration.Configuration {
	return configuration.Configuration{
		Objectives: []configuration.Objective{
			{
				Service: "atelier-models",
				Class:   configuration.People,
				Share:   0.95,
			},
		},
	}
}

func record(r *burn.Recorder, calls int, good bool, ago time.Duration) {
	for range calls {
		r.Record(burn.Sample{
			Service: "atelier-models",
			Class:   configuration.People,
			Model:   "gown-advice",
			Caller:  "planner",
			Good:    good,
			At:      now.Add(-ago),
		})
	}
}

// Calculated by hand: the last 5 minutes have 100 calls, 80 bad: 0.8 / 0.05 = 16. The last hour has 200, 150 bad:
// 0.75 / 0.05 = 15. Six hours have 1000, 150 bad: 0.15 / 0.05 = 3, so the budget is overspent by 200%.
func TestReportMatchesWorkedExample(t *testing.T) {
	a, b := burn.New(), burn.New()
	record(a, 20, true, time.Minute)
	record(a, 80, false, time.Minute)
	record(b, 30, true, 20*time.Minute)
	record(b, 70, false, 20*time.Minute)
	record(b, 800, true, 5*time.Hour)
	record(b, 500, false, 7*time.Hour)
	report := burn.NewReport(objectives(), burn.Merge(a.Summary(now), b.Summary(now)), []string{"entry-3"})
	require.Len(t, report.Lines, 1)
	line := report.Lines[0]
	require.InDeltaSlice(t, []float64{16, 15, 15, 3}, line.Burn, 1e-9)
	require.InDelta(t, -2, line.BudgetLeft, 1e-9)
	require.EqualValues(t, 1000, line.Calls)
	require.True(t, line.FastAlert)
	require.False(t, line.SlowAlert)
	require.Equal(t, "gown-advice", report.WorstModels[0].Name)
	require.Equal(t, []string{"entry-3"}, report.Unreached)
}

func TestReportWithoutCalls(t *testing.T) {
	report := burn.NewReport(objectives(), burn.Merge(), nil)
	require.Equal(t, []float64{0, 0, 0, 0}, report.Lines[0].Burn)
	require.InDelta(t, 1, report.Lines[0].BudgetLeft, 1e-9)
}
