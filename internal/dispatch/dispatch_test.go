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
		name   string
		path   string
		plays  []play
		status int
		ran    refusal.Ran
		body   string
		sends  int
	}{
		{"answered", "/unsafe/", []play{whole(200, "ok")}, 200, "", "ok", 1},
		{"no route", "/nowhere/", []play{whole(200, "ok")}, 404, refusal.NotRun, "", 0},
		{"unsafe lost is not repeated", "/unsafe/", []play{lost, whole(200, "ok")}, 502, refusal.Unknown, "", 1},
		{"safe lost is repeated", "/safe/", []play{lost, whole(200, "ok")}, 200, "", "ok", 2},
		{"unsafe never written goes elsewhere", "/unsafe/", []play{unsent, whole(200, "ok")}, 200, "", "ok", 2},
		{"unsafe declined goes elsewhere", "/unsafe/", []play{declined(503), whole(200, "ok")}, 200, "", "ok", 2},
		{"declined by all is refused as not run", "/unsafe/", []play{declined(503)}, 503, refusal.NotRun, "", 2},
		{"misdirected goes elsewhere", "/unsafe/", []play{declined(421), whole(200, "ok")}, 200, "", "ok", 2},
		{"declined after a loss may have run", "/safe/", []play{lost, declined(503)}, 502, refusal.Unknown, "", 2},
		{"unsafe failure is passed on", "/unsafe/", []play{whole(500, "bad"), whole(200, "ok")}, 500, "", "bad", 1},
		{"safe failure is tried elsewhere", "/safe/", []play{whole(500, "bad"), whole(200, "ok")}, 200, "", "ok", 2},
		{"second failure is passed on", "/safe/", []play{whole(500, "bad")}, 500, "", "bad", 2},
		{"failure of the caller is passed on", "/safe/", []play{whole(404, "none")}, 404, "", "none", 1},
		{"unsafe truncated is not repeated", "/unsafe/", []play{stream(io.ErrUnexpectedEOF, "par"), whole(200, "ok")}, 502, refusal.Unknown, "", 1},
		{"safe truncated is repeated", "/safe/", []play{stream(io.ErrUnexpectedEOF, "par"), whole(200, "ok")}, 200, "", "ok", 2},
		{"non-resumable stream lost is not repeated", "/once/", []play{lost, stream(io.EOF, "id: 1\n\n")}, 502, refusal.Unknown, "", 1},
		{"resumable stream lost is repeated", "/stream/", []play{lost, stream(io.EOF, "id: 1\n\n")}, 200, "", "id: 1\n\n", 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, tt.plays...)
			h.serve(t, tt.path)
			require.Equal(t, tt.sends, h.sends.count())
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

func TestWithoutConfiguration(t *testing.T) {
	h := newHarness(t, whole(200, "ok"))
	h.catalog = nil
	h.serve(t, "/safe/")
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Positive(t, h.caller.refused.RetryAfter)
	require.Zero(t, h.sends.count())
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	h := newHarness(t, declined(503))
	h.serve(t, "/unsafe/")
	require.Positive(t, h.caller.refused.RetryAfter)
}

// A stream that breaks inside an event goes on after the last whole one, once the first run's connection is closed.
func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	h := newHarness(t,
		stream(io.ErrUnexpectedEOF, "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"),
		nil)
	h.sends.plays[1] = func(ctx context.Context, r *dispatch.Request, try dispatch.Try) (*dispatch.Answer, error) {
		require.True(t, h.sends.closed[0])
		return stream(io.EOF, "id: 3\ndata: c\n\n")(ctx, r, try)
	}
	h.serve(t, "/stream/")
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", h.caller.body)
	require.Equal(t, "2", h.sends.tries[1].ResumeAfter)
	require.False(t, h.caller.aborted)
}

func TestBrokenStreamIsAborted(t *testing.T) {
	for name, tt := range map[string]struct {
		path  string
		plays []play
		sends int
	}{
		"not resumable":         {"/once/", []play{stream(io.ErrUnexpectedEOF, "id: 1\n\n")}, 1},
		"ends inside an event":  {"/once/", []play{stream(io.EOF, "id: 1\n\nid: 2")}, 1},
		"resumable, both break": {"/stream/", []play{stream(io.ErrUnexpectedEOF, "id: 1\n\n"), stream(io.ErrUnexpectedEOF, "id: 2\n\n")}, 2},
		"resumable, declined":   {"/stream/", []play{stream(io.ErrUnexpectedEOF, "id: 1\n\n"), declined(503)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tt.plays...)
			h.serve(t, tt.path)
			require.True(t, h.caller.aborted)
			require.Nil(t, h.caller.refused)
			require.Equal(t, tt.sends, h.sends.count())
		})
	}
}

func TestCallersOwnResumeIsPassedOn(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 9\n\n"))
	r := h.request("/stream/")
	r.ResumeAfter = "8"
	h.d.Serve(t.Context(), r, h.caller)
	require.Equal(t, "8", h.sends.tries[0].ResumeAfter)
}

func TestDeadline(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, hang)
			h.budget.Share(dispatch.BudgetLimits{Window: time.Second}, 1)
			r := h.request(path)
			h.serveAdvancing(t, t.Context(), r, 50*time.Millisecond)
			require.Equal(t, http.StatusGatewayTimeout, h.caller.refused.Status)
			require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
			require.LessOrEqual(t, h.sends.tries[0].Left, r.Left)
		})
	}
}

// The route's timeout binds also where the caller would wait for longer.
func TestTimeoutOfTheRoute(t *testing.T) {
	h := newHarness(t, whole(200, "ok"))
	r := h.request("/safe/")
	r.Left = time.Minute
	h.d.Serve(t.Context(), r, h.caller)
	require.Equal(t, 10*time.Second, h.sends.tries[0].Left)
}

func TestCallerWhoLeavesEndsTheSend(t *testing.T) {
	ended := make(chan struct{})
	h := newHarness(t, func(ctx context.Context, r *dispatch.Request, try dispatch.Try) (*dispatch.Answer, error) {
		defer close(ended)
		return hang(ctx, r, try)
	})
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.d.Serve(ctx, h.request("/stream/"), h.caller)
	}()
	require.Eventually(t, func() bool { return h.sends.count() == 1 }, waitLimit, tick)
	leave()
	<-ended
	<-done
	require.Equal(t, 1, h.sends.count())
	require.Nil(t, h.caller.refused)
}

func TestCallerWhoStopsReadingEndsTheStream(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 1\n\n", "id: 2\n\n"))
	h.caller.fail = true
	h.serve(t, "/stream/")
	require.Equal(t, 1, h.sends.count())
	require.True(t, h.sends.closed[0])
}

// A runner that sends nothing to anybody is left; the request goes to another one.
func TestSilentRunnerIsLeft(t *testing.T) {
	h := newHarness(t, hang, stream(io.EOF, "id: 1\n\n"))
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, 2, h.sends.count())
	require.Equal(t, "id: 1\n\n", h.caller.body)
}

// A runner that is only slow answers other requests meanwhile, and keeps this one.
func TestBusyRunnerIsKept(t *testing.T) {
	h := newHarness(t, hang)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.d.Serve(ctx, h.request("/stream/"), h.caller)
	}()
	require.Eventually(t, func() bool { return h.sends.count() == 1 }, waitLimit, tick)
	h.sends.mu.Lock()
	busy := h.sends.runners[0]
	h.sends.plays = []play{hang, whole(200, "ok")}
	h.sends.mu.Unlock()
	// Only the busy runner is left for others, and it answers each of them.
	for id := range h.roster.View().All() {
		if id != busy && h.roster.View().All()[id].Service == "models" {
			h.roster.Apply([]roster.Change{{ID: id}}, h.clock.Now())
		}
	}
	for range 15 {
		h.clock.Advance(300 * time.Millisecond)
		other := &caller{}
		r := h.request("/once/")
		h.d.Serve(t.Context(), r, other)
		require.Equal(t, 200, other.status)
	}
	leave()
	<-done
	require.Equal(t, 16, h.sends.count())
}

// Further sends stop when the budget of all VMs is used up; the first sends go on.
func TestBudgetBoundsFurtherSends(t *testing.T) {
	h := newHarness(t, lost)
	h.budget.Share(dispatch.BudgetLimits{
		Window: 10 * time.Second,
		Ratio:  0.1,
		Slack:  5,
	}, 1)
	for range 100 {
		h.serve(t, "/safe/")
	}
	require.LessOrEqual(t, h.sends.count()-100, 15)
	require.Greater(t, h.sends.count(), 100)
}

func TestMaxSends(t *testing.T) {
	h := newHarness(t, declined(503))
	h.roster.Apply([]roster.Change{runner("p3", "plain", "a"), runner("p4", "plain", "a")}, h.clock.Now())
	h.serve(t, "/safe/")
	require.Equal(t, 2, h.sends.count())
	require.NotEqual(t, h.sends.runners[0], h.sends.runners[1])
}

func TestDrainingRunnerGetsNothing(t *testing.T) {
	h := newHarness(t, whole(200, "ok"))
	leaving := runner("p1", "plain", "a")
	leaving.Runner.Draining = true
	leaving.Runner.Heartbeat = 2
	h.roster.Apply([]roster.Change{leaving}, h.clock.Now())
	for range 20 {
		h.serve(t, "/safe/")
	}
	require.NotContains(t, h.sends.runners, "p1")
}

func TestUnknownModelIsAskedFor(t *testing.T) {
	h := newHarness(t, whole(200, "ok"))
	r := h.request("/stream/")
	r.Model = "other"
	h.d.Serve(t.Context(), r, h.caller)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, []string{"other/"}, h.noted.missing)
	require.Zero(t, h.sends.count())
}

// A request waits a little for an adapter on its way, and goes as soon as a runner has it.
func TestAdapterOnItsWayIsAwaited(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 1\n\n"))
	r := h.request("/stream/")
	r.Adapter = "a2"
	h.tracker.Learn("m2", "m", "a2", true, h.clock.Now(), time.Second)
	h.d.Serve(t.Context(), r, h.caller)
	require.Equal(t, []string{"m2"}, h.sends.runners)
}

func TestAdapterThatDoesNotComeIsRefusedSoon(t *testing.T) {
	h := newHarness(t, stream(io.EOF, "id: 1\n\n"))
	r := h.request("/stream/")
	r.Adapter = "a2"
	start := h.clock.Now()
	h.serveAdvancing(t, t.Context(), r, 5*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Zero(t, h.sends.count())
	require.Contains(t, h.noted.missing, "m/a2")
	require.Positive(t, h.clock.Since(start))
}

// A runner's word that it lacks a model is believed for a while.
func TestMisdirectedModelIsRemembered(t *testing.T) {
	h := newHarness(t, declined(421), stream(io.EOF, "id: 1\n\n"))
	h.serve(t, "/stream/")
	first := h.sends.runners[0]
	for range 5 {
		h.serve(t, "/stream/")
	}
	require.NotContains(t, h.sends.runners[1:], first)
}

// A runner that failed twice in a row gets nothing for a while, unless there is no other.
func TestFailingRunnerIsAvoided(t *testing.T) {
	h := newHarness(t, lost)
	h.roster.Apply([]roster.Change{{ID: "p2"}}, h.clock.Now())
	h.serve(t, "/unsafe/")
	h.serve(t, "/unsafe/")
	h.roster.Apply([]roster.Change{runner("p3", "plain", "b")}, h.clock.Now())
	h.sends.plays = []play{whole(200, "ok")}
	h.serve(t, "/unsafe/")
	require.Equal(t, "p3", h.sends.runners[2])
	h.roster.Apply([]roster.Change{{ID: "p3"}}, h.clock.Now())
	h.serve(t, "/unsafe/")
	require.Equal(t, "p1", h.sends.runners[3])
}
