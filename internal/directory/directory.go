package directory

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	listInterval = time.Second
	// minReportInterval is the time between two reports of an engine; it grows by reportSpacing with each endpoint of
	// the failure domain.
	minReportInterval = 250 * time.Millisecond
	reportSpacing     = 20 * time.Millisecond
	reportTimeout     = time.Second
	listTimeout       = 2 * time.Second
)

// Directory polls the VM list and the reports of the endpoints in one failure domain.
type Directory struct {
	domain string
	list   vmlist.List
	engine endpoint.Engine
	clock  clockwork.Clock
	logger *slog.Logger

	mu        sync.Mutex
	endpoints map[string]*tracked
	entries   []vmlist.VM
	listed    bool
	warm      bool
	view      atomic.Pointer[View]
}

type tracked struct {
	endpoint *Endpoint
	cancel   context.CancelFunc
}

// New returns a directory of one failure domain with an empty view.
func New(domain string, list vmlist.List, engine endpoint.Engine, clock clockwork.Clock, logger *slog.Logger) *Directory {
	d := &Directory{
		domain:    domain,
		list:      list,
		engine:    engine,
		clock:     clock,
		logger:    logger,
		endpoints: make(map[string]*tracked),
	}
	d.view.Store(&View{})
	return d
}

// View returns the newest picture.
func (d *Directory) View() *View { return d.view.Load() }

// Warm reports whether the VM list was read and every endpoint then on it was asked for a report.
func (d *Directory) Warm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.warm || !d.listed {
		return d.warm
	}
	for _, t := range d.endpoints {
		if !t.endpoint.polled.Load() {
			return false
		}
	}
	d.warm = true
	return true
}

// Run polls until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	var pollers sync.WaitGroup
	defer pollers.Wait()
	reachable := true
	for {
		reachable = d.poll(ctx, &pollers, reachable)
		if !pause.For(ctx, d.clock, listInterval) {
			return nil
		}
	}
}

func (d *Directory) poll(ctx context.Context, pollers *sync.WaitGroup, reachable bool) bool {
	asking, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := d.list.VMs(asking)
	if err != nil {
		if reachable && ctx.Err() == nil {
			event.VMListUnreachable.Log(d.logger, event.Error(err))
		}
		return false
	}
	d.apply(ctx, pollers, vms)
	return true
}

// apply brings the endpoints in line with a list; one that is off the list gets no new work.
func (d *Directory) apply(ctx context.Context, pollers *sync.WaitGroup, vms []vmlist.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	d.entries = d.entries[:0:0]
	d.listed = true
	for _, vm := range vms {
		if vm.Role == vmlist.EntryRole {
			d.entries = append(d.entries, vm)
			continue
		}
		if vm.FailureDomain != d.domain {
			continue
		}
		listed[vm.Name] = true
		d.track(ctx, pollers, vm)
	}
	for name, t := range d.endpoints {
		if !listed[name] {
			t.cancel()
			t.endpoint.leaving.Store(true)
			delete(d.endpoints, name)
		}
	}
	d.rebuild()
}

func (d *Directory) track(ctx context.Context, pollers *sync.WaitGroup, vm vmlist.VM) {
	t, ok := d.endpoints[vm.Name]
	if ok && t.endpoint.VM.Address != vm.Address {
		t.cancel()
		t.endpoint.leaving.Store(true)
		ok = false
	}
	if !ok {
		polling, cancel := context.WithCancel(ctx)
		t = &tracked{
			endpoint: NewEndpoint(vm),
			cancel:   cancel,
		}
		d.endpoints[vm.Name] = t
		pollers.Go(func() { d.pollReports(polling, t.endpoint) })
	}
	if vm.State == vmlist.Leaving {
		d.leave(t.endpoint)
	}
}

func (d *Directory) leave(e *Endpoint) {
	if !e.leaving.Swap(true) {
		event.EndpointLeaving.Log(d.logger, slog.String("Endpoint", e.VM.Name))
	}
}

func (d *Directory) pollReports(ctx context.Context, e *Endpoint) {
	for {
		d.PollReport(ctx, e)
		if !pause.For(ctx, d.clock, d.reportInterval()) {
			return
		}
	}
}

func (d *Directory) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(d.View().Endpoints()))*reportSpacing)
}

// PollReport asks an endpoint for its report now; a plain service has none and is left alone.
func (d *Directory) PollReport(ctx context.Context, e *Endpoint) {
	asking, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := d.clock.Now()
	report, err := d.engine.Report(asking, e.VM.Address)
	defer e.polled.Store(true)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.reportFailed(e, err)
		return
	}
	if e.Load.Succeeded() {
		event.EndpointReachable.Log(d.logger, slog.String("Endpoint", e.VM.Name))
	}
	if report.Leaving {
		d.leave(e)
	}
	e.Load.Report(report, asked, len(d.View().LiveEntries(d.domain)))
	before, newer := e.accept(Reported{
		Report: report,
		Asked:  asked,
	})
	if !newer {
		return
	}
	if before == nil || !sameModels(before.Report, report) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rebuild()
	}
}

func (d *Directory) reportFailed(e *Endpoint, err error) {
	var status *endpoint.StatusError
	if errors.As(err, &status) {
		// It answers, without a report of load.
		e.Load.Succeeded()
		return
	}
	if e.Load.Failed(d.clock.Now()) {
		event.EndpointUnreachable.Log(d.logger, slog.String("Endpoint", e.VM.Name), event.Error(err))
	}
}

func (d *Directory) rebuild() {
	endpoints := make([]*Endpoint, 0, len(d.endpoints))
	for _, t := range d.endpoints {
		endpoints = append(endpoints, t.endpoint)
	}
	d.view.Store(NewView(endpoints, d.entries))
}
