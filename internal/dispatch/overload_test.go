package dispatch_test

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// overloaded returns a harness whose model runners have so many requests that the next one can't be answered in time.
func overloaded(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, stream(nil, "id: 1\ndata: y\n\n"))
	urgent, other := route("/urgent/", catalog.Streaming, false, 1), route("/other/", catalog.Streaming, false, 1)
	other.Priority = 1
	h.catalog = catalog.New(8, catalog.Limits{}, []catalog.Route{urgent, other}, []catalog.Service{{
		Name:   "models",
		Engine: &catalog.Engine{Models: []catalog.Model{{Name: "m", LoadTime: 2 * time.Second}}},
	}})
	h.tracker.ApplyOccupancy(roster.Occupancy{"m1": 60, "m2": 60}, h.clock.Now())
	return h
}

// A request that can't be answered in time is refused at once, without being sent, and told to come back when a further runner may
// have the model.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	h := overloaded(t)
	r := h.request("/other/")
	r.Model = "m"
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Zero(t, h.sender.count())
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
	require.Greater(t, h.caller.refused.RetryAfter, time.Second)
	require.LessOrEqual(t, h.caller.refused.RetryAfter, r.MaxWait/3)
}

// Runners begin the most urgent requests first, so these are sent even then.
func TestUrgentRequestIsSentToBusyRunners(t *testing.T) {
	h := overloaded(t)
	r := h.request("/urgent/")
	r.Model = "m"
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, http.StatusOK, h.caller.status)
}

// When more requests arrive for a model than its runners can serve, the excess is refused before the runners' queues fill.
func TestExcessIsRefusedBeforeQueuesFill(t *testing.T) {
	h := overloaded(t)
	h.tracker.ApplyOccupancy(roster.Occupancy{"m1": 8, "m2": 8}, h.clock.Now().Add(time.Second))
	h.clock.Advance(time.Second)
	h.tracker.ApplyRequestRate("models", "m", 400, h.clock.Now())
	// The runners' answers end at once and would count as very short requests, had they succeeded.
	h.sender.replies = []reply{respond(http.StatusBadRequest, "")}
	refused := 0
	for range 200 {
		caller := &fakeCaller{}
		r := h.request("/other/")
		r.Model = "m"
		h.dispatcher.Serve(t.Context(), r, caller)
		if caller.refused != nil {
			refused++
		}
	}
	require.Greater(t, refused, 100, "16 slots serve some 40 requests a second")
	require.Less(t, refused, 200)
}

// A caller that takes up its stream has a part of the answer already, and few runners can go on with it.
func TestTakenUpStreamIsNotRefusedAsHopeless(t *testing.T) {
	h := overloaded(t)
	urgent, other := route("/urgent/", catalog.Streaming, true, 1), route("/other/", catalog.Streaming, true, 1)
	other.Priority = 1
	h.catalog = catalog.New(9, catalog.Limits{}, []catalog.Route{urgent, other},
		slices.Collect(maps.Values(h.catalog.Services())))
	r := h.request("/other/")
	r.Model, r.ResumeAfter, r.Resumes = "m", "0", "first"
	h.dispatcher.Origins = &fakeOrigins{
		found:   origin.Origin{Known: true},
		started: make(map[string]string),
		caller:  h.caller,
	}
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, http.StatusOK, h.caller.status)
}

// While a service has a single release, expected waits apply to a stream that is taken up as to any other request.
func TestTakenUpStreamOfOnlyReleaseIsRefusedAsHopeless(t *testing.T) {
	h := overloaded(t)
	other := route("/other/", catalog.Streaming, true, 1)
	other.Priority = 1
	h.catalog = catalog.New(9, catalog.Limits{}, []catalog.Route{other}, slices.Collect(maps.Values(h.catalog.Services())))
	r := h.request("/other/")
	r.Model, r.ResumeAfter, r.Resumes = "m", "0", "first"
	h.dispatcher.Origins = &fakeOrigins{
		found: origin.Origin{
			Known:  true,
			Single: true,
		},
		started: make(map[string]string),
		caller:  h.caller,
	}
	h.dispatcher.Serve(t.Context(), r, h.caller)
	require.Zero(t, h.sender.count())
	require.Equal(t, refusal.TooLate, h.caller.refused.Code)
}
