package proxy_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/proxy"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// sendRefused sends a request that must be refused as not run, and returns the refusal.
func (h *harness) sendRefused(t *testing.T, r *dispatch.Request, proxied *dispatch.Proxied) *refusal.Refusal {
	t.Helper()
	before := h.served.Load()
	response, err := h.client.Send(t.Context(), h.vm, r, dispatch.Attempt{Proxied: proxied})
	require.NoError(t, err)
	require.NotNil(t, response.Refused)
	require.True(t, response.NotRun)
	require.Equal(t, before, h.served.Load())
	return response.Refused
}

// blockingServe responds once the channel is closed.
func blockingServe(release <-chan struct{}) serve {
	return func(ctx context.Context, r *dispatch.Request, caller dispatch.Caller) {
		<-release
		respond(http.StatusOK, http.Header{}, "ok")(ctx, r, caller)
	}
}

// Requests beyond the limits must be refused as not run, large ones too, and others taken again once some have ended.
func TestRequestsBeyondLimitsAreRefused(t *testing.T) {
	for name, limits := range map[string]func(*proxy.Options){
		"number": func(o *proxy.Options) { o.MaxRequests = 2 },
		"bytes":  func(o *proxy.Options) { o.MaxBytes = 2*bodyLimit + 8<<10 },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			h := newHarness(t, blockingServe(release), limits)
			large := newRequest(strings.Repeat("x", bodyLimit))
			done := make(chan error)
			for range 2 {
				go func() {
					_, err := h.send(t.Context(), large)
					done <- err
				}()
			}
			require.Eventually(t, func() bool { return h.served.Load() == 2 }, waitTimeout, pollInterval)
			for range 5 {
				refused := h.sendRefused(t, large, &dispatch.Proxied{VM: "p"})
				require.Equal(t, refusal.TooManyCalls, refused.Code)
				require.Equal(t, http.StatusServiceUnavailable, refused.Status)
				require.Positive(t, refused.RetryAfter)
			}
			close(release)
			require.NoError(t, <-done)
			require.NoError(t, <-done)
			require.Eventually(t, func() bool {
				response, err := h.send(t.Context(), large)
				require.NoError(t, err)
				return response.Refused == nil
			}, waitTimeout, pollInterval)
		})
	}
}

func TestUnusableRequestsAreRefused(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, http.Header{}, "ok"))
	named := h.client
	h.client = proxy.NewClient("", h.pool, dispatch.RoundTrips{}, proxy.NewMetrics(prometheus.NewRegistry()))
	require.Equal(t, refusal.BadRequest, h.sendRefused(t, newRequest("x"), nil).Code)
	require.Equal(t, refusal.BadRequest, h.sendRefused(t, newRequest("x"), &dispatch.Proxied{Version: 1}).Code)
	h.client = named
	proxied := &dispatch.Proxied{VM: "p"}
	require.Equal(t, refusal.TooLarge, h.sendRefused(t, newRequest(strings.Repeat("x", bodyLimit+1)), proxied).Code)
	require.Equal(t, refusal.TooLarge, h.sendRefused(t, newRequest(strings.Repeat("x", 2*bodyLimit)), proxied).Code)
	for _, body := range []string{"", "\x00", "\x00\x00\x00\x01\xff", "\xff\xff\xff\xff", "\x00\x00\x00\x09abc"} {
		response, err := http.Post("http://"+h.vm.Address+proxy.Path, "application/vnd.cowsliparch.proxy", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	response, err := http.Post("http://"+h.vm.Address+proxy.Path, "text/plain", bytes.NewReader(nil))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Zero(t, h.served.Load())
	require.Equal(t, 10, h.outcomes(t, "In", "Refused"))
}

// A VM that stops must refuse new requests as not run and still answer those in progress.
func TestStoppingVMRefuses(t *testing.T) {
	release := make(chan struct{})
	h := newHarness(t, blockingServe(release))
	done := make(chan string)
	go func() {
		response, err := h.send(t.Context(), newRequest("x"))
		if err != nil {
			done <- err.Error()
			return
		}
		done <- readAll(t, response)
	}()
	require.Eventually(t, func() bool { return h.served.Load() == 1 }, waitTimeout, pollInterval)
	h.stopping.Store(true)
	require.Equal(t, refusal.Stopping, h.sendRefused(t, newRequest("x"), &dispatch.Proxied{VM: "p"}).Code)
	response, err := h.send(t.Context(), newRequest("x"))
	require.NoError(t, err)
	require.True(t, response.Leaving)
	close(release)
	require.Equal(t, "ok", <-done)
}
