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
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/gate"
	"github.com/cowsliparch/cowsliparch/internal/holder"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/operator"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/placement"
	"github.com/cowsliparch/cowsliparch/internal/plaincall"
)

// Entry is the process of one entry VM.
type Entry struct {
	Dependencies
	incarnation string
	registry    *prometheus.Registry
	gate        *gate.Gate
	stopping    atomic.Bool

	configuration *fold.Tail[configuration.State]
	directory     *directory.Directory
	node          *peer.Node
	desk          *booking.Desk
	counter       *booking.Counter
	burn          *burn.Recorder
	demand        *modelcall.Demand
	domainDemand  *modelcall.Demand
	heard         heard
	decisions     *modelcall.Decisions
	models        *modelcall.Handler[peer.Remote]
	plain         *plaincall.Handler
	fleet         *fold.Tail[fleet.State]
	anchors       *fold.Tail[anchor.State]
	holder        *holder.Holder
	meter         *placement.Meter
	operators     *operator.Handler
	peers         *peer.Server

	callers net.Listener
	control net.Listener
}

// New returns an entry that listens already; Run answers.
func New(d Dependencies) (*Entry, error) {
	e := &Entry{
		Dependencies: d,
		incarnation:  uuid.NewString(),
		registry:     prometheus.NewRegistry(),
		gate:         gate.New(d.Settings.Limits.MaxCalls),
		burn:         burn.New(),
		demand:       modelcall.NewDemand(),
		domainDemand: modelcall.NewDemand(),
		meter:        placement.NewMeter(),
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
	if e.callers, err = net.Listen("tcp", e.Settings.VM.CallerAddress); err != nil {
		return &ListenError{Address: e.Settings.VM.CallerAddress, Cause: err}
	}
	if e.control, err = net.Listen("tcp", e.Settings.VM.ControlAddress); err != nil {
		_ = e.callers.Close()
		return &ListenError{Address: e.Settings.VM.ControlAddress, Cause: err}
	}
	return nil
}

// CallerAddress returns where callers are answered.
func (e *Entry) CallerAddress() string { return e.callers.Addr().String() }

// ControlAddress returns where operators and peers are answered.
func (e *Entry) ControlAddress() string { return e.control.Addr().String() }

// State returns the configuration folded here.
func (e *Entry) State() configuration.State { return e.configuration.State() }

func (e *Entry) wireControl() {
	d := e.Dependencies
	vm := d.Settings.VM
	e.configuration = fold.NewTail(configuration.New(), d.Log, configuration.Stream, d.Clock, d.Logger)
	e.directory = directory.New(vm.FailureDomain, d.VMList, d.Engine, d.Clock, d.Logger)
	e.node = peer.NewNode(peer.Options{
		Name:          vm.Name,
		Incarnation:   e.incarnation,
		FailureDomain: vm.FailureDomain,
		Region:        vm.Region,
		Heartbeat:     d.Settings.Control.Heartbeat,
	}, e.entries, e.configuration, d.Clock, d.Logger)
	e.desk = booking.New(booking.Options{
		Partitions:    d.Settings.Calls.Partitions,
		FlushInterval: d.Settings.Calls.FlushInterval,
		Batchers:      func() int { return len(e.State().Configuration().FailureDomains) },
		DedupeWindow:  d.Settings.Calls.DedupeWindow,
		Timeout:       d.Settings.Calls.OutcomeTimeout,
	}, d.Log, d.Clock, d.Logger)
	e.counter = booking.NewCounter(e.desk, e.batcher, d.Clock)
}

func (e *Entry) wireCalls() {
	d := e.Dependencies
	limits := d.Settings.Limits
	e.models = modelcall.New(modelcall.Dependencies[peer.Remote]{
		State:        e.configuration.State,
		View:         e.directory.View,
		Engine:       d.Engine,
		Neighbours:   e.node,
		Burn:         e.burn,
		Demand:       e.demand,
		Answered:     e.meter.Answered,
		Metrics:      modelcall.NewMetrics(e.registry),
		Decisions:    e.decisions,
		Clock:        d.Clock,
		Logger:       d.Logger,
		MaxBodyBytes: limits.MaxBodyBytes,
		BodyTimeout:  limits.BodyTimeout,
		WriteTimeout: limits.WriteTimeout,
	})
	e.plain = plaincall.New(plaincall.Dependencies{
		State:          e.configuration.State,
		View:           e.directory.View,
		Service:        d.Service,
		Counter:        e.counter,
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
	e.operators = operator.New(operator.Dependencies{
		VM:        d.Settings.VM.Name,
		Tail:      e.configuration,
		Changes:   operator.NewChanges(e.configuration, d.Logger),
		Explainer: e,
		Burner:    e,
	})
	e.peers = peer.NewServer(e.incarnation, e, d.Clock)
}

func (e *Entry) wireHolder() {
	d := e.Dependencies
	vm := d.Settings.VM
	e.fleet = fold.NewTail(fleet.New(), d.Log, fleet.Stream(vm.FailureDomain), d.Clock, d.Logger)
	e.anchors = fold.NewTail(anchor.New(), d.Log, anchor.Stream, d.Clock, d.Logger)
	e.holder = holder.New(holder.Dependencies{
		Options: holder.Options{
			VM:            vm.Name,
			Incarnation:   e.incarnation,
			FailureDomain: vm.FailureDomain,
			LeaseTerm:     d.Settings.Control.LeaseTerm,
			LeaseMargin:   d.Settings.Control.LeaseMargin,
			DeliveryBound: d.Settings.Control.DeliveryBound,
		},
		Fleet:         e.fleet,
		Anchors:       e.anchors,
		Configuration: e.configuration.State,
		View:          e.directory.View,
		Poll:          e.directory.PollReport,
		Elsewhere:     e.ServedElsewhere,
		Meter:         e.meter,
		Engine:        d.Engine,
		Clock:         d.Clock,
		Logger:        d.Logger,
	})
}

// Run answers until ctx ends, then stops gracefully: it withdraws readiness, waits for the balancer to notice, and
// lets every call in flight come to its end.
func (e *Entry) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	threads, control := errgroup.WithContext(control)
	// The holder stops first, so that its release still finds the tail of the stream running.
	holding, stopHolder := context.WithCancel(control)
	defer stopHolder()
	held := make(chan struct{})
	threads.Go(func() error {
		defer close(held)
		return e.holder.Run(holding)
	})
	for _, duty := range e.duties() {
		threads.Go(func() error { return duty(control) })
	}
	callers := e.callerServer()
	operators := e.controlServer(control)
	threads.Go(func() error { return serve(callers, e.callers) })
	threads.Go(func() error { return serve(operators, e.control) })
	event.EntryStarted.Log(e.Logger, slog.String("Callers", e.CallerAddress()), slog.String("Control", e.ControlAddress()))
	select {
	case <-ctx.Done():
	case <-control.Done():
	}
	e.stopping.Store(true)
	stopHolder()
	err := e.drain(callers)
	<-held
	stopControl()
	_ = operators.Close()
	return errs.Combine(err, threads.Wait())
}

// duties returns the control threads.
func (e *Entry) duties() []func(context.Context) error {
	return []func(context.Context) error{
		e.configuration.Run,
		e.directory.Run,
		e.node.Run,
		e.desk.Run,
		e.counter.Run,
		e.fleet.Run,
		e.anchors.Run,
		e.watchConfiguration,
		e.shareDemand,
		e.measureDemand,
		e.appendSnapshots,
	}
}

// drain is the graceful stop of the callers' side.
func (e *Entry) drain(callers *http.Server) error {
	event.EntryStopping.Log(e.Logger, slog.Int("Calls", e.gate.Inside()))
	e.Clock.Sleep(e.Settings.Limits.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.Limits.StopTimeout)
	defer cancel()
	err := callers.Shutdown(ctx)
	if err == nil {
		err = e.gate.Close(ctx)
	}
	if err != nil {
		event.StopDeadlinePassed.Log(e.Logger, slog.Int("Calls", e.gate.Inside()))
		_ = callers.Close()
		return &StopError{Calls: e.gate.Inside()}
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
