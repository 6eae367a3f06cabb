package dispatch_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	largeKey = "key-of-large"
	smallKey = "key-of-small"
)

// withAccounts gives a harness two accounts, of which "large" has a quota, and lets requests without a key pass on /safe/.
func withAccounts(h *harness) *fakeQuotas {
	open := route("/safe/", catalog.Safe, false, 2)
	open.AllowAnonymous = true
	h.catalog = catalog.New(8, catalog.Limits{}, []catalog.Route{
		open,
		route("/unsafe/", catalog.Unsafe, false, 2),
		route("/stream/", catalog.Streaming, true, 2),
		route("/once/", catalog.Streaming, false, 2),
	}, []catalog.Service{{Name: "plain"}, {Name: "models", Engine: &catalog.Engine{}}}).WithAccounts([]catalog.Account{
		{
			Name:     "large",
			Keys:     []catalog.KeyDigest{catalog.DigestKey(largeKey)},
			Priority: new(4),
			Quota: catalog.Quota{
				Rate:         1000,
				Burst:        2000,
				CountsTokens: true,
				PlainTokens:  40,
			},
		},
		{
			Name:     "small",
			Keys:     []catalog.KeyDigest{catalog.DigestKey(smallKey)},
			Priority: new(6),
		},
	})
	quotas := &fakeQuotas{}
	h.dispatcher.Quotas = quotas
	return quotas
}

// serveWithKey handles a request with a key while the clock stands still.
func (h *harness) serveWithKey(t *testing.T, path, key string, change ...func(*dispatch.Request)) {
	t.Helper()
	r := h.request(path)
	r.Identity.Key = catalog.DigestKey(key)
	for _, c := range change {
		c(r)
	}
	h.dispatcher.Serve(t.Context(), r, h.caller)
}

// Guards against requests that are served, or counted against a quota, although their key is unknown or missing.
func TestRequestWithoutValidKeyIsRefused(t *testing.T) {
	for _, tt := range []struct {
		path, key string
		status    int
	}{
		{"/unsafe/", "", http.StatusUnauthorized},
		{"/unsafe/", "other", http.StatusUnauthorized},
		{"/safe/", "other", http.StatusUnauthorized},
		{"/nowhere/", "other", http.StatusNotFound},
	} {
		t.Run(tt.path+tt.key, func(t *testing.T) {
			h := newHarness(t, respond(http.StatusOK, "ok"))
			quotas := withAccounts(h)
			h.serveWithKey(t, tt.path, tt.key)
			require.Equal(t, tt.status, h.caller.refused.Status)
			require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
			if tt.status == http.StatusUnauthorized {
				require.Equal(t, refusal.UnknownAccount, h.caller.refused.Code)
			}
			require.Zero(t, h.sender.count())
			require.Empty(t, quotas.taken)
		})
	}
}

// Guards against 401 in place of 503 where it isn't known yet which keys are valid.
func TestKeyIsNotCheckedWithoutConfiguration(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	h.catalog = nil
	h.serveWithKey(t, "/unsafe/", "other")
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
}

// Guards against attempts without the account's name or rank, on retries as well, and against forwarding the key.
func TestAttemptsCarryAccountAndRank(t *testing.T) {
	h := newHarness(t, failNotSent, decline(http.StatusServiceUnavailable), respond(http.StatusOK, "ok"))
	withAccounts(h)
	h.serveWithKey(t, "/safe/", smallKey)
	require.Greater(t, h.sender.count(), 1)
	for _, attempt := range h.sender.attempts {
		require.Equal(t, "small", attempt.Account)
		require.False(t, attempt.PassIdentity)
		require.Equal(t, 1, attempt.Priority)
	}
}

// Guards against a request without a key being refused on a route that allows it, counted, or named like an account.
func TestAnonymousRequestIsServedWhereAllowed(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	quotas := withAccounts(h)
	h.serveWithKey(t, "/safe/", "")
	require.Equal(t, http.StatusOK, h.caller.status)
	require.Empty(t, h.sender.attempts[0].Account)
	require.False(t, h.sender.attempts[0].PassIdentity)
	require.Empty(t, quotas.taken)
}

// Guards against keys that are checked, and priorities that are changed, although no accounts are configured.
func TestWithoutAccountsIdentityIsPassedOn(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	quotas := &fakeQuotas{refusing: true}
	h.dispatcher.Quotas = quotas
	h.serveWithKey(t, "/unsafe/", "any")
	require.Equal(t, http.StatusOK, h.caller.status)
	require.True(t, h.sender.attempts[0].PassIdentity)
	require.Empty(t, h.sender.attempts[0].Account)
	require.Empty(t, quotas.taken)
}

// Guards against an urgent route making the requests of a less urgent account count as urgent, which are never refused early.
func TestAccountsPriorityDecidesWhatIsRefusedFirst(t *testing.T) {
	for key, status := range map[string]int{largeKey: http.StatusOK, smallKey: http.StatusServiceUnavailable} {
		h := overloaded(t)
		h.catalog = h.catalog.WithAccounts([]catalog.Account{
			{Name: "large", Keys: []catalog.KeyDigest{catalog.DigestKey(largeKey)}, Priority: new(0)},
			{Name: "small", Keys: []catalog.KeyDigest{catalog.DigestKey(smallKey)}, Priority: new(1)},
		})
		h.serveWithKey(t, "/urgent/", key, func(r *dispatch.Request) { r.Model = "m" })
		if status == http.StatusOK {
			require.Equal(t, 1, h.sender.count(), key)
			continue
		}
		require.Equal(t, status, h.caller.refused.Status)
		require.Zero(t, h.sender.count(), key)
	}
}

// Guards against records that don't name the account, and against keys in records, printed requests or metrics.
func TestRecordNamesAccountAndNotKey(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "ok"))
	withAccounts(h)
	log := h.captureRecords()
	registry := prometheus.NewRegistry()
	h.dispatcher.Metrics = dispatch.NewMetrics(registry)
	h.serveWithKey(t, "/unsafe/", smallKey)
	require.Contains(t, log.String(), `"Account":"small"`)
	h.serveWithKey(t, "/unsafe/", "secret-unknown")
	gathered, err := registry.Gather()
	require.NoError(t, err)
	require.Contains(t, fmt.Sprint(gathered), "cowsliparch_account_requests_total")
	r := h.request("/unsafe/")
	r.Identity = dispatch.Identity{
		Key:    catalog.DigestKey(smallKey),
		Header: http.Header{"Authorization": {"Bearer " + smallKey}},
	}
	encoded, err := json.Marshal(r)
	require.NoError(t, err)
	for _, logger := range []*slog.Logger{slog.New(slog.NewJSONHandler(log, nil)), slog.New(slog.NewTextHandler(log, nil))} {
		logger.Info("x", slog.Any("Request", r), slog.Any("Value", *r), slog.Any("Identity", r.Identity))
	}
	for _, text := range []string{
		log.String(), fmt.Sprint(gathered), string(encoded), fmt.Sprint(r), fmt.Sprintf("%+v", r), fmt.Sprintf("%#v", *r),
		fmt.Sprintf("%q", r.Identity), fmt.Errorf("%v", r).Error(),
	} {
		require.False(t, strings.Contains(text, smallKey) || strings.Contains(text, "secret-unknown"), text)
	}
}
