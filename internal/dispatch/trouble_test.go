package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// drippingReader returns one byte whenever the clock has advanced by the interval, without end.
type drippingReader struct {
	clock    clockwork.Clock
	interval time.Duration
	ctx      context.Context
	sent     atomic.Int64
}

func (r *drippingReader) Read(b []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, context.Cause(r.ctx)
	case <-r.clock.After(r.interval):
		r.sent.Add(1)
		b[0] = 'x'
		return 1, nil
	}
}

// drip replies with a body that never ends and never completes an event.
func (h *harness) drip(status int, notRun bool, interval time.Duration) reply {
	return func(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: status,
			Length: -1,
			NotRun: notRun,
			Body:   &drippingReader{clock: h.clock, interval: interval, ctx: ctx},
		}, nil
	}
}

// A resumable stream must not stay at a runner that sends a byte now and then but completes no event.
func TestDrippingStreamMovesToAnotherRunner(t *testing.T) {
	h := newHarness(t)
	h.sender.replies = []reply{h.drip(http.StatusOK, false, 900*time.Millisecond), stream(nil, "id: 1\ndata: y\n\n")}
	started := h.clock.Now()
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, 2, h.sender.count())
	require.Equal(t, "id: 1\ndata: y\n\n", h.caller.body)
	require.Less(t, h.clock.Since(started), 4*time.Second, "the route allows ten seconds")
}

// A sound stream may pause between its events for as long as its route permits, however slow its runner is.
func TestSlowSoundStreamIsKept(t *testing.T) {
	h := newHarness(t)
	h.sender.replies = []reply{func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK,
			Length: -1,
			Body:   &pacedReader{clock: h.clock, pause: 900 * time.Millisecond, events: 5},
		}, nil
	}}
	r := h.request("/stream/")
	r.MaxWait = 10 * time.Second
	h.serveAdvancing(t, t.Context(), r, 50*time.Millisecond)
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, strings.Repeat("data: x\n\n", 5), h.caller.body)
}

// pacedReader returns a number of complete events with a pause before each.
type pacedReader struct {
	clock  clockwork.Clock
	pause  time.Duration
	events int
}

func (r *pacedReader) Read(b []byte) (int, error) {
	if r.events == 0 {
		return 0, io.EOF
	}
	r.events--
	<-r.clock.After(r.pause)
	return copy(b, "data: x\n\n"), nil
}

// A response that is not passed on must not hold the request up, even if its body never ends.
func TestEndlessDeclineDoesNotHoldRequest(t *testing.T) {
	h := newHarness(t)
	h.sender.replies = []reply{h.drip(http.StatusServiceUnavailable, true, 300*time.Millisecond), respond(http.StatusOK, "ok")}
	started := h.clock.Now()
	h.serveAdvancing(t, t.Context(), h.request("/safe/"), 20*time.Millisecond)
	require.Equal(t, "ok", h.caller.body)
	require.Less(t, h.clock.Since(started), time.Second)
}

// endlessReader returns the same byte without end.
type endlessReader struct{ read atomic.Int64 }

func (r *endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	r.read.Add(int64(len(b)))
	return len(b), nil
}

func endless(status int, body io.Reader) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{Status: status, Length: -1, Body: body}, nil
	}
}

// discardingCaller counts what it receives without keeping it.
type discardingCaller struct {
	fakeCaller
	received int
}

func (c *discardingCaller) Write(piece []byte) error {
	c.received += len(piece)
	return nil
}

// A body without end is broken off at a limit, and the caller can tell that it is not complete.
func TestEndlessBodyIsBrokenOff(t *testing.T) {
	body := &endlessReader{}
	h := newHarness(t, endless(http.StatusOK, body))
	caller := &discardingCaller{}
	h.dispatcher.Serve(t.Context(), h.request("/unsafe/"), caller)
	require.True(t, caller.aborted)
	require.Equal(t, 1, h.sender.count())
	require.LessOrEqual(t, caller.received, 65<<20)
}

// One event without end costs little memory; the stream goes on at another runner.
func TestEndlessEventMovesStream(t *testing.T) {
	h := newHarness(t, endless(http.StatusOK, &endlessReader{}), stream(nil, "id: 1\ndata: y\n\n"))
	h.serve(t, "/stream/")
	require.Equal(t, "id: 1\ndata: y\n\n", h.caller.body)
	require.Equal(t, 2, h.sender.count())
}

// An error response is a failure however long it is.
func TestLongErrorResponseIsFailure(t *testing.T) {
	h := newHarness(t, respondLong(http.StatusInternalServerError), respondLong(http.StatusInternalServerError))
	log := h.captureRecords()
	h.serve(t, "/unsafe/")
	require.Equal(t, http.StatusInternalServerError, h.caller.status)
	require.Contains(t, log.String(), string(dispatch.Failed))
}

// respondLong replies with a body that is too long to buffer.
func respondLong(status int) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: status,
			Length: 2 << 20,
			Body:   io.LimitReader(&endlessReader{}, 2<<20),
		}, nil
	}
}

// A server error must not end the backoff of a runner that did not answer before.
func TestServerErrorKeepsBackoff(t *testing.T) {
	h := newHarness(t, loseResponse, loseResponse, respond(http.StatusInternalServerError, "no"))
	h.roster.Apply([]roster.Change{{ID: "p2"}}, h.clock.Now())
	for range 3 {
		h.serve(t, "/unsafe/")
	}
	h.roster.Apply([]roster.Change{runner("p3", "plain", "b")}, h.clock.Now())
	h.tracker.ApplyOccupancy(roster.Occupancy{"p3": 60}, h.clock.Now())
	h.sender.replies = []reply{respond(http.StatusOK, "ok")}
	h.serve(t, "/unsafe/")
	require.Equal(t, "p3", h.sender.runners[3], "p1 is in backoff, though nearer and less busy")
}
