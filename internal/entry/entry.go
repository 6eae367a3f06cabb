package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/cowsliparch/cowsliparch/internal/anchor"
	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/holder"
	"github.com/cowsliparch/cowsliparch/internal/inflight"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/operator"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/placement"
	"github.com/cowsliparch/cowsliparch/internal/plaincall"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// Entry is the process of one entry VM.
type Entry struct {
	Dependencies
	incarnation string
	registry    *prometheus.Registry
	callLimiter *inflight.Limiter
	stopping    atomic.Bool

	configuration *replay.Follower[configuration.State]
	directory     *directory.Directory
	peerNode      *peer.Node
	claimBatcher  *booking.LocalBatcher
	claims        *booking.Claimer
	burn          *burn.Recorder
	localDemand   *modelcall.Demand
	domainDemand  *modelcall.Demand
	heartbeats    heartbeatTimes
	decisions     *modelcall.Decisions
	modelCalls    *modelcall.Handler[peer.Remote]
	plainCalls    *plaincall.Handler
	fleet         *replay.Follower[fleet.State]
	anchors       *replay.Follower[anchor.State]
	holder        *holder.Holder
	demandMeter   *placement.Meter
	operatorAPI   *operator.Handler
	peerServer    *peer.Server

	callerListener  net.Listener
	controlListener net.Listener
}

// New opens the listeners of an entry VM; connections are served once Run is called.
func New(d Dependencies) (*Entry, error) {
	e := &Entry{
		Dependencies: d,
		incarnation:  uuid.NewString(),
		registry:     prometheus.NewRegistry(),
		callLimiter:  inflight.New(d.Settings.Limits.MaxCalls),
		burn:         burn.New(),
		localDemand:  modelcall.NewDemand(),
		domainDemand: modelcall.NewDemand(),
		demandMeter:  placement.NewMeter(),
		decisions:    modelcall.NewDecisions(),
	}
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.wireControl()
	e.wireCalls()
	e.wireHolder()
	e.registerGauges()
	return e, e.listen()
}

func (e *Entry) listen() error {
	var err error
	if e.callerListener, err = net.Listen("tcp", e.Settings.VM.CallerAddress); err != nil {
		return &ListenError{Address: e.Settings.VM.CallerAddress, Cause: err}
	}
	if e.controlListener, err = net.Listen("tcp", e.Settings.VM.ControlAddress); err != nil {
		_ = e.callerListener.Close()
		return &ListenError{Address: e.Settings.VM.ControlAddress, Cause: err}
	}
	return nil
}

// CallerAddress returns the address that serves callers.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// ControlAddress returns the address that serves operators and peers.
func (e *Entry) ControlAddress() string { return e.controlListener.Addr().String() }

// State returns the configuration state that this VM has built from the log.
func (e *Entry) State() configuration.State { return e.configuration.State() }

// wireControl creates the components that follow the log, the endpoints and the peers.
func (e *Entry) wireControl() {
	d := e.Dependencies
	vm := d.Settings.VM
	e.configuration = replay.NewFollower(configuration.New(), d.Log, configuration.Stream, d.Clock, d.Logger)
	e.directory = directory.New(vm.FailureDomain, d.VMList, d.Engine, d.Clock, d.Logger)
	e.peerNode = peer.NewNode(peer.Options{
		Name:          vm.Name,
		Incarnation:   e.incarnation,
		FailureDomain: vm.FailureDomain,
		Region:        vm.Region,
		Heartbeat:     d.Settings.Control.Heartbeat,
	}, e.entryVMs, e.configuration, d.Clock, d.Logger)
	e.claimBatcher = booking.New(booking.Options{
		Partitions:    d.Settings.Calls.Partitions,
		FlushInterval: d.Settings.Calls.FlushInterval,
		Batchers:      func() int { return len(e.State().Configuration().FailureDomains) },
		DedupeWindow:  d.Settings.Calls.DedupeWindow,
		Timeout:       d.Settings.Calls.OutcomeTimeout,
	}, d.Log, d.Clock, d.Logger)
	e.claims = booking.NewClaimer(e.claimBatcher, e.batcher, d.Clock)
}

// wireCalls creates the handlers of calls, the operator API and the peer server.
func (e *Entry) wireCalls() {
	d := e.Dependencies
	limits := d.Settings.Limits
	e.modelCalls = modelcall.New(modelcall.Dependencies[peer.Remote]{
		State:        e.configuration.State,
		View:         e.directory.View,
		Engine:       d.Engine,
		Remotes:      e.peerNode,
		Burn:         e.burn,
		Demand:       e.localDemand,
		OnAnswered:   e.demandMeter.ObserveAnswer,
		Metrics:      modelcall.NewMetrics(e.registry),
		Decisions:    e.decisions,
		Clock:        d.Clock,
		Logger:       d.Logger,
		MaxBodyBytes: limits.MaxBodyBytes,
		BodyTimeout:  limits.BodyTimeout,
		WriteTimeout: limits.WriteTimeout,
	})
	e.plainCalls = plaincall.New(plaincall.Dependencies{
		State:          e.configuration.State,
		View:           e.directory.View,
		Service:        d.Service,
		Claimer:        e.claims,
		Burn:           e.burn,
		Metrics:        plaincall.NewMetrics(e.registry),
		Clock:          d.Clock,
		Logger:         d.Logger,
		MaxBodyBytes:   limits.MaxBodyBytes,
		BodyTimeout:    limits.BodyTimeout,
		WriteTimeout:   limits.WriteTimeout,
		OutcomeBytes:   d.Settings.Calls.OutcomeBytes,
		OutcomeTimeout: d.Settings.Calls.OutcomeTimeout,
	})
	e.operatorAPI = operator.New(operator.Dependencies{
		VM:           d.Settings.VM.Name,
		Follower:     e.configuration,
		Publisher:    operator.NewPublisher(e.configuration, d.Logger),
		Explainer:    e,
		BurnReporter: e,
	})
	e.peerServer = peer.NewServer(e.incarnation, e, d.Clock)
}

// wireHolder creates the holder of shard leases and the state that it needs.
func (e *Entry) wireHolder() {
	d := e.Dependencies
	vm := d.Settings.VM
	e.fleet = replay.NewFollower(fleet.New(), d.Log, fleet.Stream(vm.FailureDomain), d.Clock, d.Logger)
	e.anchors = replay.NewFollower(anchor.New(), d.Log, anchor.Stream, d.Clock, d.Logger)
	e.holder = holder.New(holder.Dependencies{
		Options: holder.Options{
			VM:            vm.Name,
			Incarnation:   e.incarnation,
			FailureDomain: vm.FailureDomain,
			LeaseTerm:     d.Settings.Control.LeaseTerm,
			LeaseMargin:   d.Settings.Control.LeaseMargin,
			DeliveryBound: d.Settings.Control.DeliveryBound,
		},
		Fleet:               e.fleet,
		Anchors:             e.anchors,
		Configuration:       e.configuration.State,
		View:                e.directory.View,
		Poll:                e.directory.PollReport,
		ServedByOtherDomain: e.ServedByOtherDomain,
		Meter:               e.demandMeter,
		Engine:              d.Engine,
		Clock:               d.Clock,
		Logger:              d.Logger,
	})
}

// Run serves until ctx ends, then stops gracefully: it reports not ready, waits for the load balancer to notice, and waits
// for the calls in flight.
func (e *Entry) Run(ctx context.Context) error {
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	tasks, backgroundCtx := errgroup.WithContext(backgroundCtx)
	// The lease holder stops first: releasing its leases requires that the stream is still followed.
	holderCtx, stopHolder := context.WithCancel(backgroundCtx)
	defer stopHolder()
	holderDone := make(chan struct{})
	tasks.Go(func() error {
		defer close(holderDone)
		return e.holder.Run(holderCtx)
	})
	for _, task := range e.backgroundTasks() {
		tasks.Go(func() error { return task(backgroundCtx) })
	}
	callerServer := e.callerServer()
	controlServer := e.controlServer(backgroundCtx)
	tasks.Go(func() error { return serve(callerServer, e.callerListener) })
	tasks.Go(func() error { return serve(controlServer, e.controlListener) })
	event.EntryStarted.Log(e.Logger, slog.String("Callers", e.CallerAddress()), slog.String("Control", e.ControlAddress()))
	select {
	case <-ctx.Done():
	case <-backgroundCtx.Done():
	}
	e.stopping.Store(true)
	stopHolder()
	err := e.drain(callerServer)
	<-holderDone
	stopBackground()
	_ = controlServer.Close()
	return errs.Combine(err, tasks.Wait())
}

// backgroundTasks returns the tasks that run until the process stops.
func (e *Entry) backgroundTasks() []func(context.Context) error {
	return []func(context.Context) error{
		e.configuration.Run,
		e.directory.Run,
		e.peerNode.Run,
		e.claimBatcher.Run,
		e.claims.Run,
		e.fleet.Run,
		e.anchors.Run,
		e.watchConfiguration,
		e.shareDemand,
		e.measureDemand,
		e.appendSnapshots,
	}
}

// drain shuts the caller server down once the load balancer has had DrainDelay to notice, and waits for calls in flight up
// to StopTimeout.
func (e *Entry) drain(server *http.Server) error {
	event.EntryStopping.Log(e.Logger, slog.Int("Calls", e.callLimiter.Count()))
	e.Clock.Sleep(e.Settings.Limits.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.Limits.StopTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		err = e.callLimiter.Close(ctx)
	}
	if err != nil {
		event.StopDeadlinePassed.Log(e.Logger, slog.Int("Calls", e.callLimiter.Count()))
		_ = server.Close()
		return &StopError{Calls: e.callLimiter.Count()}
	}
	event.EntryStopped.Log(e.Logger)
	return nil
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
