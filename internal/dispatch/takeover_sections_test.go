package dispatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

// A section that is put in quarantine while its runner is silent must not reach another one.
func TestQuarantineHoldsForTakeovers(t *testing.T) {
	h, guard := newGuardedHarness(t)
	h.sender.replies = []reply{func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		guard.mu.Lock()
		guard.quarantined = "deadly"
		guard.mu.Unlock()
		return hang(ctx, r, attempt)
	}}
	h.serveAdvancing(t, t.Context(), h.requestWithSections("/stream/"), 50*time.Millisecond)
	require.Equal(t, 1, h.sender.count())
}

// A runner that has nothing to add to a stream has not crashed.
func TestEmptyContinuationIsNoStrike(t *testing.T) {
	h, guard := newGuardedHarness(t, stream(io.ErrUnexpectedEOF, firstEvent), stream(io.EOF))
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/stream/"), h.caller)
	require.Equal(t, h.sender.runners[:1], guard.strikes, "only the stream that broke off counts")
}

// slowCaller takes a while for each write.
type slowCaller struct {
	*fakeCaller
	h *harness
}

func (c *slowCaller) Write(piece []byte) error {
	// The runner's data has all been read by then.
	time.Sleep(20 * time.Millisecond)
	c.h.clock.Advance(300 * time.Millisecond)
	return c.fakeCaller.Write(piece)
}

// Data that waits for a slow caller must not pass for a later sign of life of its runner.
func TestSlowCallerDoesNotDelayTimeOfData(t *testing.T) {
	h := newHarness(t, stream(io.ErrUnexpectedEOF, firstEvent, secondEvent, "id: 3\ndata: c\n\n"))
	started := h.clock.Now()
	h.dispatcher.Serve(t.Context(), h.request("/once/"), &slowCaller{
		fakeCaller: h.caller,
		h:          h,
	})
	require.Less(t, h.tracker.LastReceived(h.sender.runners[0]).Sub(started), 300*time.Millisecond)
}
