package dispatch_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/buffer"
)

// block is a part of a body.
var block = strings.Repeat("x", 2<<10)

// A stream that holds more than all responses may hold together is given up: the request goes on at another runner if its route
// allows that, and else gets 502.
func TestStreamThatHoldsTooMuchIsGivenUp(t *testing.T) {
	endless := stream(nil, append([]string{"data: "}, slices.Repeat([]string{block}, 100)...)...)
	for path, requests := range map[string]int{"/stream/": 2, "/once/": 1} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, endless, stream(io.EOF, "id: 1\ndata: a\n\n"))
			h.dispatcher.Buffers = buffer.NewBudget(64<<10, 0)
			log := h.captureRecords()
			h.serve(t, path)
			require.Equal(t, requests, h.sender.count())
			require.True(t, h.sender.closed[0])
			require.Contains(t, log.String(), "ResponseEvicted")
			require.Zero(t, h.dispatcher.Buffers.Held())
			if requests == 2 {
				require.Equal(t, "id: 1\ndata: a\n\n", h.caller.body)
				return
			}
			require.NotNil(t, h.caller.refused)
			require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
		})
	}
}

// Whole responses lose nothing when there is no room to collect them: they are passed on as they arrive.
func TestWholeResponseWithoutRoomIsPassedOn(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, stream(io.EOF, slices.Repeat([]string{block}, 100)...))
			h.dispatcher.Buffers = buffer.NewBudget(16<<10, 0)
			h.serve(t, path)
			require.Equal(t, strings.Repeat(block, 100), h.caller.body)
			require.False(t, h.caller.aborted)
			require.Equal(t, 1, h.sender.count())
			require.Zero(t, h.dispatcher.Buffers.Held())
		})
	}
}

// A large event takes its share only until it was passed on.
func TestLargeEventsArePassedOnOneAfterTheOther(t *testing.T) {
	chunks := slices.Repeat(append(append([]string{"data: "}, slices.Repeat([]string{block}, 20)...), "\n\n"), 10)
	h := newHarness(t, stream(io.EOF, chunks...))
	h.dispatcher.Buffers = buffer.NewBudget(128<<10, 0)
	h.serve(t, "/once/")
	require.Equal(t, strings.Join(chunks, ""), h.caller.body)
	require.Zero(t, h.dispatcher.Buffers.Evicted())
}
