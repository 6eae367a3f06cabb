package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// fakeQuotas records what is taken and returned; it refuses with a wait unless that is 0.
type fakeQuotas struct {
	wait     time.Duration
	refusing bool
	taken    []string
	returned []string
}

func (q *fakeQuotas) Take(account *catalog.Account, cost float64) (time.Duration, bool) {
	q.taken = append(q.taken, fmt.Sprintf("%s %g", account.Name, cost))
	return q.wait, !q.refusing
}

func (q *fakeQuotas) Return(account *catalog.Account, cost float64) {
	q.returned = append(q.returned, fmt.Sprintf("%s %g", account.Name, cost))
}

// Guards against wrong costs: a request that states its tokens costs these, negative ones can't make it cheaper, and huge ones can't
// overflow.
func TestCostOfRequest(t *testing.T) {
	for _, tt := range []struct {
		prompt, generated int
		cost              string
	}{
		{300, 200, "large 500"},
		{0, 0, "large 40"},
		{-1000, 1001, "large 1001"},
		{1 << 62, 1 << 62, "large 2.147483648e+09"},
	} {
		h := newHarness(t, respond(http.StatusOK, "ok"))
		quotas := withAccounts(h)
		h.serveWithKey(t, "/unsafe/", largeKey, func(r *dispatch.Request) { r.PromptTokens, r.MaxTokens = tt.prompt, tt.generated })
		require.Equal(t, []string{tt.cost}, quotas.taken)
		require.Empty(t, quotas.returned)
	}
}

// Guards against counting requests of an account without a limit.
func TestAccountWithoutLimitIsNotCounted(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	quotas := withAccounts(h)
	quotas.refusing = true
	h.serveWithKey(t, "/unsafe/", smallKey)
	require.Equal(t, http.StatusOK, h.caller.status)
	require.Empty(t, quotas.taken)
}

// Guards against requests over the quota that are sent, and against clients that are told to come back too early or all at once.
func TestRequestOverQuotaIsRefused(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	quotas := withAccounts(h)
	quotas.refusing = true
	seen := make(map[time.Duration]bool)
	for range 20 {
		for _, wait := range []time.Duration{0, 40 * time.Millisecond, 3 * time.Second} {
			quotas.wait = wait
			h.serveWithKey(t, "/unsafe/", largeKey)
			refused := h.caller.refused
			require.Equal(t, http.StatusTooManyRequests, refused.Status)
			require.Equal(t, refusal.OverQuota, refused.Code)
			require.Equal(t, refusal.NotRun, refused.Ran)
			require.Positive(t, refused.RetryAfter)
			require.GreaterOrEqual(t, refused.RetryAfter, wait)
			seen[refused.RetryAfter] = true
		}
	}
	require.Greater(t, len(seen), 30, "spread")
	require.Zero(t, h.sender.count())
	require.Empty(t, quotas.returned, "nothing was taken")
}

// Guards against a quota that shrinks by requests that never ran, and against giving back the cost of those that may have, which would
// let an account exceed its quota. A retry must not be counted again.
func TestCostIsReturnedIfRequestDidNotRun(t *testing.T) {
	for name, tt := range map[string]struct {
		path     string
		replies  []reply
		returned bool
	}{
		"answered":             {"/unsafe/", []reply{respond(http.StatusOK, "ok")}, false},
		"answered with error":  {"/unsafe/", []reply{respond(http.StatusInternalServerError, "no")}, false},
		"declined":             {"/unsafe/", []reply{decline(http.StatusServiceUnavailable)}, true},
		"not sent":             {"/unsafe/", []reply{failNotSent}, true},
		"declined, answered":   {"/unsafe/", []reply{decline(http.StatusServiceUnavailable), respond(http.StatusOK, "ok")}, false},
		"no response":          {"/unsafe/", []reply{loseResponse}, false},
		"no response, decline": {"/safe/", []reply{loseResponse, decline(http.StatusServiceUnavailable)}, false},
		"stream breaks off":    {"/once/", []reply{stream(errDisconnected, "id: 1\n\n")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, tt.replies...)
			quotas := withAccounts(h)
			h.serveWithKey(t, tt.path, largeKey)
			require.Equal(t, []string{"large 40"}, quotas.taken)
			if tt.returned {
				require.Equal(t, quotas.taken, quotas.returned)
			} else {
				require.Empty(t, quotas.returned)
			}
		})
	}
}

// Guards against giving back the cost of a request that a runner may be working on when its caller leaves.
func TestCostIsKeptIfCallerLeavesWhileRequestRuns(t *testing.T) {
	h := newHarness(t, hang)
	quotas := withAccounts(h)
	r := h.request("/unsafe/")
	r.Identity.Key = catalog.DigestKey(largeKey)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	h.dispatcher.Serve(ctx, r, h.caller)
	require.Len(t, quotas.taken, 1)
	require.Empty(t, quotas.returned)
}

// Guards against cost that is lost with a request that no runner can take.
func TestCostIsReturnedIfNoRunnerIsLeft(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	quotas := withAccounts(h)
	h.serveWithKey(t, "/stream/", largeKey, func(r *dispatch.Request) { r.Model = "absent" })
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, quotas.taken, quotas.returned)
	require.Len(t, quotas.taken, 1)
}

// countingDemand counts requests to models.
type countingDemand struct {
	fakeDemand
	requests int
}

func (d *countingDemand) RecordRequest(string, string, string) { d.requests++ }

// Guards against models being loaded for requests that are refused for their key or quota.
func TestRefusedRequestsAreNoDemand(t *testing.T) {
	h := newHarness(t, stream(nil, "id: 1\n\n"))
	quotas := withAccounts(h)
	quotas.refusing = true
	demand := &countingDemand{}
	h.dispatcher.Demand = demand
	h.serveWithKey(t, "/stream/", "other")
	h.serveWithKey(t, "/stream/", largeKey)
	require.Zero(t, demand.requests)
	h.serveWithKey(t, "/stream/", smallKey)
	require.Equal(t, 1, demand.requests)
}
