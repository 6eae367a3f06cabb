package patience_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/patience"
)

func TestRetryAfterIsSpreadWithinCallersTime(t *testing.T) {
	const left = 6 * time.Second
	early, late := patience.RetryAfter(time.Second, left, 0), patience.RetryAfter(time.Second, left, 0.999)
	require.Less(t, early, time.Second)
	require.Greater(t, late, time.Second)
	require.LessOrEqual(t, patience.RetryAfter(time.Minute, left, 0.999), left/3)
	require.Positive(t, patience.RetryAfter(0, 100*time.Millisecond, 0))
	require.Greater(t, patience.RetryAfter(time.Minute, 0, 0), 30*time.Second, "the caller's time is unknown")
}

func TestRequestsBeyondObjectiveAreNotWorthSending(t *testing.T) {
	require.True(t, patience.WorthSending(500*time.Millisecond, 500*time.Millisecond))
	require.False(t, patience.WorthSending(time.Second, 500*time.Millisecond))
	require.True(t, patience.WorthSending(time.Hour, 0), "the route has no objective")
}

// Guards against callers that come back before there is room, and against all of them coming back at once.
func TestRetryAfterWaitIsSpreadAndNeverTooSoon(t *testing.T) {
	for _, wait := range []time.Duration{time.Millisecond, time.Second, time.Minute} {
		early, late := patience.RetryAfterWait(wait, 0), patience.RetryAfterWait(wait, 0.999)
		require.GreaterOrEqual(t, early, wait)
		require.Greater(t, late, early+100*time.Millisecond)
		require.LessOrEqual(t, late, max(2*wait, 160*time.Millisecond))
		require.Zero(t, early%(10*time.Millisecond))
		require.Zero(t, late%(10*time.Millisecond))
	}
}
