package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

func TestOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name     string
		path     string
		replies  []reply
		status   int
		ran      refusal.Ran
		body     string
		attempts int
	}{
		{"answered", "/unsafe/", []reply{respond(200, "ok")}, 200, "", "ok", 1},
		{"no route", "/nowhere/", []reply{respond(200, "ok")}, 404, refusal.NotRun, "", 0},
		{"unsafe request without a response is not retried", "/unsafe/", []reply{loseResponse, respond(200, "ok")}, 502, refusal.Unknown, "", 1},
		{"safe request without a response is retried", "/safe/", []reply{loseResponse, respond(200, "ok")}, 200, "", "ok", 2},
		{"unsafe request that was never written is retried", "/unsafe/", []reply{failNotSent, respond(200, "ok")}, 200, "", "ok", 2},
		{"unsafe request that was declined is retried", "/unsafe/", []reply{decline(503), respond(200, "ok")}, 200, "", "ok", 2},
		{"request declined by all runners is refused as not run", "/unsafe/", []reply{decline(503)}, 503, refusal.NotRun, "", 2},
		{"misdirected request is retried", "/unsafe/", []reply{decline(421), respond(200, "ok")}, 200, "", "ok", 2},
		{"request declined after a lost response may have run", "/safe/", []reply{loseResponse, decline(503)}, 502, refusal.Unknown, "", 2},
		{"server error of an unsafe request is passed on", "/unsafe/", []reply{respond(500, "bad"), respond(200, "ok")}, 500, "", "bad", 1},
		{"server error of a safe request is retried", "/safe/", []reply{respond(500, "bad"), respond(200, "ok")}, 200, "", "ok", 2},
		{"second server error is passed on", "/safe/", []reply{respond(500, "bad")}, 500, "", "bad", 2},
		{"client error is passed on", "/safe/", []reply{respond(404, "none")}, 404, "", "none", 1},
		{"truncated response to an unsafe request is not retried", "/unsafe/", []reply{stream(io.ErrUnexpectedEOF, "par"), respond(200, "ok")}, 502, refusal.Unknown, "", 1},
		{"truncated response to a safe request is retried", "/safe/", []reply{stream(io.ErrUnexpectedEOF, "par"), respond(200, "ok")}, 200, "", "ok", 2},
		{"non-resumable stream without a response is not retried", "/once/", []reply{loseResponse, stream(io.EOF, "id: 1\n\n")}, 502, refusal.Unknown, "", 1},
		{"resumable stream without a response is retried", "/stream/", []reply{loseResponse, stream(io.EOF, "id: 1\n\n")}, 200, "", "id: 1\n\n", 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, tt.replies...)
			h.serve(t, tt.path)
			require.Equal(t, tt.attempts, h.sender.count())
			require.Equal(t, tt.body, h.caller.body)
			if h.caller.refused != nil {
				require.Equal(t, tt.status, h.caller.refused.Status)
				require.Equal(t, tt.ran, h.caller.refused.Ran)
				return
			}
			require.Equal(t, tt.status, h.caller.status)
			require.Empty(t, tt.ran)
		})
	}
}

func TestRefusedWithoutConfiguration(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	h.catalog = nil
	h.serve(t, "/safe/")
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Positive(t, h.caller.refused.RetryAfter)
	require.Zero(t, h.sender.count())
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	h := newHarness(t, decline(503))
	h.serve(t, "/unsafe/")
	require.Positive(t, h.caller.refused.RetryAfter)
}

// A stream that breaks off inside an event resumes after the last complete one, once the first connection is closed.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	h := newHarness(t,
		stream(io.ErrUnexpectedEOF, "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"),
		nil)
	h.sender.replies[1] = func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		require.True(t, h.sender.closed[0])
		return stream(io.EOF, "id: 3\ndata: c\n\n")(ctx, r, attempt)
	}
	h.serve(t, "/stream/")
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", h.caller.body)
	require.Equal(t, "2", h.sender.attempts[1].ResumeAfter)
	require.False(t, h.caller.aborted)
}

func TestBrokenStreamIsAborted(t *testing.T) {
	for name, tt := range map[string]struct {
		path     string
		replies  []reply
		attempts int
	}{
		"not resumable":         {"/once/", []reply{stream(io.ErrUnexpectedEOF, "id: 1\n\n")}, 1},
		"ends inside an event":  {"/once/", []reply{stream(io.EOF, "id: 1\n\nid: 2")}, 1},
		"resumable, both break": {"/stream/", []reply{stream(io.ErrUnexpectedEOF, "id: 1\n\n"), stream(io.ErrUnexpectedEOF, "id: 2\n\n")}, 2},
		"resumable, declined":   {"/stream/", []reply{stream(io.ErrUnexpectedEOF, "id: 1\n\n"), decline(503)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tt.replies...)
			h.serve(t, tt.path)
			require.True(t, h.caller.aborted)
			require.Nil(t, h.caller.refused)
			require.Equal(t, tt.attempts, h.sender.count())
		})
	}
}

func TestCallerResumeIsPassedOn(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 9\n\n"))
	r := h.request("/stream/")
	r.ResumeAfter = "8"
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Equal(t, "8", h.sender.attempts[0].ResumeAfter)
}

func TestDeadline(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, hang)
			h.retryBudget.SetLimits(dispatch.RetryLimits{Window: time.Second}, 1)
			r := h.request(path)
			h.serveAdvancing(t, t.Context(), r, 50*time.Millisecond)
			require.Equal(t, http.StatusGatewayTimeout, h.caller.refused.Status)
			require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
			require.LessOrEqual(t, h.sender.attempts[0].Remaining, r.MaxWait)
		})
	}
}

// The route's timeout applies even if the caller would wait for longer.
func TestRouteTimeout(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	r := h.request("/safe/")
	r.MaxWait = time.Minute
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Equal(t, 10*time.Second, h.sender.attempts[0].Remaining)
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	canceled := make(chan struct{})
	h := newHarness(t, func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		defer close(canceled)
		return hang(ctx, r, attempt)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.dispatcher.Serve(ctx, h.request("/stream/"), h.caller)
	}()
	require.Eventually(t, func() bool { return h.sender.count() == 1 }, waitTimeout, pollInterval)
	disconnect()
	<-canceled
	<-done
	require.Equal(t, 1, h.sender.count())
	require.Nil(t, h.caller.refused)
}

func TestFailedWriteEndsStream(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 1\n\n", "id: 2\n\n"))
	h.caller.failWrites = true
	h.serve(t, "/stream/")
	require.Equal(t, 1, h.sender.count())
	require.True(t, h.sender.closed[0])
}

// A request moves to another runner if its runner sends nothing to anyone.
func TestStalledRunnerIsReplaced(t *testing.T) {
	h := newHarness(t, hang, stream(io.EOF, "id: 1\n\n"))
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, 2, h.sender.count())
	require.Equal(t, "id: 1\n\n", h.caller.body)
}

// A runner that is slow with one request but answers others keeps that request.
func TestBusyRunnerIsKept(t *testing.T) {
	h := newHarness(t, hang)
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.dispatcher.Serve(ctx, h.request("/stream/"), h.caller)
	}()
	require.Eventually(t, func() bool { return h.sender.count() == 1 }, waitTimeout, pollInterval)
	h.sender.mu.Lock()
	busy := h.sender.runners[0]
	h.sender.replies = []reply{hang, respond(200, "data: ok\n\n")}
	h.sender.mu.Unlock()
	// Only the busy runner is left for the other requests, and it answers each of them.
	for id := range h.roster.View().All() {
		if id != busy && h.roster.View().All()[id].Service == "models" {
			h.roster.Apply([]roster.Change{{ID: id}}, h.clock.Now())
		}
	}
	for range 15 {
		h.clock.Advance(300 * time.Millisecond)
		other := &fakeCaller{}
		r := h.request("/once/")
		h.dispatcher.Serve(t.Context(), r, other)
		require.Equal(t, 200, other.status)
		require.Equal(t, "data: ok\n\n", other.body)
	}
	disconnect()
	<-done
	require.Equal(t, 16, h.sender.count())
}

// Retries stop when the budget is used up; first attempts go on.
func TestBudgetLimitsRetries(t *testing.T) {
	h := newHarness(t, loseResponse)
	h.retryBudget.SetLimits(dispatch.RetryLimits{
		Window: 10 * time.Second,
		Ratio:  0.1,
		Slack:  5,
	}, 1)
	for range 100 {
		h.serve(t, "/safe/")
	}
	require.LessOrEqual(t, h.sender.count()-100, 15)
	require.Greater(t, h.sender.count(), 100)
}

func TestMaxAttempts(t *testing.T) {
	h := newHarness(t, decline(503))
	h.roster.Apply([]roster.Change{runner("p3", "plain", "a"), runner("p4", "plain", "a")}, h.clock.Now())
	h.serve(t, "/safe/")
	require.Equal(t, 2, h.sender.count())
	require.NotEqual(t, h.sender.runners[0], h.sender.runners[1])
}

func TestDrainingRunnerGetsNoRequests(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	draining := runner("p1", "plain", "a")
	draining.Runner.Draining = true
	draining.Runner.Heartbeat = 2
	h.roster.Apply([]roster.Change{draining}, h.clock.Now())
	for range 20 {
		h.serve(t, "/safe/")
	}
	require.NotContains(t, h.sender.runners, "p1")
}

func TestUnknownModelIsReportedMissing(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	r := h.request("/stream/")
	r.Model = "other"
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, []string{"other/"}, h.demand.missing)
	require.Zero(t, h.sender.count())
}

// A request for an adapter goes to a runner that was observed to have it before its registration shows it.
func TestObservedAdapterIsUsed(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 1\n\n"))
	r := h.request("/stream/")
	r.Adapter = "a2"
	h.tracker.Observe("m2", "m", "a2", true, h.clock.Now(), time.Second)
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Equal(t, []string{"m2"}, h.sender.runners)
}

func TestMissingAdapterIsRefused(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 1\n\n"))
	r := h.request("/stream/")
	r.Adapter = "a2"
	start := h.clock.Now()
	h.serveAdvancing(t, t.Context(), r, 5*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Zero(t, h.sender.count())
	require.Contains(t, h.demand.missing, "m/a2")
	require.Positive(t, h.clock.Since(start))
}

// A runner's statement that it lacks a model is relied on for a while.
func TestRunnerWithoutModelIsAvoided(t *testing.T) {
	h := newHarness(t, decline(421), stream(io.EOF, "id: 1\n\n"))
	h.serve(t, "/stream/")
	first := h.sender.runners[0]
	for range 5 {
		h.serve(t, "/stream/")
	}
	require.NotContains(t, h.sender.runners[1:], first)
}

// A runner that failed twice in a row gets no request for a while, unless there is no other.
func TestFailingRunnerIsPutInBackoff(t *testing.T) {
	h := newHarness(t, loseResponse)
	h.roster.Apply([]roster.Change{{ID: "p2"}}, h.clock.Now())
	h.serve(t, "/unsafe/")
	h.serve(t, "/unsafe/")
	h.roster.Apply([]roster.Change{runner("p3", "plain", "b")}, h.clock.Now())
	h.sender.replies = []reply{respond(200, "ok")}
	h.serve(t, "/unsafe/")
	require.Equal(t, "p3", h.sender.runners[2])
	h.roster.Apply([]roster.Change{{ID: "p3"}}, h.clock.Now())
	h.serve(t, "/unsafe/")
	require.Equal(t, "p1", h.sender.runners[3])
}
