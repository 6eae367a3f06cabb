package dispatch_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// comments returns a number of KiB of comment lines.
func comments(kib int) []string {
	return slices.Repeat([]string{": " + strings.Repeat("x", 1020) + "\n\n"}, kib)
}

// Comments before the first event reach the caller unchanged, together with it.
func TestKilobytesOfCommentsReachCallerUnchanged(t *testing.T) {
	chunks := append(comments(20), "id: 1\ndata: a\n\n", ": later\n\n", "id: 2\ndata: b\n\n")
	h := newHarness(t, stream(io.EOF, chunks...))
	h.serve(t, "/stream/")
	require.Equal(t, strings.Join(chunks, ""), h.caller.body)
	require.False(t, h.caller.aborted)
}

// A runner that sends comments without end in place of an event is given up, and the request goes on where the route allows that.
func TestCommentsWithoutEndBeforeFirstEventAreBounded(t *testing.T) {
	endless := stream(nil, comments(65)...)
	t.Run("resumable", func(t *testing.T) {
		h := newHarness(t, endless, stream(io.EOF, "id: 1\ndata: a\n\n"))
		log := h.captureRecords()
		h.serve(t, "/stream/")
		require.Equal(t, "id: 1\ndata: a\n\n", h.caller.body)
		require.True(t, h.sender.closed[0])
		require.Contains(t, log.String(), "stream does not begin with an event within the size limit")
	})
	t.Run("at most once", func(t *testing.T) {
		h := newHarness(t, endless)
		h.serve(t, "/once/")
		require.NotNil(t, h.caller.refused)
		require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
		require.Equal(t, 1, h.sender.count())
	})
}
