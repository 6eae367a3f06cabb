package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// stateBrittle replies with a status, the statement that the runner is brittle and its load. A rejection isn't executed.
func stateBrittle(status, tolerance int, load dispatch.ReportedLoad) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status:  status,
			NotRun:  status == http.StatusServiceUnavailable,
			Brittle: tolerance,
			Load:    &load,
			Body:    &chunkReader{},
		}, nil
	}
}

// Brittle runners that have no room must get no request: it is refused at once, as not run, and may come back soon.
func TestFullBrittleRunnersGetNoRequest(t *testing.T) {
	full := dispatch.ReportedLoad{Running: 8, Waiting: 2, Slots: 8}
	h := newHarness(t, stateBrittle(http.StatusOK, 3, full))
	h.serve(t, "/safe/")
	h.tracker.ApplyOccupancy(roster.Occupancy{"p1": 10, "p2": 10}, h.clock.Now().Add(time.Second))
	h.clock.Advance(time.Second)
	h.caller = &fakeCaller{}
	h.serve(t, "/safe/")
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
	require.Positive(t, h.caller.refused.RetryAfter)
	require.Less(t, h.caller.refused.RetryAfter, time.Second)
}

// A brittle runner that rejected the only request of this VM must get the next one after a pause, the caller another runner's answer.
func TestRejectingBrittleRunnerIsLeftAlone(t *testing.T) {
	h := newHarness(t, stateBrittle(http.StatusServiceUnavailable, 1, dispatch.ReportedLoad{Running: 8, Slots: 8}),
		stateBrittle(http.StatusOK, 1, dispatch.ReportedLoad{Running: 1, Slots: 8}))
	for range 10 {
		h.caller = &fakeCaller{}
		h.serve(t, "/safe/")
		require.Equal(t, http.StatusOK, h.caller.status)
		h.clock.Advance(100 * time.Millisecond)
	}
	require.Equal(t, 11, h.sender.count())
	rejecting := h.sender.runners[0]
	require.NotContains(t, h.sender.runners[1:], rejecting)
	h.clock.Advance(10 * time.Second)
	for range 20 {
		h.serve(t, "/safe/")
	}
	require.Contains(t, h.sender.runners[11:], rejecting)
}

// Once runners no longer say that they are brittle, nothing must be held back.
func TestLimitsEndWithBrittleness(t *testing.T) {
	full := dispatch.ReportedLoad{Running: 8, Waiting: 2, Slots: 8}
	h := newHarness(t, stateBrittle(http.StatusOK, 3, full), respond(http.StatusOK, "x"))
	h.serve(t, "/safe/")
	h.serve(t, "/safe/")
	require.Equal(t, 2, h.sender.count())
	h.tracker.ApplyOccupancy(roster.Occupancy{"p1": 10, "p2": 10}, h.clock.Now().Add(time.Second))
	h.clock.Advance(time.Second)
	h.caller = &fakeCaller{}
	h.serve(t, "/safe/")
	require.Equal(t, 3, h.sender.count())
	require.Equal(t, http.StatusOK, h.caller.status)
}
