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

// pausing makes a reply ask for no further request for a time.
func pausing(next reply, retryAfter time.Duration) reply {
	return func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		response, err := next(ctx, r, attempt)
		if response != nil {
			response.RetryAfter = retryAfter
		}
		return response, err
	}
}

// keepOnly removes p2, so that p1 is the only runner of its service.
func (h *harness) keepOnly() { h.roster.Apply([]roster.Change{{ID: "p2"}}, h.clock.Now()) }

// requireRefused sends a request and requires that it is refused and reaches no runner.
func (h *harness) requireRefused(t *testing.T) {
	t.Helper()
	before := h.sender.count()
	h.caller = &fakeCaller{}
	h.serve(t, "/unsafe/")
	require.NotNil(t, h.caller.refused)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
	require.Equal(t, before, h.sender.count())
}

// requireServed sends a request and requires that a runner gets it.
func (h *harness) requireServed(t *testing.T) {
	t.Helper()
	before := h.sender.count()
	h.caller = &fakeCaller{}
	h.serve(t, "/unsafe/")
	require.Nil(t, h.caller.refused)
	require.Equal(t, before+1, h.sender.count())
}

// A runner that turns a request away with a pause gets no further request until its end, whether or not it states that the
// request was not executed. Its service goes on with the others.
func TestPausedRunnerGetsNoRequestUntilEnd(t *testing.T) {
	const pause = 4500 * time.Millisecond
	for name, answer := range map[string]reply{
		"not executed": decline(http.StatusServiceUnavailable),
		"may have run": respond(http.StatusServiceUnavailable, "busy"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, pausing(answer, pause), respond(http.StatusOK, "ok"))
			h.preferRunner("p1", "p2")
			h.serve(t, "/unsafe/")
			require.Equal(t, "p1", h.sender.runners[0])
			began := h.clock.Now()
			for h.clock.Since(began) < 4*time.Second {
				h.preferRunner("p1", "p2")
				h.serve(t, "/unsafe/")
			}
			require.GreaterOrEqual(t, h.sender.count(), 5)
			require.NotContains(t, h.sender.runners[1:], "p1")
			h.keepOnly()
			h.requireRefused(t)
			h.clock.Advance(pause - h.clock.Since(began))
			h.requireServed(t)
		})
	}
}

// Only 503 turns a request away; the header has another meaning with other statuses.
func TestRetryAfterOfOtherStatusesIsNoPause(t *testing.T) {
	for _, answer := range []reply{
		respond(http.StatusOK, "ok"),
		respond(http.StatusInternalServerError, "no"),
		respond(http.StatusTooManyRequests, "no"),
	} {
		h := newHarness(t, pausing(answer, time.Minute), respond(http.StatusOK, "ok"))
		h.keepOnly()
		h.serve(t, "/unsafe/")
		h.requireServed(t)
	}
}

// Once all runners are paused, requests are refused at once until the earliest end, and the callers are told of it. The last
// resort of runners in backoff does not include them.
func TestRequestIsRefusedWhileAllRunnersArePaused(t *testing.T) {
	h := newHarness(t, pausing(decline(http.StatusServiceUnavailable), 900*time.Millisecond),
		pausing(decline(http.StatusServiceUnavailable), 1500*time.Millisecond), respond(http.StatusOK, "ok"))
	h.serve(t, "/unsafe/")
	require.Equal(t, 2, h.sender.count(), "the second runner is tried")
	for range furtherRequests {
		h.requireRefused(t)
		require.InDelta(t, 900*time.Millisecond, h.caller.refused.RetryAfter, float64(225*time.Millisecond))
	}
	h.clock.Advance(899 * time.Millisecond)
	h.requireRefused(t)
	h.clock.Advance(time.Millisecond)
	h.requireServed(t)
	require.Equal(t, h.sender.runners[0], h.sender.runners[2])
}

// The request that the only runner turns away is told of its pause, within the caller's time.
func TestDeclinedRequestIsToldOfPause(t *testing.T) {
	h := newHarness(t, pausing(decline(http.StatusServiceUnavailable), 40*time.Second))
	h.keepOnly()
	h.serve(t, "/unsafe/")
	require.Equal(t, 1, h.sender.count())
	require.Greater(t, h.caller.refused.RetryAfter, 900*time.Millisecond)
	require.LessOrEqual(t, h.caller.refused.RetryAfter, h.request("/unsafe/").MaxWait/3)
}

// A runner that is leaving does not come back, so its pause says nothing about when a request can be served.
func TestPauseOfLeavingRunnerDoesNotCount(t *testing.T) {
	h := newHarness(t, leaving(decline(http.StatusServiceUnavailable)), pausing(decline(http.StatusServiceUnavailable), 1500*time.Millisecond))
	h.serve(t, "/unsafe/")
	h.requireRefused(t)
	require.Greater(t, h.caller.refused.RetryAfter, time.Second)
}

// An answer that comes later extends a pause, but does not shorten one that the runner asked for before.
func TestLaterPauseDoesNotShortenEarlierOne(t *testing.T) {
	for name, order := range map[string][2]time.Duration{
		"shorter one last": {10 * time.Second, 2 * time.Second},
		"longer one last":  {2 * time.Second, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.keepOnly()
			second := pausing(decline(http.StatusServiceUnavailable), order[1])
			h.sender.replies = []reply{
				func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
					h.dispatcher.Serve(ctx, h.request("/unsafe/"), &fakeCaller{})
					return second(ctx, r, attempt)
				},
				pausing(decline(http.StatusServiceUnavailable), order[0]),
				respond(http.StatusOK, "ok"),
			}
			h.serve(t, "/unsafe/")
			require.Equal(t, 2, h.sender.count())
			h.clock.Advance(9 * time.Second)
			h.requireRefused(t)
			h.clock.Advance(time.Second)
			h.requireServed(t)
		})
	}
}

// A pause binds one incarnation, also through later registrations and a removal.
func TestPauseBindsOneIncarnation(t *testing.T) {
	h := newHarness(t, pausing(decline(http.StatusServiceUnavailable), 20*time.Second), respond(http.StatusOK, "ok"))
	h.keepOnly()
	h.roster.Apply([]roster.Change{registration(5, 1)}, h.clock.Now())
	h.serve(t, "/unsafe/")
	h.roster.Apply([]roster.Change{registration(5, 2)}, h.clock.Now())
	h.requireRefused(t)
	h.roster.Apply([]roster.Change{{ID: "p1"}}, h.clock.Now())
	h.tracker.Prune(h.roster.View(), h.clock.Now())
	h.roster.Apply([]roster.Change{registration(5, 3)}, h.clock.Now())
	h.requireRefused(t)
	h.roster.Apply([]roster.Change{registration(6, 1)}, h.clock.Now())
	h.requireServed(t)
}

// An error that a runner gives with a pause is relayed with its status and body.
func TestRelayedErrorOfPausedRunnerIsUnchanged(t *testing.T) {
	h := newHarness(t, pausing(respond(http.StatusInternalServerError, "busy"), time.Second))
	h.serve(t, "/unsafe/")
	require.Nil(t, h.caller.refused)
	require.Equal(t, http.StatusInternalServerError, h.caller.status)
	require.Equal(t, "busy", h.caller.body)
}

// The pause of an error that can't be relayed is heeded as well.
func TestPauseOfMisleadingErrorIsHeeded(t *testing.T) {
	h := newHarness(t, pausing(respond(http.StatusServiceUnavailable, "busy"), time.Second), respond(http.StatusOK, "ok"))
	h.keepOnly()
	h.serve(t, "/unsafe/")
	require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
	h.requireRefused(t)
	h.clock.Advance(time.Second)
	h.requireServed(t)
}
