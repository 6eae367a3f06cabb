package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cowsliparch/cowsliparch/internal/inflight"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	idleTimeout = 2 * time.Minute
	// retryDelay is sent in Retry-After with calls refused because the VM is stopping or has too many calls in flight.
	retryDelay = time.Second
)

func (e *Entry) callerServer() *http.Server {
	limits := e.Settings.Limits
	r := chi.NewRouter()
	r.Get("/healthz", e.serveHealth)
	r.Get("/readyz", e.serveReady)
	r.Group(func(r chi.Router) {
		r.Use(e.admitCalls)
		r.Method(http.MethodPost, "/v1/chat/completions", e.modelCalls)
		r.Mount("/", e.plainCalls.Routes())
	})
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: limits.HeaderTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
}

func (e *Entry) controlServer(ctx context.Context) *http.Server {
	r := chi.NewRouter()
	r.Get("/healthz", e.serveHealth)
	r.Get("/readyz", e.serveReady)
	r.Handle("/metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	r.Mount("/operator", e.operatorAPI.Routes())
	r.Handle("/peer", e.peerServer)
	r.Get("/burn", e.serveLocalBurn)
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: e.Settings.Limits.HeaderTimeout,
		MaxHeaderBytes:    e.Settings.Limits.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// serveReady tells the load balancer whether to send calls to this VM.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if refused := e.checkReady(); refused != nil {
		refused.Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// checkReady returns why the VM is not ready, or nil if it is.
func (e *Entry) checkReady() *refusal.Refusal {
	if e.stopping.Load() {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, "the process is stopping")
	}
	if e.configuration.State().Version() == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration is in force here yet")
	}
	if !e.directory.Ready() {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "the endpoints are not known here yet")
	}
	return nil
}

// admitCalls refuses calls that can't be served and tracks the others as in flight. During a graceful stop, calls are still
// accepted until the listener closes, and each connection is closed after its answer.
func (e *Entry) admitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.configuration.State().Version() == 0 {
			refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration is in force here yet").Write(w)
			return
		}
		if err := e.callLimiter.Acquire(); err != nil {
			limitRefusal(err).Write(w)
			return
		}
		defer e.callLimiter.Release()
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitRefusal converts an error of Limiter.Acquire to a refusal.
func limitRefusal(err error) *refusal.Refusal {
	var closed *inflight.ClosedError
	if errors.As(err, &closed) {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, err.Error()).WithRetryAfter(retryDelay)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.TooManyCalls, err.Error()).WithRetryAfter(retryDelay)
}
