package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

// partReader returns a number of equal bytes and then what end returns.
type partReader struct {
	left int
	fill byte
	end  func() error
}

func (r *partReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, r.end()
	}
	n := min(len(b), r.left)
	for i := range n {
		b[i] = r.fill
	}
	r.left -= n
	return n, nil
}

// respondInPart replies with a body of a stated length, of which only size bytes arrive before it ends.
func respondInPart(length int64, size int, fill byte, end func(context.Context) error) reply {
	return func(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK,
			Length: length,
			Body: &partReader{
				left: size,
				fill: fill,
				end:  func() error { return end(ctx) },
			},
		}, nil
	}
}

// A response that is too large to collect must not be completed with the body of another runner.
func TestLargeResponseIsNotCompletedByAnotherRunner(t *testing.T) {
	const size = 2 << 20
	for name, end := range map[string]func(context.Context) error{
		"broken off": func(context.Context) error { return io.ErrUnexpectedEOF },
		"silent": func(ctx context.Context) error {
			<-ctx.Done()
			return context.Cause(ctx)
		},
	} {
		for framing, length := range map[string]int64{"length": size, "no length": -1} {
			t.Run(name+" with "+framing, func(t *testing.T) {
				h := newHarness(t)
				h.sender.replies = []reply{respondInPart(length, size*3/4, 'a', end),
					respondInPart(size, size, 'b', func(context.Context) error { return io.EOF })}
				h.serveAdvancing(t, t.Context(), h.request("/safe/"), 50*time.Millisecond)
				require.Equal(t, 1, h.sender.count())
				require.True(t, h.caller.aborted)
				require.NotContains(t, h.caller.body, "b")
			})
		}
	}
}

// What is no event must not take a stream over from a silent runner.
func TestTakeoverNeedsEvent(t *testing.T) {
	for name, second := range map[string]reply{
		"comment":     stream(io.ErrUnexpectedEOF, ": ping\n\n"),
		"blank lines": stream(io.ErrUnexpectedEOF, "\n\n"),
		"empty":       stream(io.EOF),
	} {
		for at, before := range map[string]int{"before the first event": 0, "between events": 1} {
			t.Run(name+" "+at, func(t *testing.T) {
				h := newHarness(t)
				h.sender.replies = []reply{h.fallSilent(1900*time.Millisecond, before, firstEvent, secondEvent), second}
				h.serveAdvancing(t, t.Context(), h.request("/stream/"), 50*time.Millisecond)
				require.False(t, h.caller.aborted)
				require.Equal(t, firstEvent+secondEvent, h.caller.body)
			})
		}
	}
}

// Comments before the first event are passed on with it.
func TestCommentsBeforeFirstEventArePassedOn(t *testing.T) {
	for _, chunks := range [][]string{{": ping\n\n", firstEvent}, {": ping\n\n"}} {
		h := newHarness(t, stream(io.EOF, chunks...))
		h.serve(t, "/stream/")
		require.Equal(t, strings.Join(chunks, ""), h.caller.body)
	}
}
