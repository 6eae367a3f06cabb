package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cowsliparch/cowsliparch/internal/gate"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	idleTimeout = 2 * time.Minute
	fullRetry   = time.Second
)

func (e *Entry) callerServer() *http.Server {
	limits := e.Settings.Limits
	r := chi.NewRouter()
	r.Get("/healthz", e.serveHealth)
	r.Get("/readyz", e.serveReady)
	r.Group(func(r chi.Router) {
		r.Use(e.admitCalls)
		r.Method(http.MethodPost, "/v1/chat/completions", e.models)
		r.Mount("/", e.plain.Routes())
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
	r.Mount("/operator", e.operators.Routes())
	r.Handle("/peer", e.peers)
	r.Get("/burn", e.serveOwnBurn)
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: e.Settings.Limits.HeaderTimeout,
		MaxHeaderBytes:    e.Settings.Limits.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// serveReady tells the balancer whether to send calls here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if refused := e.unready(); refused != nil {
		refused.Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) unready() *refusal.Refusal {
	if e.stopping.Load() {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, "the process is stopping")
	}
	if e.configuration.State().Version() == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration is in force here yet")
	}
	if !e.directory.Warm() {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "the endpoints are not known here yet")
	}
	return nil
}

// admitCalls refuses calls that can't be taken and counts the others in and out. While stopping, calls are taken still
// until the listener closes, and each connection ends with its answer.
func (e *Entry) admitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.configuration.State().Version() == 0 {
			refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration is in force here yet").Write(w)
			return
		}
		if err := e.gate.Enter(); err != nil {
			refuseEntry(err).Write(w)
			return
		}
		defer e.gate.Leave()
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func refuseEntry(err error) *refusal.Refusal {
	var closed *gate.ClosedError
	if errors.As(err, &closed) {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, err.Error()).WithRetryAfter(fullRetry)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.TooManyCalls, err.Error()).WithRetryAfter(fullRetry)
}
