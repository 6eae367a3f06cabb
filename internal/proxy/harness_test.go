package proxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/proxy"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	bodyLimit    = 1 << 20
)

// serve is how a test's VM serves a request of another VM.
type serve func(ctx context.Context, r *dispatch.Request, caller dispatch.Caller)

// harness is a VM that serves requests of another one, and the client of that.
type harness struct {
	client   *proxy.Client
	pool     *outbound.Pool
	vm       *roster.Runner
	stopping atomic.Bool
	served   atomic.Int64
	registry *prometheus.Registry
}

func newHarness(t *testing.T, serve serve, options ...func(*proxy.Options)) *harness {
	t.Helper()
	h := &harness{registry: prometheus.NewRegistry()}
	metrics := proxy.NewMetrics(h.registry)
	o := proxy.Options{
		Serve: func(ctx context.Context, r *dispatch.Request, caller dispatch.Caller) {
			h.served.Add(1)
			serve(ctx, r, caller)
		},
		BodyLimit:     func() int64 { return bodyLimit },
		ProxyingEnded: h.stopping.Load,
		MaxRequests:   8,
		MaxBytes:      4 << 20,
		Metrics:       metrics,
		Clock:         clockwork.NewRealClock(),
	}
	for _, option := range options {
		option(&o)
	}
	mux := http.NewServeMux()
	mux.Handle(proxy.Path, proxy.NewHandler(o))
	h.start(t, mux, metrics)
	return h
}

// newHandlerHarness returns a harness whose VM responds with any handler.
func newHandlerHarness(t *testing.T, handler http.Handler) *harness {
	t.Helper()
	h := &harness{registry: prometheus.NewRegistry()}
	h.start(t, handler, proxy.NewMetrics(h.registry))
	return h
}

func (h *harness) start(t *testing.T, handler http.Handler, metrics *proxy.Metrics) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	h.pool = outbound.NewPool(clockwork.NewRealClock())
	h.client = proxy.NewClient("p", h.pool, dispatch.RoundTrips{}, metrics)
	h.vm = &roster.Runner{
		ID:      "q/1",
		Service: dispatch.ProxyService,
		Address: strings.TrimPrefix(server.URL, "http://"),
	}
}

func (h *harness) send(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error) {
	return h.client.Send(ctx, h.vm, r, dispatch.Attempt{
		Remaining: 5 * time.Second,
		Proxied:   &dispatch.Proxied{VM: "p"},
	})
}

// outcomes returns how many requests had an outcome.
func (h *harness) outcomes(t *testing.T, direction, outcome string) int {
	t.Helper()
	families, err := h.registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == direction && metric.GetLabel()[1].GetValue() == outcome {
				return int(metric.GetCounter().GetValue())
			}
		}
	}
	return 0
}

func readAll(t *testing.T, response *dispatch.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func newRequest(body string) *dispatch.Request {
	return &dispatch.Request{
		ID:     "id-1",
		Method: http.MethodPost,
		URI:    "/chat/",
		Path:   "/chat/",
		Host:   "h.example",
		Header: http.Header{"X-A": {"1"}},
		Body:   []byte(body),
	}
}

// respond writes a whole response.
func respond(status int, header http.Header, body string) serve {
	return func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) {
		_ = caller.WriteHeader(status, header, int64(len(body)))
		_ = caller.Write([]byte(body))
	}
}
