package serving

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/proxy"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

const (
	// proxiedDivisor is the part of what callers' requests and connections may take that requests of other VMs may take besides.
	proxiedDivisor = 4
	// proxyingDivisor is the part of the stop timeout in which requests of other VMs are taken; the rest is for their responses.
	proxyingDivisor = 2
	// defaultBodyLimit limits bodies of other VMs' requests if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
)

// proxies implements dispatch.Proxies, and serves the requests of other VMs.
type proxies struct {
	*proxy.Directory
	*proxy.Client
	pool    *outbound.Pool
	tracker *dispatch.Tracker
	handler *proxy.Handler
}

func roundTrips(vm settings.ServingVM) dispatch.RoundTrips {
	return dispatch.RoundTrips{
		FailureDomain: vm.FailureDomain,
		Regions:       vm.Regions,
	}
}

func (s *Server) newProxies() *proxies {
	vm := s.Settings.VM
	pool := outbound.NewPool(s.Clock)
	metrics := proxy.NewMetrics(s.registry)
	return &proxies{
		Directory: proxy.NewDirectory(proxy.Sources{
			Name:       vm.Name,
			HoldsLease: s.HoldsLease,
			Linked:     func() []cluster.Member { return s.hub.Proxies() },
			Members:    func() []cluster.Member { return s.spoke.Members() },
		}, s.Clock),
		Client:  proxy.NewClient(vm.Name, pool, roundTrips(vm), metrics),
		pool:    pool,
		tracker: dispatch.NewTracker(roundTrips(vm)),
		handler: proxy.NewHandler(proxy.Options{
			Serve:         s.serveProxied,
			BodyLimit:     s.proxiedBodyLimit,
			ProxyingEnded: s.ProxyingEnded,
			MaxRequests:   max(connectionLimit(vm)/proxiedDivisor, 1),
			MaxBytes:      requestBytes(vm) / proxiedDivisor,
			Metrics:       metrics,
			Clock:         s.Clock,
		}),
	}
}

// prune closes expired connections to other VMs and drops what is known of those that are no longer listed.
func (p *proxies) prune(now time.Time) {
	p.pool.Prune()
	p.tracker.Prune(p.VMs(), now)
}

// serveProxied serves a request of another VM. It ends with those of this VM's own callers.
func (s *Server) serveProxied(ctx context.Context, request *dispatch.Request, caller dispatch.Caller) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(s.requests, func() { cancel(context.Cause(s.requests)) })()
	s.dispatcher.Serve(ctx, request, caller)
}

func (s *Server) proxiedBodyLimit() int64 {
	if limit := s.BodyLimit(); limit > 0 {
		return limit
	}
	return defaultBodyLimit
}

// CutOff implements cluster.ProxyVM.
func (s *Server) CutOff() bool { return s.reach.CutOff() }

// ProxyingEnded implements cluster.ProxyVM.
func (s *Server) ProxyingEnded() bool {
	endsAt := s.proxyingEndsAt.Load()
	return endsAt != nil && !s.Clock.Now().Before(*endsAt)
}

// Region implements cluster.ProxyVM.
func (s *Server) Region(failureDomain string) string { return s.Settings.VM.Regions[failureDomain] }

// ReceiveProxies implements cluster.ProxyVM.
func (s *Server) ReceiveProxies(vms []cluster.Member) { s.proxies.Receive(vms) }
