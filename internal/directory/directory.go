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
	listPollInterval = time.Second
	// minReportInterval is the shortest interval between polls of an endpoint's report. With many endpoints the interval is
	// reportIntervalPerEndpoint times their number.
	minReportInterval         = 250 * time.Millisecond
	reportIntervalPerEndpoint = 20 * time.Millisecond
	reportTimeout             = time.Second
	listTimeout               = 2 * time.Second
)

// Directory polls the VM list and the reports of the endpoints in one failure domain.
type Directory struct {
	domain string
	list   vmlist.List
	engine endpoint.Engine
	clock  clockwork.Clock
	logger *slog.Logger

	mu        sync.Mutex
	endpoints map[string]*trackedEndpoint
	entries   []vmlist.VM
	listRead  bool
	ready     bool
	view      atomic.Pointer[View]
}

// trackedEndpoint is an endpoint with the function that stops polling it.
type trackedEndpoint struct {
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
		endpoints: make(map[string]*trackedEndpoint),
	}
	d.view.Store(&View{})
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether the VM list was read and every endpoint on it was polled for a report.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ready || !d.listRead {
		return d.ready
	}
	for _, t := range d.endpoints {
		if !t.endpoint.polled.Load() {
			return false
		}
	}
	d.ready = true
	return true
}

// Run polls until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	var pollers sync.WaitGroup
	defer pollers.Wait()
	reachable := true
	for {
		reachable = d.pollList(ctx, &pollers, reachable)
		if !pause.For(ctx, d.clock, listPollInterval) {
			return nil
		}
	}
}

func (d *Directory) pollList(ctx context.Context, pollers *sync.WaitGroup, reachable bool) bool {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := d.list.VMs(listCtx)
	if err != nil {
		if reachable && ctx.Err() == nil {
			event.VMListUnreachable.Log(d.logger, event.Error(err))
		}
		return false
	}
	d.applyList(ctx, pollers, vms)
	return true
}

// applyList updates the tracked VMs from a VM list; an endpoint that is no longer listed gets no new calls.
func (d *Directory) applyList(ctx context.Context, pollers *sync.WaitGroup, vms []vmlist.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	d.entries = d.entries[:0:0]
	d.listRead = true
	for _, vm := range vms {
		if vm.Role == vmlist.EntryRole {
			d.entries = append(d.entries, vm)
			continue
		}
		if vm.FailureDomain != d.domain {
			continue
		}
		listed[vm.Name] = true
		d.trackEndpoint(ctx, pollers, vm)
	}
	for name, t := range d.endpoints {
		if !listed[name] {
			t.cancel()
			t.endpoint.leaving.Store(true)
			delete(d.endpoints, name)
		}
	}
	d.rebuildView()
}

func (d *Directory) trackEndpoint(ctx context.Context, pollers *sync.WaitGroup, vm vmlist.VM) {
	t, ok := d.endpoints[vm.Name]
	if ok && t.endpoint.VM.Address != vm.Address {
		t.cancel()
		t.endpoint.leaving.Store(true)
		ok = false
	}
	if !ok {
		pollCtx, cancel := context.WithCancel(ctx)
		t = &trackedEndpoint{
			endpoint: NewEndpoint(vm),
			cancel:   cancel,
		}
		d.endpoints[vm.Name] = t
		pollers.Go(func() { d.pollReports(pollCtx, t.endpoint) })
	}
	if vm.State == vmlist.Leaving {
		d.markLeaving(t.endpoint)
	}
}

func (d *Directory) markLeaving(e *Endpoint) {
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
	return max(minReportInterval, time.Duration(len(d.View().Endpoints()))*reportIntervalPerEndpoint)
}

// PollReport requests the report of an endpoint now; a plain service has none, but counts as reachable.
func (d *Directory) PollReport(ctx context.Context, e *Endpoint) {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	askedAt := d.clock.Now()
	report, err := d.engine.Report(reportCtx, e.VM.Address)
	defer e.polled.Store(true)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.handleReportError(e, err)
		return
	}
	if e.Load.Succeeded() {
		event.EndpointReachable.Log(d.logger, slog.String("Endpoint", e.VM.Name))
	}
	if report.Leaving {
		d.markLeaving(e)
	}
	e.Load.Report(report, askedAt, len(d.View().LiveEntries(d.domain)))
	previous, accepted := e.acceptReport(TimedReport{
		Report:      report,
		RequestedAt: askedAt,
	})
	if !accepted {
		return
	}
	if previous == nil || !sameModels(previous.Report, report) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rebuildView()
	}
}

func (d *Directory) handleReportError(e *Endpoint, err error) {
	var statusErr *endpoint.StatusError
	if errors.As(err, &statusErr) {
		// The endpoint answers, but has no report.
		e.Load.Succeeded()
		return
	}
	if e.Load.Failed(d.clock.Now()) {
		event.EndpointUnreachable.Log(d.logger, slog.String("Endpoint", e.VM.Name), event.Error(err))
	}
}

func (d *Directory) rebuildView() {
	endpoints := make([]*Endpoint, 0, len(d.endpoints))
	for _, t := range d.endpoints {
		endpoints = append(endpoints, t.endpoint)
	}
	d.view.Store(NewView(endpoints, d.entries))
}
