package dispatch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

// In any window, retries stay within the ratio of the requests plus the slack, in whatever order both come.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := dispatch.RetryLimits{
			Window: 10 * time.Second,
			Ratio:  0.2,
			Slack:  rapid.Float64Range(0, 60).Draw(t, "slack"),
		}
		clock := clockwork.NewFakeClock()
		b := dispatch.NewRetryBudget(limits, clock.Now())
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				b.RecordRequest("s", clock.Now())
				requests = append(requests, clock.Now())
			}
			for range rapid.IntRange(0, 3).Draw(t, "further") {
				if b.TakeRetry("s", clock.Now()) {
					retries = append(retries, clock.Now())
				}
			}
			since := clock.Now().Add(-limits.Window)
			// Requests of the preceding window count too, as in the definition of the limit.
			allowed := limits.Ratio*float64(countAfter(requests, since.Add(-limits.Window))) + limits.Slack
			require.LessOrEqual(t, float64(countAfter(retries, since)), allowed)
		}
	})
}

func countAfter(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}

func TestBudgetIsSharedAmongVMs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := dispatch.RetryLimits{Window: 10 * time.Second, Slack: 90}
	taken := 0
	for range 9 {
		b := dispatch.NewRetryBudget(limits, clock.Now())
		b.SetLimits(limits, 9)
		for b.TakeRetry("s", clock.Now()) {
			taken++
		}
	}
	require.LessOrEqual(t, taken, 90)
	require.Positive(t, taken)
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := dispatch.NewRetryBudget(dispatch.RetryLimits{Window: time.Second, Slack: 2}, clock.Now())
	require.True(t, b.TakeRetry("s", clock.Now()))
	require.False(t, b.RetryAllowed("s", clock.Now()))
	require.True(t, b.RetryAllowed("other", clock.Now()))
	clock.Advance(2 * time.Second)
	require.True(t, b.RetryAllowed("s", clock.Now()))
}
