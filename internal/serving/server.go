package serving

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/mesh"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/internal/roster"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/internal/tenure"
)

const (
	// drainDelay is how long connections are still taken after readiness is withdrawn: the balancer asks once a second
	// and believes the second miss.
	drainDelay = 2600 * time.Millisecond
	// stopMargin is how long before the process is ended from outside it ends by itself.
	stopMargin = 350 * time.Millisecond
	// releaseTimeout bounds the release of the lease, which delays the drain.
	releaseTimeout = time.Second
)

// Server is the process of an entry VM.
type Server struct {
	Dependencies
	registry   *prometheus.Registry
	inForce    *catalog.InForce
	roster     *roster.Roster
	watcher    *registry.Watcher
	tracker    *dispatch.Tracker
	budget     *dispatch.Budget
	dispatcher *dispatch.Dispatcher
	meter      *orders.Meter
	tenure     *tenure.Tenure
	steward    *orders.Steward
	host       *mesh.Host
	announcer  *mesh.Announcer
	census     *mesh.Census
	spoke      *mesh.Spoke
	stopping   atomic.Bool
	// settings is the newest usable settings; Settings is what the process started with.
	settings atomic.Pointer[settings.Serving]
	// incarnation tells this run of the process from others of the VM.
	incarnation string
	// linkedOnce is set while this VM holds the lease and another one was linked; alone is since when none is any more.
	linkedOnce bool
	alone      time.Time
	// held is when this VM was last seen without the lease.
	held time.Time

	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

// New returns a server that listens already; Run answers. It fails with ListenError.
func New(d Dependencies) (*Server, error) {
	s := &Server{
		Dependencies: d,
		registry:     prometheus.NewRegistry(),
		inForce:      catalog.NewInForce(),
		roster:       roster.New(),
		tracker: dispatch.NewTracker(dispatch.Distances{
			FailureDomain: d.Settings.VM.FailureDomain,
			Regions:       d.Settings.VM.Regions,
		}),
		budget:      dispatch.NewBudget(budgetLimits(d.Settings), d.Clock.Now()),
		meter:       orders.NewMeter(d.Clock.Now()),
		incarnation: uuid.NewString(),
	}
	s.settings.Store(&d.Settings)
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.watcher = registry.New(d.Source, s.inForce, s.roster, s, d.Settings.VM.FirstStart, d.Clock, d.Logger)
	s.dispatcher = dispatch.New(dispatch.Dependencies{
		Catalog: s.inForce.Current,
		Roster:  s.roster.View,
		VMs:     s.vms,
		Tracker: s.tracker,
		Budget:  s.budget,
		Sender:  d.Sender,
		Wants:   &wants{server: s},
		Metrics: dispatch.NewMetrics(s.registry),
		Clock:   d.Clock,
		Logger:  d.Logger,
	})
	s.wireOrders()
	s.registerGauges()
	return s, s.listen()
}

// wireOrders makes what drives the runners while this VM holds the lease, and what links it to the holder otherwise.
func (s *Server) wireOrders() {
	vm := s.Settings.VM
	reluctance := time.Duration(0)
	if slowLink(vm) {
		reluctance = slowReluctance
	}
	self := mesh.Member{
		Name:          vm.Name,
		Address:       vm.PeerAddress,
		FailureDomain: vm.FailureDomain,
		Incarnation:   s.incarnation,
		SlowLink:      slowLink(vm),
	}
	s.tenure = tenure.New(tenure.Options{
		Name:        vm.Name,
		Address:     vm.PeerAddress,
		Incarnation: s.incarnation,
		Term:        s.Settings.Control.LeaseTerm,
		Reluctance:  reluctance,
		OnResign:    func() { s.host.Pulse() },
	}, s.Log, s.Clock, s.Boot, s.Logger)
	s.host = mesh.NewHost(self, s, s.Clock)
	s.announcer = mesh.NewAnnouncer(s.host, s.Clock)
	s.census = mesh.NewCensus(s.host, s, s.Clock)
	s.spoke = mesh.NewSpoke(self, s, s.Clock, s.Logger)
	s.steward = orders.New(orders.Dependencies{
		Holder:   vm.Name,
		Lease:    s.tenure,
		Catalog:  s.inForce.Current,
		Roster:   s.roster.View,
		Settled:  s.watcher.Settled,
		Client:   s.Orders,
		VMs:      s.vms,
		Uses:     s.census.Uses,
		Announce: s.announce,
		Metrics:  orders.NewMetrics(s.registry),
		Clock:    s.Clock,
		Logger:   s.Logger,
	})
}

func budgetLimits(s settings.Serving) dispatch.BudgetLimits {
	return dispatch.BudgetLimits{
		Window: s.Limits.RetryWindow,
		Ratio:  s.Limits.RetryRatio,
		Slack:  float64(s.Limits.RetrySlack),
	}
}

func (s *Server) listen() error {
	vm := s.Settings.VM
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{vm.CallerAddress, &s.callers},
		{vm.ReadyAddress, &s.ready},
		{vm.PeerAddress, &s.peers},
		{vm.MetricsAddress, &s.metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return &ListenError{
				Address: l.address,
				Cause:   err,
			}
		}
		*l.listener = listener
	}
	return nil
}

// CallerAddress returns where callers are answered.
func (s *Server) CallerAddress() string { return s.callers.Addr().String() }

// ReadyAddress returns where the balancer is answered.
func (s *Server) ReadyAddress() string { return s.ready.Addr().String() }

// Serve answers one request of a caller.
func (s *Server) Serve(r *http.Request, request *dispatch.Request, caller dispatch.Caller) {
	s.dispatcher.Serve(r.Context(), request, caller)
}

// BodyLimit returns the largest body that the configuration allows, or 0 if it does not say.
func (s *Server) BodyLimit() int64 {
	if c := s.inForce.Current(); c != nil {
		return c.Limits.BodyBytes
	}
	return 0
}

// Stopping reports whether a graceful stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Run answers until the context ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	threads, control := errgroup.WithContext(control)
	for _, thread := range s.threads() {
		threads.Go(func() error { return thread(control) })
	}
	callers, ready, peers, metrics := s.callerServer(), s.readyServer(), s.peerServer(control), s.metricsServer()
	threads.Go(func() error { return serve(callers, s.callers) })
	threads.Go(func() error { return serve(ready, s.ready) })
	threads.Go(func() error { return serve(peers, s.peers) })
	threads.Go(func() error { return serve(metrics, s.metrics) })
	event.EntryStarted.Log(s.Logger, slog.String("Callers", s.CallerAddress()))
	select {
	case <-ctx.Done():
	case <-control.Done():
	}
	stopped := s.Clock.Now()
	s.stopping.Store(true)
	event.EntryStopping.Log(s.Logger)
	s.release()
	s.drain(callers, stopped)
	stopControl()
	_ = ready.Close()
	_ = peers.Close()
	_ = metrics.Close()
	return threads.Wait()
}

// release gives the lease for orders up.
func (s *Server) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.tenure.Release(ctx)
}

// drain takes connections a little longer, then lets every request in flight come to its end.
func (s *Server) drain(callers *http.Server, stopped time.Time) {
	s.Clock.Sleep(drainDelay)
	end := stopped.Add(s.current().Limits.StopTimeout - stopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(s.Clock.Now()))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		event.StopDeadlinePassed.Log(s.Logger, event.Error(err))
		_ = callers.Close()
		return
	}
	event.EntryStopped.Log(s.Logger)
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
