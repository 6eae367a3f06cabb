package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// fakeOrigins answers each lookup with the same origin and records the starts.
type fakeOrigins struct {
	found   origin.Origin
	lookups []string
	// started has the release of each stream, and delivered what its caller had received before.
	started   map[string]string
	delivered string
	caller    *fakeCaller
}

func (o *fakeOrigins) RecordStart(requestID string, runner *roster.Runner) {
	o.started[requestID] = runner.Release
	o.delivered = o.caller.body
}

func (o *fakeOrigins) Lookup(_ context.Context, _, requestID string) origin.Origin {
	o.lookups = append(o.lookups, requestID)
	return o.found
}

// newReleaseHarness returns a harness whose model runners have the given releases.
func newReleaseHarness(t *testing.T, found origin.Origin, releases map[string]string, replies ...reply) (*harness, *fakeOrigins) {
	t.Helper()
	h := newHarness(t, replies...)
	var changes []roster.Change
	for id, release := range releases {
		change := runner(id, "models", "a")
		change.Runner.Release = release
		change.Runner.Incarnation = 2
		changes = append(changes, change)
	}
	for _, id := range []string{"m1", "m2"} {
		if _, named := releases[id]; !named {
			changes = append(changes, roster.Change{ID: id})
		}
	}
	h.roster.Apply(changes, h.clock.Now())
	origins := &fakeOrigins{
		found:   found,
		started: make(map[string]string),
		caller:  h.caller,
	}
	h.dispatcher.Origins = origins
	return h, origins
}

// What two releases write doesn't fit together: a stream that breaks off goes on at its own release or not at all.
func TestBrokenStreamGoesOnAtItsRelease(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			h, origins := newReleaseHarness(t, origin.Origin{Single: true},
				map[string]string{"m1": "v1", "m2": "v2", "m3": "v1", "m4": "v2"},
				respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, firstEvents),
				respondTyped(http.StatusOK, eventStream, nil, "id: 3\ndata: c\n\n"))
			h.serve(t, "/stream/")
			releases := map[string]string{"m1": "v1", "m2": "v2", "m3": "v1", "m4": "v2"}
			require.Equal(t, 2, h.sender.count())
			require.Equal(t, releases[h.sender.runners[0]], releases[h.sender.runners[1]])
			require.Equal(t, firstEvents+"id: 3\ndata: c\n\n", h.caller.body)
			require.Len(t, origins.started, 1)
			require.Empty(t, origins.delivered, "the release must be recorded before the first event is delivered")
		})
	}
}

func TestBrokenStreamDoesNotGoOnAtAnotherRelease(t *testing.T) {
	h, _ := newReleaseHarness(t, origin.Origin{Single: true}, map[string]string{"m1": "v1", "m2": "v2"},
		respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, firstEvents),
		respondTyped(http.StatusOK, eventStream, nil, "id: 3\ndata: c\n\n"))
	h.serve(t, "/stream/")
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, firstEvents, h.caller.body)
	require.True(t, h.caller.aborted)
	require.Empty(t, h.demand.missing, "the model is not missing")
}

// A second runner that is tried before the first event may have any release.
func TestStreamThatDidNotBeginGoesOnAnywhere(t *testing.T) {
	h, origins := newReleaseHarness(t, origin.Origin{Single: true}, map[string]string{"m1": "v1", "m2": "v2"},
		loseResponse, respondTyped(http.StatusOK, eventStream, nil, firstEvents))
	h.serve(t, "/stream/")
	require.Equal(t, 2, h.sender.count())
	require.Equal(t, firstEvents, h.caller.body)
	require.Equal(t, map[string]string{"m1": "v1", "m2": "v2"}[h.sender.runners[1]], origins.started["id"])
}

// A stream that a caller takes up goes on at the release that began it. If that is unknown, or has no runner left, the request is refused
// as not run.
func TestTakenUpStreamGoesOnAtItsRelease(t *testing.T) {
	both := map[string]string{"m1": "v1", "m2": "v2"}
	for name, c := range map[string]struct {
		found    origin.Origin
		releases map[string]string
		runner   string
	}{
		"known":           {found: origin.Origin{Known: true, Release: "v2"}, releases: both, runner: "m2"},
		"other known":     {found: origin.Origin{Known: true, Release: "v1"}, releases: both, runner: "m1"},
		"known, but gone": {found: origin.Origin{Known: true, Release: "v0"}, releases: both},
		"unknown":         {found: origin.Origin{}, releases: both},
		"unknown, and one release left": {
			found:    origin.Origin{},
			releases: map[string]string{"m1": "v1"},
		},
		"single release": {found: origin.Origin{Single: true}, releases: map[string]string{"m1": "v1"}, runner: "m1"},
	} {
		t.Run(name, func(t *testing.T) {
			h, origins := newReleaseHarness(t, c.found, c.releases, respondTyped(http.StatusOK, eventStream, nil, "id: 3\ndata: c\n\n"))
			r := h.request("/stream/")
			r.ResumeAfter, r.Resumes = "2", "first"
			h.dispatcher.Serve(t.Context(), r, h.caller)
			require.Equal(t, []string{"first"}, origins.lookups)
			if c.runner != "" {
				require.Equal(t, []string{c.runner}, h.sender.runners)
				require.Equal(t, "id: 3\ndata: c\n\n", h.caller.body)
				return
			}
			require.Zero(t, h.sender.count())
			require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
			require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
			require.Empty(t, h.demand.missing)
		})
	}
}

// Runners of a newer release may join, or replace all others, after the release was found to be the only one. The stream does not go on
// there.
func TestStreamOfOnlyReleaseDoesNotGoOnAtLaterOne(t *testing.T) {
	only := origin.Origin{
		Release: "v1",
		Known:   true,
		Single:  true,
	}
	t.Run("joined", func(t *testing.T) {
		h, _ := newReleaseHarness(t, only, map[string]string{"m1": "v2", "m2": "v1", "m3": "v2", "m4": "v2"},
			respondTyped(http.StatusOK, eventStream, nil, "id: 3\ndata: c\n\n"))
		r := h.request("/stream/")
		r.ResumeAfter, r.Resumes = "2", "first"
		h.dispatcher.Serve(t.Context(), r, h.caller)
		require.Equal(t, []string{"m2"}, h.sender.runners)
	})
	t.Run("replaced", func(t *testing.T) {
		h, _ := newReleaseHarness(t, only, map[string]string{"m1": "v2"}, respondTyped(http.StatusOK, eventStream, nil, "id: 3\ndata: c\n\n"))
		r := h.request("/stream/")
		r.ResumeAfter, r.Resumes = "2", "first"
		h.dispatcher.Serve(t.Context(), r, h.caller)
		require.Zero(t, h.sender.count())
		require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
		require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
	})
}

// The cost of a request that is refused because its stream's release is unknown goes back to its account.
func TestCostIsReturnedIfReleaseIsUnknown(t *testing.T) {
	h, _ := newReleaseHarness(t, origin.Origin{}, map[string]string{"m1": "v1"}, respond(http.StatusOK, "ok"))
	quotas := withAccounts(h)
	h.serveWithKey(t, "/stream/", largeKey, func(r *dispatch.Request) { r.ResumeAfter = "2" })
	require.Equal(t, refusal.ReleaseUnknown, h.caller.refused.Code)
	require.Len(t, quotas.taken, 1)
	require.Equal(t, quotas.taken, quotas.returned)
}

// A caller may have left before its stream could be looked for, such as while this VM was suspended.
func TestCallerThatLeftIsNotRefused(t *testing.T) {
	h, _ := newReleaseHarness(t, origin.Origin{}, map[string]string{"m1": "v1"}, respond(http.StatusOK, "ok"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := h.request("/stream/")
	r.ResumeAfter = "2"
	h.dispatcher.Serve(ctx, r, h.caller)
	require.Nil(t, h.caller.refused)
	require.True(t, h.caller.aborted)
	require.Zero(t, h.sender.count())
}
