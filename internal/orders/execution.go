package orders

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// orderTimeout bounds one request that sends an order or reads a report; the farthest runner answers within about 70 ms.
	orderTimeout = 350 * time.Millisecond
	// orderAttempts is how many times an order is sent until it is answered. All attempts carry the same order count, so at
	// most one is accepted.
	orderAttempts = 6
	// reportLagDelay is the wait after which a report reflects everything before the wait; reports lag by a few hundred ms.
	reportLagDelay = 300 * time.Millisecond
	// retryDelay is the wait before an unanswered order is sent again.
	retryDelay = 20 * time.Millisecond
	// announceDelay is how long VMs have to learn that a model is about to be unloaded.
	announceDelay = 80 * time.Millisecond
	// pollInterval is the wait between two reports while an order is carried out.
	pollInterval = 150 * time.Millisecond
	// completionTimeout is how long an unload may take, which waits for the requests on the model to end, and by how much a
	// load may exceed its expected time.
	completionTimeout = 10 * time.Second
	// loadSlack is how much longer than a model's stated load time a load takes while the weight store keeps up.
	loadSlack = 30 * time.Millisecond
	// idlePollInterval is the wait between two checks whether an adapter is still in use, as often as the VMs report it;
	// idleTimeout is how long the requests on it may take to end.
	idlePollInterval = 200 * time.Millisecond
	idleTimeout      = 2 * time.Second
	// adapterLoadTime is how long an adapter takes to load, at most, while the weight store keeps up.
	adapterLoadTime = 12 * time.Millisecond
)

// stepExecution carries out one step on one runner.
type stepExecution struct {
	controller *Controller
	state      *runnerState
	runner     *roster.Runner
	step       layout.Step
	service    catalog.Service
	// models, orderCount and synced are this step's own copy of the runner's state.
	models     map[string][]string
	orderCount uint64
	synced     bool
	// modelsUpdated is set once models was changed or read from a report.
	modelsUpdated bool
	// loadAttempted is set once the load of the step may have started.
	loadAttempted bool
	// loadedAdapters lists the adapters that the step loaded.
	loadedAdapters []layout.Adapter
	// abandon ends the step.
	abandon context.CancelFunc
}

func (e *stepExecution) run(ctx context.Context) {
	ctx, e.abandon = context.WithCancel(ctx)
	defer e.abandon()
	if !e.synced && !e.syncState(ctx) {
		return
	}
	for _, model := range e.step.Unload {
		if !e.unloadModel(ctx, model) {
			return
		}
	}
	if e.step.Load != "" && !e.loadModel(ctx) {
		return
	}
	for _, a := range e.step.Adapters {
		if !e.applyAdapter(ctx, a) {
			return
		}
	}
}

// syncState reads the runner's order count and models. The models in a report may be older than its order count, so two
// reports must have the same count, far enough apart for the second to reflect every order that the first one counted.
func (e *stepExecution) syncState(ctx context.Context) bool {
	previous, err := e.fetchReport(ctx)
	for range orderAttempts {
		if !pause.For(ctx, e.controller.Clock, reportLagDelay) {
			return false
		}
		report, reportErr := e.fetchReport(ctx)
		if err == nil && reportErr == nil && !report.Busy && report.Orders == previous.Orders {
			e.applyReport(report)
			return true
		}
		previous, err = report, reportErr
	}
	return false
}

// applyReport replaces the known state with a report's; adapters being loaded already occupy their slots.
func (e *stepExecution) applyReport(report Report) {
	e.orderCount = report.Orders
	e.synced = true
	e.models = adaptersByModel(report.Models)
	e.modelsUpdated = true
	for _, a := range report.AdaptersLoading {
		if adapters, held := e.models[a.Model]; held && !slices.Contains(adapters, a.Name) {
			e.setAdapters(a.Model, append(slices.Clone(adapters), a.Name))
		}
	}
}

// fetchReport reads a report. The step ends if the runner has restarted under its ID: order counts start anew then, so orders that
// rely on what the earlier incarnation held could be accepted. It fails with RestartedError in this case.
func (e *stepExecution) fetchReport(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := e.controller.Client.Report(ctx, e.runner)
	if err == nil && report.Incarnation != 0 && report.Incarnation != e.runner.Incarnation {
		e.synced = false
		e.abandon()
		return Report{}, &RestartedError{Runner: e.runner.ID}
	}
	if report.Leaving {
		e.recordLeaving()
	}
	return report, err
}

// RestartedError reports that a runner has restarted under its ID since its registration was read.
type RestartedError struct {
	Runner string
}

// Error implements error.
func (e *RestartedError) Error() string { return "runner " + e.Runner + " has restarted under its ID" }

func (e *stepExecution) unloadModel(ctx context.Context, model string) bool {
	if _, held := e.models[model]; !held {
		return true
	}
	e.announce(model, "", false)
	if !pause.For(ctx, e.controller.Clock, announceDelay) || !e.sendOrder(ctx, Order{Unload: true, Model: model}) {
		e.announce(model, "", true)
		return false
	}
	done := e.awaitReport(ctx, completionTimeout, func(models map[string][]string) bool {
		_, held := models[model]
		return !held
	})
	if done {
		e.setModel(model, false)
	}
	return done
}

func (e *stepExecution) loadModel(ctx context.Context) bool {
	model, ok := e.service.Engine.Model(e.step.Load)
	if _, held := e.models[e.step.Load]; held || !ok || !e.fitsMemory(model) {
		return held
	}
	e.loadAttempted = true
	if !e.sendOrder(ctx, Order{Model: model.Name}) {
		return false
	}
	// The report that confirms the load lags, so announce the model once it should be loaded; a request that arrives too
	// early is declined and sent to another runner.
	if pause.For(ctx, e.controller.Clock, e.expectedLoadTime(model)+loadSlack) {
		e.announce(model.Name, "", true)
	}
	done := e.awaitReport(ctx, completionTimeout, func(models map[string][]string) bool {
		_, held := models[model.Name]
		return held
	})
	if !done {
		e.announce(model.Name, "", false)
		return false
	}
	e.setModel(model.Name, true)
	return true
}

// fitsMemory checks again, against the runner's last known state, that a model fits into its memory.
func (e *stepExecution) fitsMemory(model catalog.Model) bool {
	used := model.WeightsMB
	for name, adapters := range e.models {
		m, ok := e.service.Engine.Model(name)
		if !ok {
			return false
		}
		used += m.WeightsMB + m.AdapterMB*float64(len(adapters))
	}
	return used <= e.service.Engine.WeightsMB
}

func (e *stepExecution) expectedLoadTime(model catalog.Model) time.Duration {
	switch {
	case slices.Contains(e.runner.InMemory, model.Name) && model.HostLoadTime > 0:
		return model.HostLoadTime
	case slices.Contains(e.runner.OnDisk, model.Name) && model.DiskLoadTime > 0:
		return model.DiskLoadTime
	default:
		return model.LoadTime
	}
}

// awaitReport polls reports until the runner is idle and its models satisfy a condition.
func (e *stepExecution) awaitReport(ctx context.Context, timeout time.Duration, condition func(map[string][]string) bool) bool {
	deadline := e.controller.Clock.Now().Add(timeout)
	for e.controller.Clock.Now().Before(deadline) {
		report, err := e.fetchReport(ctx)
		if err == nil && !report.Busy && report.Orders >= e.orderCount {
			if condition(adaptersByModel(report.Models)) {
				return true
			}
			if report.Orders > e.orderCount {
				// The runner has accepted an order from another lease holder.
				e.synced = false
				return false
			}
		}
		if !pause.For(ctx, e.controller.Clock, pollInterval) {
			return false
		}
	}
	e.synced = false
	return false
}

// setModel records a model change that a report has confirmed. Adapter changes are recorded when ordered, as reports lag.
func (e *stepExecution) setModel(model string, held bool) {
	e.models = maps.Clone(e.models)
	if held {
		e.models[model] = nil
	} else {
		delete(e.models, model)
	}
	e.modelsUpdated = true
}

func (e *stepExecution) announce(model, adapter string, held bool) {
	event.OrderDone.Log(e.controller.Logger, slog.String("Runner", e.runner.ID), slog.String("Model", model),
		slog.String("Adapter", adapter), slog.Bool("Held", held))
	e.controller.Announce([]Holding{{
		Runner:  e.runner.ID,
		Model:   model,
		Adapter: adapter,
		Held:    held,
	}})
}
