package orders

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// planInterval is the wait between two plans when no earlier one is requested.
	planInterval = 200 * time.Millisecond
	// coalesceDelay is the wait before an early plan, so that it includes other requests for missing models.
	coalesceDelay = 3 * time.Millisecond
	// takeoverGrace is how long after a takeover only models without a replica are loaded, until demand is known.
	takeoverGrace = 1500 * time.Millisecond
	// missingMinRate is the number of requests per second above which an adapter counts as requested just now; one request
	// keeps the rate above it for two seconds.
	missingMinRate = 0.12
	// minTotalRate is the number of requests per second over all VMs below which a model's rate is not shared.
	minTotalRate = 2
	// failedStepBackoff is how long a runner gets no steps after one that neither changed nor read its models.
	failedStepBackoff = 500 * time.Millisecond
	// loadBurst is how many loads from the weight store may start at once beyond its rate.
	loadBurst = 2
)

// Lease determines whether this VM may send orders.
type Lease interface {
	// Fence returns the fencing token, and false when no order may be sent.
	Fence() (uint64, bool)
	// FenceRejected notes that a runner has seen a higher fencing token than fence.
	FenceRejected(fence uint64)
}

// Dependencies holds what a controller uses.
type Dependencies struct {
	// Holder is the name of this VM in its orders.
	Holder  string
	Lease   Lease
	Catalog func() *catalog.Catalog
	Roster  func() *roster.View
	// RosterComplete reports whether the roster is complete; until then no model counts as missing.
	RosterComplete func() bool
	Client         Client
	Departures     Departures
	// VMs returns the number of entry VMs.
	VMs func() int
	// InUse returns the models and adapters that requests run on now.
	InUse func() map[roster.ModelUse]bool
	// Announce tells every VM which models and adapters a runner has or no longer has.
	Announce func([]Holding)
	Metrics  *Metrics
	Clock    clockwork.Clock
	Logger   *slog.Logger
}

// Holding states whether a runner has a model or, if one is named, an adapter.
type Holding struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Model   string
	Adapter string
	Held    bool
}

// Controller plans steps and sends orders while this VM holds the lease; it is safe for concurrent use.
type Controller struct {
	Dependencies
	// missingMeter counts requests for models and adapters that no runner has, which the reported rates do not yet include.
	missingMeter  *Meter
	demandReports *demandReports
	planRequests  chan struct{}
	runningSteps  sync.WaitGroup

	mu sync.Mutex
	// runners holds the state of each runner by ID.
	runners map[string]*runnerState
	// leaseFence is the fencing token under which the order counts in runners are valid, leaseSince when its lease began.
	leaseFence uint64
	leaseSince time.Time
	// loadTokens is how many loads from the weight store the rate allows to start now, by service.
	loadTokens       map[string]float64
	tokensRefilledAt time.Time
	// activeStoreLoads counts the loads from the weight store in progress, by service.
	activeStoreLoads map[string]int
}

// New returns a controller; Run starts it.
func New(d Dependencies) *Controller {
	return &Controller{
		Dependencies:     d,
		missingMeter:     NewMeter(d.Clock.Now()),
		demandReports:    newDemandReports(),
		planRequests:     make(chan struct{}, 1),
		runners:          make(map[string]*runnerState),
		loadTokens:       make(map[string]float64),
		tokensRefilledAt: d.Clock.Now(),
		activeStoreLoads: make(map[string]int),
	}
}

// RecordDemand records the rates reported by a VM.
func (c *Controller) RecordDemand(vm string, rates []Rate) {
	c.demandReports.store(vm, rates, c.Clock.Now())
}

// RequestTotals returns the requests per second to each model over all VMs, without models that are requested rarely.
func (c *Controller) RequestTotals() []RequestRate {
	return c.demandReports.requestTotals(c.Clock.Now(), minTotalRate)
}

// RecordMissing records a request for a model or adapter that no runner has, and requests an early plan.
func (c *Controller) RecordMissing(service, model, adapter string) {
	c.missingMeter.RecordRequest(service, model, adapter, c.Clock.Now())
	c.requestPlan()
}

func (c *Controller) requestPlan() {
	select {
	case c.planRequests <- struct{}{}:
	default:
	}
}

// Run plans until the context ends, then waits for the steps in progress.
func (c *Controller) Run(ctx context.Context) error {
	defer c.runningSteps.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(planInterval):
		case <-c.planRequests:
			// Wait briefly for further requests for missing models.
			pause.For(ctx, c.Clock, coalesceDelay)
		}
		if fence, ok := c.Lease.Fence(); ok {
			c.plan(ctx, fence)
		}
	}
}

func (c *Controller) plan(ctx context.Context, fence uint64) {
	current := c.Catalog()
	if current == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if fence != c.leaseFence {
		c.resetForNewLease(fence, now)
	}
	view := c.Roster()
	c.removeUnregistered(view)
	inUse := usesByRunner(c.InUse())
	elapsed := now.Sub(c.tokensRefilledAt).Seconds()
	c.tokensRefilledAt = now
	for name, service := range current.Services() {
		if service.Engine == nil {
			continue
		}
		c.refillLoadTokens(name, service.Engine, elapsed)
		c.planService(ctx, service, view, inUse, now)
	}
}

// resetForNewLease invalidates what was known under earlier leases; load tokens start at zero.
func (c *Controller) resetForNewLease(fence uint64, now time.Time) {
	c.leaseFence = fence
	c.leaseSince = now
	c.loadTokens = make(map[string]float64)
	for _, state := range c.runners {
		state.synced = false
	}
}

func (c *Controller) removeUnregistered(view *roster.View) {
	for id, state := range c.runners {
		if _, ok := view.Runner(id); !ok && !state.busy {
			delete(c.runners, id)
		}
	}
}

func (c *Controller) planService(ctx context.Context, service catalog.Service, view *roster.View, inUse map[string]map[layout.Adapter]bool, now time.Time) {
	var runners []*layout.Runner
	byID := make(map[string]*layout.Runner)
	for _, r := range view.Service(service.Name) {
		state, ok := c.runners[r.ID]
		if !ok {
			state = &runnerState{}
			c.runners[r.ID] = state
		}
		state.updateRegistration(r)
		runner := state.layoutRunner(now, inUse[r.ID])
		runner.Busy = runner.Busy || now.Before(state.backoffUntil)
		runner.Draining = runner.Draining || c.Departures.Leaving(r)
		runners = append(runners, runner)
		byID[r.ID] = runner
	}
	demand := c.serviceDemand(service.Name, now)
	if !c.RosterComplete() {
		return
	}
	for _, step := range layout.PlanModels(service.Engine, runners, demand, c.availableStoreLoads(service.Name, service.Engine)) {
		byID[step.Runner].Busy = true
		c.startStep(ctx, service, step, demand)
	}
	for _, step := range layout.PlanAdapters(service.Engine, runners, demand) {
		c.startStep(ctx, service, step, demand)
	}
}

// serviceDemand sums the demand reported by the VMs. Shortly after a takeover, work counts only once most VMs have reported.
func (c *Controller) serviceDemand(service string, now time.Time) layout.Demand {
	demand, reportCount := c.demandReports.demand(service, now)
	demand.Missing = make(map[layout.Adapter]bool)
	for _, rate := range c.missingMeter.Rates(now) {
		if rate.Service != service {
			continue
		}
		addRate(demand, rate)
		if rate.Adapter != "" && rate.Requests > missingMinRate {
			demand.Missing[layout.Adapter{Model: rate.Model, Name: rate.Adapter}] = true
		}
	}
	if now.Sub(c.leaseSince) < takeoverGrace && reportCount <= c.VMs()/2 {
		demand.Work = nil
	}
	return demand
}

// startStep carries out a step in its own goroutine; the caller holds the lock.
func (c *Controller) startStep(ctx context.Context, service catalog.Service, step layout.Step, demand layout.Demand) {
	state := c.runners[step.Runner]
	state.busy = true
	state.step = step
	if step.FromStore {
		c.loadTokens[service.Name]--
		c.activeStoreLoads[service.Name]++
	}
	if step.Load != "" {
		event.LayoutChosen.Log(c.Logger, slog.String("Runner", step.Runner), slog.String("Load", step.Load),
			slog.Any("Unload", step.Unload), slog.Bool("FromStore", step.FromStore), slog.Float64("Work", step.Work),
			slog.Int("Replicas", step.Replicas), slog.Float64("Cost", step.Cost), slog.Any("Demand", demand.Work))
	}
	execution := &stepExecution{
		controller: c,
		state:      state,
		runner:     state.registration,
		step:       step,
		service:    service,
		models:     state.models,
		orderCount: state.orderCount,
		synced:     state.synced,
	}
	c.runningSteps.Go(func() {
		execution.run(ctx)
		c.finishStep(execution)
	})
}

// finishStep records the outcome of a step.
func (c *Controller) finishStep(execution *stepExecution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if execution.step.FromStore {
		c.activeStoreLoads[execution.service.Name]--
		if !execution.loadAttempted {
			c.loadTokens[execution.service.Name]++
		}
	}
	c.requestPlan()
	state := execution.state
	state.busy = false
	state.step = layout.Step{}
	if state.registration.Incarnation != execution.runner.Incarnation {
		// The runner restarted meanwhile, so the step's state is that of its previous incarnation.
		return
	}
	if !execution.modelsUpdated {
		state.backoffUntil = c.Clock.Now().Add(failedStepBackoff)
	}
	state.orderCount, state.synced = execution.orderCount, execution.synced
	if execution.modelsUpdated {
		state.models = execution.models
	}
	state.recordLoaded(execution.loadedAdapters, c.Clock.Now())
}
