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

// furtherRequests is how many requests the tests send after a runner has stated something about them.
const furtherRequests = 10

// leaving makes a reply state that its runner is about to stop.
func leaving(next reply) reply {
	return func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		response, err := next(ctx, r, attempt)
		if response != nil {
			response.Leaving = true
		}
		return response, err
	}
}

// registration returns a registration of p1 by one of its incarnations.
func registration(incarnation int64, heartbeat uint64) roster.Change {
	change := runner("p1", "plain", "a")
	change.Runner.Incarnation, change.Runner.Heartbeat = incarnation, heartbeat
	return change
}

// preferRunner makes one runner of a service seem idle and the other one busy, though not too busy for requests.
func (h *harness) preferRunner(idle, busy string) {
	h.clock.Advance(time.Second)
	h.tracker.ApplyOccupancy(roster.Occupancy{idle: 0, busy: 8}, h.clock.Now())
}

// A runner that is leaving says so in any answer, and gets no further request although its registration still says ready.
func TestLeavingRunnerGetsNoFurtherRequest(t *testing.T) {
	for name, answer := range map[string]reply{
		"success":     respond(http.StatusOK, "ok"),
		"error":       respond(http.StatusInternalServerError, "no"),
		"not found":   respond(http.StatusNotFound, "no"),
		"decline":     decline(http.StatusServiceUnavailable),
		"misdirected": decline(http.StatusMisdirectedRequest),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, leaving(answer), respond(http.StatusOK, "ok"))
			h.preferRunner("p1", "p2")
			h.serve(t, "/unsafe/")
			for range furtherRequests {
				h.preferRunner("p1", "p2")
				h.serve(t, "/unsafe/")
			}
			require.Equal(t, "p1", h.sender.runners[0])
			require.GreaterOrEqual(t, h.sender.count(), 1+furtherRequests)
			require.NotContains(t, h.sender.runners[1:], "p1")
		})
	}
}

func TestLeavingRunnerGetsNoFurtherStream(t *testing.T) {
	h := newHarness(t, leaving(stream(nil, "id: 1\ndata: x\n\n")), stream(nil, "id: 1\ndata: x\n\n"))
	for range furtherRequests {
		h.preferRunner("m1", "m2")
		h.serve(t, "/once/")
	}
	require.Equal(t, furtherRequests, h.sender.count())
	require.Equal(t, "m1", h.sender.runners[0])
	require.NotContains(t, h.sender.runners[1:], "m1")
}

// A retry must not reach a runner that answered another request as leaving meanwhile.
func TestRetryAvoidsLeavingRunner(t *testing.T) {
	h := newHarness(t, leaving(respond(http.StatusOK, "ok")), decline(http.StatusServiceUnavailable))
	h.serve(t, "/safe/")
	h.serve(t, "/safe/")
	require.Equal(t, 2, h.sender.count(), "the only other runner is leaving")
	require.NotNil(t, h.caller.refused)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
}

// Once all runners of a service are leaving, its requests are refused at once; the last resort of runners in backoff does not
// include them.
func TestRequestIsRefusedOnceAllRunnersAreLeaving(t *testing.T) {
	h := newHarness(t, leaving(respond(http.StatusOK, "ok")))
	h.serve(t, "/unsafe/")
	h.serve(t, "/unsafe/")
	require.ElementsMatch(t, []string{"p1", "p2"}, h.sender.runners)
	for range furtherRequests {
		h.caller = &fakeCaller{}
		h.serve(t, "/unsafe/")
		require.NotNil(t, h.caller.refused)
		require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
		require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
		require.Positive(t, h.caller.refused.RetryAfter)
	}
	require.Equal(t, 2, h.sender.count())
}

// Runners that are leaving still have their models, so a request for an adapter of theirs does not wait for it to be loaded.
func TestLeavingRunnersCountAsHavingTheModel(t *testing.T) {
	h := newHarness(t, leaving(stream(nil, "id: 1\n\n")))
	r := h.request("/once/")
	r.Adapter = "a1"
	for range 3 {
		h.dispatcher.Serve(t.Context(), r, h.caller)
	}
	require.Equal(t, 2, h.sender.count())
	require.NotNil(t, h.caller.refused)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Empty(t, h.demand.missing)
}

// What a runner says binds its incarnation: also through later registrations and a removal, but not the next start under its ID.
func TestLeavingBindsOneIncarnation(t *testing.T) {
	h := newHarness(t, leaving(respond(http.StatusOK, "ok")), respond(http.StatusOK, "ok"))
	h.roster.Apply([]roster.Change{{ID: "p2"}, registration(5, 1)}, h.clock.Now())
	h.serve(t, "/unsafe/")
	require.Equal(t, 1, h.sender.count())
	refused := func(what string) {
		t.Helper()
		h.caller = &fakeCaller{}
		h.serve(t, "/unsafe/")
		require.NotNil(t, h.caller.refused, what)
		require.Equal(t, 1, h.sender.count(), what)
	}
	h.roster.Apply([]roster.Change{registration(5, 2)}, h.clock.Now())
	refused("later registration")
	h.clock.Advance(time.Minute)
	h.tracker.Prune(h.roster.View(), h.clock.Now())
	refused("pruned while registered")
	h.roster.Apply([]roster.Change{{ID: "p1"}}, h.clock.Now())
	h.tracker.Prune(h.roster.View(), h.clock.Now())
	h.roster.Apply([]roster.Change{registration(5, 3)}, h.clock.Now())
	refused("removed and registered again")
	h.roster.Apply([]roster.Change{registration(6, 1)}, h.clock.Now())
	h.serve(t, "/unsafe/")
	require.Equal(t, 2, h.sender.count(), "started again")
}

// A late answer of an earlier incarnation says nothing about the present one.
func TestEarlierIncarnationDoesNotBindLaterOne(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	earlier, later := registration(5, 1).Runner, registration(6, 1).Runner
	h.tracker.RecordLeaving(later, h.clock.Now())
	require.True(t, h.tracker.Leaving(later))
	require.True(t, h.tracker.Leaving(earlier))
	next := registration(7, 1).Runner
	require.False(t, h.tracker.Leaving(next))
	h.tracker.RecordLeaving(earlier, h.clock.Now())
	require.True(t, h.tracker.Leaving(later))
	require.False(t, h.tracker.Leaving(next))
}

// The state of a leaving runner that has left is dropped in the end.
func TestLeavingRunnerIsForgottenAfterItsRemoval(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	gone := registration(5, 1)
	h.tracker.RecordLeaving(gone.Runner, h.clock.Now())
	h.roster.Apply([]roster.Change{{ID: "p1"}}, h.clock.Now())
	h.clock.Advance(time.Hour)
	h.tracker.Prune(h.roster.View(), h.clock.Now())
	require.False(t, h.tracker.Leaving(gone.Runner))
}
