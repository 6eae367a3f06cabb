package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// endingEvents is how many events an endingReader returns.
const endingEvents = 15

// endingReader returns events in even intervals, and ends properly at a time.
type endingReader struct {
	clock clockwork.Clock
	pause time.Duration
	next  time.Time
	left  int
}

func (r *endingReader) Read(b []byte) (int, error) {
	r.next = r.next.Add(r.pause)
	<-r.clock.After(r.next.Sub(r.clock.Now()))
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(b, "data: x\n\n"), nil
}

// endAfter replies with events and ends the response after a time.
func (h *harness) endAfter(after time.Duration) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK,
			Header: make(http.Header),
			Length: -1,
			Body: &endingReader{
				clock: h.clock,
				pause: after / (endingEvents + 1),
				next:  h.clock.Now(),
				left:  endingEvents,
			},
		}, nil
	}
}

// A runner ends a response when the request's time is over: without a mark, that must not look like the end of a complete one.
func TestUnmarkedEndAtDeadlineIsNotComplete(t *testing.T) {
	const deadline = 5 * time.Second
	for name, tt := range map[string]struct {
		path     string
		unmarked bool
		after    time.Duration
		complete bool
	}{
		"stream at the deadline":            {path: "/once/", unmarked: true, after: deadline},
		"resumable stream at the deadline":  {path: "/stream/", unmarked: true, after: deadline},
		"plain response at the deadline":    {path: "/whole/", unmarked: true, after: deadline},
		"stream before it":                  {path: "/once/", unmarked: true, after: deadline - 200*time.Millisecond, complete: true},
		"plain response before it":          {path: "/whole/", unmarked: true, after: deadline - 200*time.Millisecond, complete: true},
		"marked stream at the deadline":     {path: "/once/", after: deadline, complete: true},
		"marked plain response at deadline": {path: "/whole/", after: deadline, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			next := h.endAfter(tt.after)
			if tt.unmarked {
				next = unframed(next)
			}
			h.sender.replies = []reply{next}
			h.serveAdvancing(t, t.Context(), h.request(tt.path), 10*time.Millisecond)
			require.Equal(t, 1, h.sender.count())
			if tt.complete {
				require.Equal(t, strings.Repeat("data: x\n\n", endingEvents), h.caller.body)
				require.False(t, h.caller.aborted)
				return
			}
			if tt.path == "/whole/" {
				require.Equal(t, http.StatusGatewayTimeout, h.caller.refused.Status)
				require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
				return
			}
			require.True(t, h.caller.aborted)
		})
	}
}

// checkedReader checks, for a time, whether the runner still runs when its response has ended.
type checkedReader struct {
	io.Reader
	clock clockwork.Clock
	check time.Duration
	ended time.Time
}

func (r *checkedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		r.ended = r.clock.Now()
		<-r.clock.After(r.check)
	}
	return n, err
}

// A response that ended in time is complete although the check whether its runner still runs took until the deadline.
func TestCheckUntilDeadlineMakesNoEndLate(t *testing.T) {
	const (
		deadline = 5 * time.Second
		check    = 500 * time.Millisecond
	)
	for _, path := range []string{"/once/", "/stream/", "/whole/"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			next := unframed(h.endAfter(deadline - check))
			h.sender.replies = []reply{func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
				response, err := next(ctx, r, attempt)
				body := &checkedReader{
					Reader: response.Body,
					clock:  h.clock,
					check:  check,
				}
				response.Body, response.Ended = body, func() time.Time { return body.ended }
				return response, err
			}}
			h.serveAdvancing(t, t.Context(), h.request(path), 10*time.Millisecond)
			require.Equal(t, 1, h.sender.count())
			require.Equal(t, strings.Repeat("data: x\n\n", endingEvents), h.caller.body)
			require.False(t, h.caller.aborted)
			require.Nil(t, h.caller.refused)
		})
	}
}
