package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// misleadingStatuses are those that callers take for the statement that their request was not executed.
var misleadingStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// requireUnknown requires that the caller was told that its request may have run, in place of what the runner sent.
func (h *harness) requireUnknown(t *testing.T) {
	t.Helper()
	require.NotNil(t, h.caller.refused)
	require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
	require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
	require.Zero(t, h.caller.status)
	require.Empty(t, h.caller.body)
}

// A caller repeats an order that was refused as not run, so that an order which a runner ran and then failed would be charged twice.
func TestStatusOfRunnerDoesNotPromiseThatRequestDidNotRun(t *testing.T) {
	for _, status := range misleadingStatuses {
		for name, tt := range map[string]struct {
			path     string
			replies  []reply
			attempts int
		}{
			"unsafe":                      {"/unsafe/", []reply{respond(status, "failed")}, 1},
			"whole body that breaks off":  {"/unsafe/", []reply{respondTyped(status, "text/plain", io.ErrUnexpectedEOF, "fai")}, 1},
			"stream":                      {"/once/", []reply{respondTyped(status, eventStream, nil, firstEvent)}, 1},
			"second attempt":              {"/unsafe/", []reply{decline(http.StatusServiceUnavailable), respond(status, "failed")}, 2},
			"safe, by all runners":        {"/safe/", []reply{respond(status, "failed")}, 2},
			"safe, after a lost response": {"/safe/", []reply{loseResponse, respond(status, "failed")}, 2},
			"resumable, by all runners":   {"/stream/", []reply{respond(status, "failed")}, 2},
		} {
			t.Run(fmt.Sprintf("%d/%s", status, name), func(t *testing.T) {
				h := newHarness(t, tt.replies...)
				h.serve(t, tt.path)
				require.Equal(t, tt.attempts, h.sender.count())
				h.requireUnknown(t)
			})
		}
	}
}

// A request that may run again goes on at another runner.
func TestMisleadingStatusIsRetriedWhereThatIsHarmless(t *testing.T) {
	for _, status := range misleadingStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			h := newHarness(t, respond(status, "failed"), respond(http.StatusOK, "ok"))
			h.serve(t, "/safe/")
			require.Equal(t, 2, h.sender.count())
			require.Equal(t, "ok", h.caller.body)
		})
	}
}

// A standby attempt that fails with such a status must not end the request, nor reach the caller when the first attempt is lost.
func TestMisleadingStatusOfStandbyIsNotPassedOn(t *testing.T) {
	for _, status := range misleadingStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			h := newHarness(t)
			h.sender.replies = []reply{
				func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
					<-h.clock.After(3 * time.Second)
					return loseResponse(ctx, r, attempt)
				},
				respond(status, "failed"),
			}
			h.serveAdvancing(t, t.Context(), h.request("/safe/"), 50*time.Millisecond)
			require.Equal(t, 2, h.sender.count())
			h.requireUnknown(t)
		})
	}
}
