package dispatch_test

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// A runner that stops may have completed a stream whose end nothing marks; another one then has no event to add.
func TestStreamOfStoppedRunnerIsCompleteIfNoEventFollows(t *testing.T) {
	const third = "id: 3\ndata: c\n\n"
	unconfirmed := &outbound.UnconfirmedEndError{Cause: syscall.ECONNREFUSED}
	for name, tt := range map[string]struct {
		replies  []reply
		body     string
		complete bool
	}{
		"marked end":               {[]reply{unframed(stream(unconfirmed, firstEvents)), stream(nil)}, firstEvents, true},
		"comment and marked end":   {[]reply{unframed(stream(unconfirmed, firstEvents)), stream(nil, ": bye\n\n")}, firstEvents, true},
		"error, then marked end":   {[]reply{unframed(stream(unconfirmed, firstEvents)), respond(http.StatusInternalServerError, ""), stream(nil)}, firstEvents, true},
		"further event":            {[]reply{unframed(stream(unconfirmed, firstEvents)), stream(nil, third)}, firstEvents + third, true},
		"unmarked end":             {[]reply{unframed(stream(unconfirmed, firstEvents)), unframed(stream(nil))}, firstEvents, false},
		"other status":             {[]reply{unframed(stream(unconfirmed, firstEvents)), respond(http.StatusNoContent, "")}, firstEvents, false},
		"part of an event":         {[]reply{unframed(stream(unconfirmed, firstEvents)), stream(nil, "id: 3\nda")}, firstEvents, false},
		"end inside an event":      {[]reply{unframed(stream(unconfirmed, firstEvents, "id: 3\nda")), stream(nil)}, firstEvents, false},
		"reset":                    {[]reply{unframed(stream(syscall.ECONNRESET, firstEvents)), stream(nil)}, firstEvents, false},
		"reset after another part": {[]reply{unframed(stream(unconfirmed, firstEvents)), stream(io.ErrUnexpectedEOF, third), stream(nil)}, firstEvents + third, false},
		"no event before":          {[]reply{unframed(stream(unconfirmed)), unframed(stream(nil))}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tt.replies...)
			h.addThirdAttempt()
			h.serve(t, "/stream/")
			require.Equal(t, tt.body, h.caller.body)
			require.Equal(t, !tt.complete, h.caller.aborted || h.caller.refused != nil)
		})
	}
}

// addThirdAttempt adds a runner and an attempt to the route of streams.
func (h *harness) addThirdAttempt() {
	h.roster.Apply([]roster.Change{runner("m3", "models", "b")}, h.clock.Now())
	h.catalog = catalog.New(8, catalog.Limits{}, []catalog.Route{route("/stream/", catalog.Streaming, true, 3)},
		[]catalog.Service{{Name: "models", Engine: &catalog.Engine{}}})
}

// What the next runner sends shows that the stream had not ended, so an end without an event after it proves nothing.
func TestUnconfirmedEndCountsOnlyUntilNextEvent(t *testing.T) {
	const third, fourth = "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"
	h := newHarness(t)
	h.addThirdAttempt()
	h.sender.replies = []reply{
		unframed(stream(&outbound.UnconfirmedEndError{Cause: syscall.ECONNREFUSED}, firstEvents)),
		h.fallSilent(1900*time.Millisecond, 1, third, fourth),
		stream(nil),
	}
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, 3, h.sender.count())
	require.Equal(t, firstEvents+third+fourth, h.caller.body)
	require.False(t, h.caller.aborted)
}
