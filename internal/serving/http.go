package serving

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cowsliparch/cowsliparch/internal/callers"
	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/proxy"
)

const (
	// headerTimeout bounds the time in which the request headers must be sent if the configuration sets no limit. maxHeaderTimeout is the
	// longest that a configuration can set.
	headerTimeout    = 5 * time.Second
	maxHeaderTimeout = time.Minute
	// idleTimeout exceeds every idle timeout that configurations allow, so that the server does not close a connection that a
	// caller is about to use.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the request headers; configurations allow less.
	maxHeaderBytes = 64 << 10
)

func (s *Server) callerServer() *http.Server {
	return &http.Server{
		Handler:           s.Ingress(s),
		ReadHeaderTimeout: maxHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          debugLogger(s),
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnContext:       callers.Context,
	}
}

func (s *Server) readyServer() *http.Server {
	r := chi.NewRouter()
	r.Get(s.ReadyPath, s.serveReady)
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          debugLogger(s),
	}
}

func (s *Server) peerServer(ctx context.Context) *http.Server {
	r := chi.NewRouter()
	r.Handle(cluster.Path, s.hub)
	r.Handle(proxy.Path, s.proxies.handler)
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          debugLogger(s),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

func (s *Server) metricsServer() *http.Server {
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	return &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          debugLogger(s),
	}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.Stopping() || !s.watcher.Ready() || !s.quarantineKnown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// debugLogger returns a logger that writes net/http's errors on connections at debug level.
func debugLogger(s *Server) *log.Logger { return log.New(&debugWriter{logger: s.Logger}, "", 0) }

func (s *Server) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: name,
			Help: help,
		}, value))
	}
	gauge("cowsliparch_catalog_version", "Version of the operators' configuration in force here.", func() float64 {
		return float64(s.catalog.Version())
	})
	gauge("cowsliparch_runners", "Runners registered.", func() float64 { return float64(len(s.roster.View().All())) })
	gauge("cowsliparch_runners_with_pace", "Runners whose pace is known here.", func() float64 { return float64(len(s.tracker.Paces())) })
	gauge("cowsliparch_connections_opened", "Connections opened to runners and to the store.", func() float64 {
		return float64(s.Pool.Opened())
	})
	gauge("cowsliparch_link_bytes", "Bytes exchanged with other entry VMs.", func() float64 {
		return float64(s.hub.Bytes() + s.spoke.Bytes())
	})
	gauge("cowsliparch_order_lease", "1 while this VM holds the lease for orders.", func() float64 {
		if s.HoldsLease() {
			return 1
		}
		return 0
	})
	gauge("cowsliparch_cut_off", "1 while this VM reaches no runner.", func() float64 {
		if s.reach.CutOff() {
			return 1
		}
		return 0
	})
	gauge("cowsliparch_log_lines_dropped", "Log lines dropped.", func() float64 { return float64(s.LinesDropped()) })
}
