package dispatch_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A stream goes on after the last event with data that the caller has, whatever comes before and after it.
func TestStreamGoesOnAfterEventWithID(t *testing.T) {
	for name, tt := range map[string]struct {
		before string
		after  string
	}{
		"event without an ID before":        {"data: a\n\nid: 2\ndata: b\n\n", "2"},
		"event with an empty ID before":     {"id:\ndata: a\n\nid: 2\ndata: b\n\n", "2"},
		"ID after data":                     {"data: b\nid: 2\n\n", "2"},
		"block without data after":          {firstEvents + "event: ping\n\n", "2"},
		"comment after":                     {firstEvents + ": ping\n\n", "2"},
		"retry after":                       {firstEvents + "retry: 100\n\n", "2"},
		"only a retry":                      {"retry: 100\n\n", ""},
		"empty ID without data after":       {firstEvents + "id:\n\n", "2"},
		"comment and several lines of data": {"id: 2\n: note\ndata: a\ndata: b\n\n", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			const next = "id: 3\ndata: c\n\n"
			h := newHarness(t,
				respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, tt.before),
				respondTyped(http.StatusOK, eventStream, nil, next))
			h.serve(t, "/stream/")
			require.Equal(t, 2, h.sender.count())
			require.Equal(t, tt.after, h.sender.attempts[1].ResumeAfter)
			require.Equal(t, tt.before+next, h.caller.body)
			require.False(t, h.caller.aborted)
		})
	}
}

// A stream that goes on, as its caller asked, after an event that it names, may be begun again until an event was passed on.
func TestNamedEventCountsUntilFirstEvent(t *testing.T) {
	for first, attempts := range map[string]int{": ping\n\nid: 6\nda": 2, "id: 6\ndata: a\n\n": 2, "data: a\n\n": 1} {
		h := newHarness(t,
			respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, first),
			respondTyped(http.StatusOK, eventStream, nil, "id: 7\ndata: b\n\n"))
		r := h.request("/stream/")
		r.ResumeAfter = "5"
		h.dispatcher.Serve(t.Context(), r, h.caller)
		require.Equal(t, attempts, h.sender.count(), first)
		require.Equal(t, "5", h.sender.attempts[0].ResumeAfter)
		require.Equal(t, attempts == 1, h.caller.aborted, first)
	}
}

// No runner can take a stream over whose last event has no ID, so none is asked while its runner is silent.
func TestSilentStreamWithoutIDsIsNotTakenOver(t *testing.T) {
	for name, first := range map[string]string{"no ID": "data: a\n\n", "empty ID": "id:\ndata: a\n\n", "ID before": firstEvent + "data: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.sender.replies = []reply{h.fallSilent(2500*time.Millisecond, 1, first, "data: c\n\n"), stream(nil, first)}
			h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
			require.Equal(t, 1, h.sender.count())
			require.Equal(t, first+"data: c\n\n", h.caller.body)
			require.False(t, h.caller.aborted)
		})
	}
}
