package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

// silentReader returns events, with one silence before the event of the given index, and ends properly.
type silentReader struct {
	ctx     context.Context
	silence <-chan time.Time
	before  int
	events  []string
	next    int
}

func (r *silentReader) Read(b []byte) (int, error) {
	if r.next == r.before {
		select {
		case <-r.ctx.Done():
			return 0, context.Cause(r.ctx)
		case <-r.silence:
		}
	}
	if r.next == len(r.events) {
		return 0, io.EOF
	}
	r.next++
	return copy(b, r.events[r.next-1]), nil
}

// fallSilent replies with events and sends nothing for the given time before one of them.
func (h *harness) fallSilent(silence time.Duration, before int, events ...string) reply {
	return func(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK,
			Header: http.Header{"Signature": {"silent"}},
			Length: -1,
			Body: &silentReader{
				ctx:     ctx,
				silence: h.clock.After(silence),
				before:  before,
				events:  events,
			},
		}, nil
	}
}

// answerLate replies after a silence before the head of the response.
func (h *harness) answerLate(silence time.Duration, then reply) reply {
	return func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		select {
		case <-ctx.Done():
			return hang(ctx, r, attempt)
		case <-h.clock.After(silence):
			return then(ctx, r, attempt)
		}
	}
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// A sound stream must survive a silence of its runner although no other runner takes it over.
func TestSilentStreamOutlivesFailedTakeover(t *testing.T) {
	for name, second := range map[string]reply{
		"declined":       decline(http.StatusServiceUnavailable),
		"lacks model":    decline(http.StatusMisdirectedRequest),
		"not reached":    failNotSent,
		"no response":    loseResponse,
		"server error":   respond(http.StatusInternalServerError, "error text"),
		"client error":   respond(http.StatusNotFound, "error text"),
		"broken off":     stream(io.ErrUnexpectedEOF),
		"no answer ever": hang,
	} {
		for at, before := range map[string]int{"before the first event": 0, "between events": 1} {
			t.Run(name+" "+at, func(t *testing.T) {
				h := newHarness(t)
				h.sender.replies = []reply{h.fallSilent(1700*time.Millisecond, before, firstEvent, secondEvent), second}
				h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
				require.False(t, h.caller.aborted)
				require.Nil(t, h.caller.refused)
				require.Equal(t, firstEvent+secondEvent, h.caller.body)
			})
		}
	}
}

// A request that may run again must survive a silence before its answer although no other runner takes it over.
func TestSilentRunnerOutlivesFailedTakeover(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			h.sender.replies = []reply{h.answerLate(1700*time.Millisecond, stream(nil, firstEvent)), decline(http.StatusServiceUnavailable)}
			h.serveAdvancing(t, t.Context(), h.request(path), 50*time.Millisecond)
			require.Nil(t, h.caller.refused)
			require.Equal(t, firstEvent, h.caller.body)
		})
	}
}

// A stream that breaks off before any byte of it was passed on gets an error response in place of a closed connection.
func TestStreamWithoutEventIsAnswered(t *testing.T) {
	for name, end := range map[string]error{"reset": io.ErrUnexpectedEOF, "ends inside an event": io.EOF} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, stream(end, "id: 1\nda"))
			h.serve(t, "/once/")
			require.False(t, h.caller.aborted)
			require.NotNil(t, h.caller.refused)
			require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
		})
	}
}

// A stream that has passed on nothing may start anew at another runner, whose head the caller then gets.
func TestStreamWithoutEventStartsAnew(t *testing.T) {
	h := newHarness(t, stream(io.ErrUnexpectedEOF, "id: 1\nda"), respond(http.StatusOK, firstEvent))
	h.serve(t, "/stream/")
	require.Equal(t, firstEvent, h.caller.body)
	require.Equal(t, "s", h.caller.header.Get("Signature"))
}

// A request whose runner answers after the deadline's own response is due is told that its time is over.
func TestSilentStreamEndsWithDeadline(t *testing.T) {
	h := newHarness(t)
	h.catalog = catalog.New(8, catalog.Limits{}, []catalog.Route{route("/stream/", catalog.Streaming, true, 1)},
		[]catalog.Service{{Name: "models", Engine: &catalog.Engine{}}})
	h.sender.replies = []reply{h.fallSilent(time.Hour, 0, firstEvent)}
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.False(t, h.caller.aborted)
	require.Equal(t, http.StatusGatewayTimeout, h.caller.refused.Status)
}

// A stream goes on at another runner only once that one has sent an event, and the silent runner is stopped then.
func TestSilentStreamIsTakenOver(t *testing.T) {
	h := newHarness(t)
	h.sender.replies = []reply{h.fallSilent(time.Hour, 1, firstEvent), func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		require.Equal(t, "1", attempt.ResumeAfter)
		h.sender.mu.Lock()
		defer h.sender.mu.Unlock()
		require.False(t, h.sender.closed[0])
		return stream(nil, secondEvent)(ctx, r, attempt)
	}}
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, firstEvent+secondEvent, h.caller.body)
	require.Equal(t, 2, h.sender.count())
	require.True(t, h.sender.closed[0])
}

// A runner that goes on after a silence keeps its stream, and the attempt beside it is stopped.
func TestTakeoverEndsWhenRunnerGoesOn(t *testing.T) {
	h := newHarness(t)
	stopped := make(chan struct{})
	h.sender.replies = []reply{h.fallSilent(1700*time.Millisecond, 1, firstEvent, secondEvent),
		func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
			defer close(stopped)
			return hang(ctx, r, attempt)
		}}
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, firstEvent+secondEvent, h.caller.body)
	require.Equal(t, 2, h.sender.count())
	<-stopped
}

// A silence of a second, as sound runners have, starts no attempt beside a stream.
func TestShortSilenceStartsNoTakeover(t *testing.T) {
	h := newHarness(t)
	h.sender.replies = []reply{h.fallSilent(time.Second, 1, firstEvent, secondEvent)}
	h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
	require.Equal(t, firstEvent+secondEvent, h.caller.body)
	require.Equal(t, 1, h.sender.count())
}
