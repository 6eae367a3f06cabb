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

	"github.com/cowsliparch/cowsliparch/internal/buffer"
	"github.com/cowsliparch/cowsliparch/internal/callers"
	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/orderlease"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/promptguard"
	"github.com/cowsliparch/cowsliparch/internal/reach"
	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/internal/roster"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/internal/shedding"
)

// Server runs the process of an entry VM.
type Server struct {
	Dependencies
	registry    *prometheus.Registry
	catalog     *catalog.Active
	roster      *roster.Roster
	watcher     *registry.Watcher
	tracker     *dispatch.Tracker
	proxies     *proxies
	retryBudget *dispatch.RetryBudget
	buffers     *buffer.Budget
	// guardCallers bounds what callers' requests and connections take.
	guardCallers *callers.Guard
	dispatcher   *dispatch.Dispatcher
	demand       *orders.Meter
	lease        *orderlease.Lease
	controller   *orders.Controller
	hub          *cluster.Hub
	announcer    *cluster.Announcer
	aggregator   *cluster.UsageAggregator
	spoke        *cluster.Spoke
	guard        *promptguard.Guard
	origins      *origin.Tracker
	quotas       *quotas
	reach        *reach.Monitor
	stopping     atomic.Bool
	// requests is the context of all requests of callers; cancelRequests ends it.
	requests       context.Context
	cancelRequests context.CancelCauseFunc
	// admissionEnded is set during a stop once callers must have turned to other VMs.
	admissionEnded atomic.Bool
	// proxyingEndsAt is when a stop has come so far that no further request of another VM is taken, nil before a stop.
	proxyingEndsAt atomic.Pointer[time.Time]
	// settings is the newest valid settings; Settings is what the process started with.
	settings atomic.Pointer[settings.Serving]
	// incarnation identifies this run of the process.
	incarnation string
	startedAt   time.Time
	// wasLinked is set once another VM was linked while this VM held the lease; lastLinked is when one was last linked.
	wasLinked  bool
	lastLinked time.Time
	// lastWithoutLease is when this VM was last seen without the lease.
	lastWithoutLease time.Time
	// lastReaching is when this VM last reached the runners or did not hold the lease.
	lastReaching time.Time

	callerListener  net.Listener
	readyListener   net.Listener
	peerListener    net.Listener
	metricsListener net.Listener
}

// New returns a server that is already listening; Run serves the connections. It fails with ListenError.
func New(d Dependencies) (*Server, error) {
	s := &Server{
		Dependencies: d,
		registry:     prometheus.NewRegistry(),
		catalog:      catalog.NewActive(),
		roster:       roster.New(),
		tracker:      dispatch.NewTracker(roundTrips(d.Settings.VM)),
		retryBudget:  dispatch.NewRetryBudget(retryLimits(d.Settings), d.Clock.Now()),
		demand:       orders.NewMeter(d.Clock.Now()),
		buffers:      buffer.NewBudget(bufferBytes(d.Settings.VM), attemptBytes),
		incarnation:  uuid.NewString(),
		startedAt:    d.Clock.Now(),
	}
	s.settings.Store(&d.Settings)
	s.requests, s.cancelRequests = context.WithCancelCause(context.Background())
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.watcher = registry.New(d.Source, s.catalog, s.roster, s, registry.Options{
		FirstStart:   d.Settings.VM.FirstStart,
		ChangeWithin: d.Settings.Control.ChangeWithin(),
	}, d.Clock, d.Logger)
	s.guard = promptguard.New(promptguard.Dependencies{
		Peers:        &guardPeers{server: s},
		Store:        d.Quarantine,
		Roster:       s.roster.View,
		LastReceived: s.tracker.LastReceived,
		Metrics:      promptguard.NewMetrics(s.registry),
		Clock:        d.Clock,
		Logger:       d.Logger,
	})
	s.origins = s.newOrigins()
	s.quotas = newQuotas(d.BootClock, s.quotaAccounts)
	s.reach = s.newReach()
	s.proxies = s.newProxies()
	s.dispatcher = dispatch.New(dispatch.Dependencies{
		Catalog:      s.catalog.Current,
		Roster:       s.roster.View,
		VMs:          s.vmCount,
		Tracker:      s.tracker,
		RetryBudget:  s.retryBudget,
		Sender:       d.Sender,
		Reach:        s.reach,
		Proxies:      s.proxies,
		ProxyTracker: s.proxies.tracker,
		Demand:       &demandRecorder{server: s},
		Buffers:      s.buffers,
		Guard:        s.guard,
		Origins:      s.origins,
		Quotas:       s.quotas,
		Shedding: dispatch.Shedding{
			ByCost:   func() bool { return s.currentSettings().Limits.Shedding == settings.SheddingByCost },
			Shedder:  shedding.New(),
			Stopping: s.Stopping,
		},
		Metrics: dispatch.NewMetrics(s.registry),
		Clock:   d.Clock,
		Logger:  d.Logger,
	})
	s.guardCallers = s.newGuard()
	s.initControl()
	s.registerGauges()
	s.registerBufferMetrics()
	s.registry.MustRegister(s.quotas)
	return s, s.listen()
}

// initControl sets up the lease, the controller that sends orders to the runners under it, and the links between the VMs.
func (s *Server) initControl() {
	vm := s.Settings.VM
	claimDelay := time.Duration(0)
	if hasSlowLink(vm) {
		claimDelay = slowLinkClaimDelay
	}
	self := cluster.Member{
		Name:          vm.Name,
		Address:       vm.PeerAddress,
		FailureDomain: vm.FailureDomain,
		Incarnation:   s.incarnation,
		SlowLink:      hasSlowLink(vm),

		ReadsMemberCount: true,
		TakesProxied:     true,
	}
	s.lease = orderlease.New(orderlease.Options{
		Name:        vm.Name,
		Address:     vm.PeerAddress,
		Incarnation: s.incarnation,
		Term:        s.Settings.Control.LeaseTerm,
		ClaimDelay:  claimDelay,
		OnResign:    func() { s.hub.BroadcastHeartbeat() },
		VMs:         s.vmsToRecord,
	}, s.Log, s.Clock, s.BootClock, s.Logger)
	s.hub = cluster.NewHub(self, s, s.Clock)
	s.announcer = cluster.NewAnnouncer(s.hub, s.Clock)
	s.aggregator = cluster.NewUsageAggregator(s.hub, s, s.Clock)
	s.spoke = cluster.NewSpoke(self, s, s.Clock, s.Logger)
	s.controller = orders.New(orders.Dependencies{
		Holder:         vm.Name,
		Lease:          s.lease,
		Catalog:        s.catalog.Current,
		Roster:         s.roster.View,
		RosterComplete: s.watcher.RunnersComplete,
		Client:         s.Orders,
		Departures:     s.tracker,
		VMs:            s.vmCount,
		InUse:          s.aggregator.ModelsInUse,
		Announce:       s.publishHoldings,
		Metrics:        orders.NewMetrics(s.registry),
		Clock:          s.Clock,
		Logger:         s.Logger,
	})
}

func retryLimits(s settings.Serving) dispatch.RetryLimits {
	return dispatch.RetryLimits{
		Window: s.Limits.RetryWindow,
		Ratio:  s.Limits.RetryRatio,
		Slack:  s.Limits.RetrySlack,
	}
}

func (s *Server) listen() error {
	vm := s.Settings.VM
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{vm.CallerAddress, &s.callerListener},
		{vm.ReadyAddress, &s.readyListener},
		{vm.PeerAddress, &s.peerListener},
		{vm.MetricsAddress, &s.metricsListener},
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
	if err := setReadBuffer(s.callerListener, readBuffer(vm)); err != nil {
		return &ListenError{
			Address: vm.CallerAddress,
			Cause:   err,
		}
	}
	return nil
}

// CallerAddress returns the address on which callers' requests are served.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// ReadyAddress returns the address on which readiness probes are served.
func (s *Server) ReadyAddress() string { return s.readyListener.Addr().String() }

// Serve handles one request of a caller.
func (s *Server) Serve(r *http.Request, request *dispatch.Request, caller dispatch.Caller) {
	s.dispatcher.Serve(r.Context(), request, caller)
}

// BodyLimit returns the maximum size of a request body, or 0 if the configuration sets none.
func (s *Server) BodyLimit() int64 {
	if c := s.catalog.Current(); c != nil {
		return c.Limits.BodyBytes
	}
	return 0
}

// Run serves until the context ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	group, control := errgroup.WithContext(control)
	for _, loop := range s.loops() {
		group.Go(func() error { return loop(control) })
	}
	callerServer, readyServer, peerServer, metricsServer := s.callerServer(), s.readyServer(), s.peerServer(control), s.metricsServer()
	connections := newBusyConnections()
	callerServer.ConnState = s.trackConnections(connections)
	peerServer.ConnState = connections.track
	group.Go(func() error { return serve(callerServer, s.guardCallers.Listen(s.callerListener)) })
	group.Go(func() error { return serve(readyServer, s.readyListener) })
	group.Go(func() error { return serve(peerServer, s.peerListener) })
	group.Go(func() error { return serve(metricsServer, s.metricsListener) })
	event.EntryStarted.Log(s.Logger, slog.String("Callers", s.CallerAddress()))
	select {
	case <-ctx.Done():
	case <-control.Done():
	}
	stopStarted := s.Clock.Now()
	proxyingEndsAt := stopStarted.Add(max(s.currentSettings().Limits.StopTimeout/proxyingDivisor, admissionDelay))
	s.proxyingEndsAt.Store(&proxyingEndsAt)
	s.stopping.Store(true)
	event.EntryStopping.Log(s.Logger)
	s.releaseLease()
	s.drain(callerServer, connections, stopStarted)
	stopControl()
	_ = readyServer.Close()
	_ = peerServer.Close()
	_ = metricsServer.Close()
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
