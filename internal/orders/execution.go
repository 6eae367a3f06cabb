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
	// orderTimeout bounds one order or report; the farthest runner answers within about 70 ms.
	orderTimeout = 350 * time.Millisecond
	// orderTries is how often one order is sent until it is answered; all bear the same count, so one is accepted at most.
	orderTries = 6
	// lagPause is the pause after which a report shows what was so before; reports lag by some hundred milliseconds.
	lagPause = 300 * time.Millisecond
	// retryPause is the pause before an order that was not answered is sent again.
	retryPause = 20 * time.Millisecond
	// noticeTime is how long VMs have to learn that a model is about to leave a runner.
	noticeTime = 80 * time.Millisecond
	// pollPause is the pause between two reports while an order is carried out.
	pollPause = 150 * time.Millisecond
	// patience is how long an unload may take, which waits for its runs to end, and by how much a load may exceed its time.
	patience = 10 * time.Second
	// loadSlack is what a load takes beyond its stated time while the weight store keeps up.
	loadSlack = 30 * time.Millisecond
	// idlePause is the pause between two looks whether an adapter is still in use, as often as the VMs tell; idlePatience is for
	// how long its requests may take to end.
	idlePause    = 200 * time.Millisecond
	idlePatience = 2 * time.Second
	// adapterTime is how long an adapter is on its way, at most, while the weight store keeps up.
	adapterTime = 12 * time.Millisecond
)

// execution carries one step out at one runner.
type execution struct {
	steward *Steward
	book    *book
	runner  *roster.Runner
	step    layout.Step
	service catalog.Service
	// models, orders and known are this step's own account of the runner.
	models  map[string][]string
	orders  uint64
	known   bool
	changed bool
	// loading is set once the load of the step may have begun.
	loading bool
	// brought is the adapters that the step loaded.
	brought []layout.Adapter
}

func (e *execution) run(ctx context.Context) {
	if !e.known && !e.sync(ctx) {
		return
	}
	for _, model := range e.step.Unload {
		if !e.unload(ctx, model) {
			return
		}
	}
	if e.step.Load != "" && !e.load(ctx) {
		return
	}
	for _, a := range e.step.Adapters {
		if !e.adapter(ctx, a) {
			return
		}
	}
}

// sync reads the runner's count of orders and its models. What a report shows of models may be older than its count, so two
// reports must agree on the count, far enough apart for the second one to show all that the first one counted.
func (e *execution) sync(ctx context.Context) bool {
	before, err := e.report(ctx)
	for range orderTries {
		if !pause.For(ctx, e.steward.Clock, lagPause) {
			return false
		}
		state, reportErr := e.report(ctx)
		if err == nil && reportErr == nil && !state.Busy && state.Orders == before.Orders {
			e.take(state)
			return true
		}
		before, err = state, reportErr
	}
	return false
}

// take believes a report; adapters on their way have their places already.
func (e *execution) take(state State) {
	e.orders = state.Orders
	e.known = true
	e.models = byModel(state.Models)
	e.changed = true
	for _, a := range state.Coming {
		if adapters, held := e.models[a.Model]; held && !slices.Contains(adapters, a.Name) {
			e.setAdapters(a.Model, append(slices.Clone(adapters), a.Name))
		}
	}
}

func (e *execution) report(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.steward.Client.Report(ctx, e.runner)
}

func (e *execution) unload(ctx context.Context, model string) bool {
	if _, held := e.models[model]; !held {
		return true
	}
	e.announce(model, "", false)
	if !pause.For(ctx, e.steward.Clock, noticeTime) || !e.send(ctx, Order{Unload: true, Model: model}) {
		e.announce(model, "", true)
		return false
	}
	done := e.await(ctx, patience, func(models map[string][]string) bool {
		_, held := models[model]
		return !held
	})
	if done {
		e.setModel(model, false)
	}
	return done
}

func (e *execution) load(ctx context.Context) bool {
	model, ok := e.service.Engine.Model(e.step.Load)
	if _, held := e.models[e.step.Load]; held || !ok || !e.fits(model) {
		return held
	}
	e.loading = true
	if !e.send(ctx, Order{Model: model.Name}) {
		return false
	}
	// The report that confirms the load lags; a request that comes too early is declined and goes elsewhere.
	if pause.For(ctx, e.steward.Clock, e.loadTime(model)+loadSlack) {
		e.announce(model.Name, "", true)
	}
	done := e.await(ctx, patience, func(models map[string][]string) bool {
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

// fits checks the room once more against what the runner last said.
func (e *execution) fits(model catalog.Model) bool {
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

func (e *execution) loadTime(model catalog.Model) time.Duration {
	switch {
	case slices.Contains(e.runner.InMemory, model.Name) && model.HostLoadTime > 0:
		return model.HostLoadTime
	case slices.Contains(e.runner.OnDisk, model.Name) && model.DiskLoadTime > 0:
		return model.DiskLoadTime
	default:
		return model.LoadTime
	}
}

// await polls reports until the runner is done and what was ordered holds.
func (e *execution) await(ctx context.Context, most time.Duration, holds func(map[string][]string) bool) bool {
	until := e.steward.Clock.Now().Add(most)
	for e.steward.Clock.Now().Before(until) {
		state, err := e.report(ctx)
		if err == nil && !state.Busy && state.Orders >= e.orders {
			if holds(byModel(state.Models)) {
				return true
			}
			if state.Orders > e.orders {
				// Another holder's order came between.
				e.known = false
				return false
			}
		}
		if !pause.For(ctx, e.steward.Clock, pollPause) {
			return false
		}
	}
	e.known = false
	return false
}

func (e *execution) adapter(ctx context.Context, a layout.Adapter) bool {
	adapters, held := e.models[a.Model]
	if !held {
		return true
	}
	has := slices.Contains(adapters, a.Name)
	if a.Drop {
		if !has {
			return true
		}
		e.announce(a.Model, a.Name, false)
		e.awaitIdle(ctx, a)
		if !e.send(ctx, Order{Unload: true, Model: a.Model, Adapter: a.Name}) {
			e.announce(a.Model, a.Name, true)
			return false
		}
		e.setAdapters(a.Model, slices.DeleteFunc(slices.Clone(adapters), func(name string) bool { return name == a.Name }))
		return true
	}
	if has || e.adapterCount() >= e.service.Engine.AdapterPlaces {
		return true
	}
	if !e.send(ctx, Order{Model: a.Model, Adapter: a.Name}) {
		return false
	}
	e.setAdapters(a.Model, append(slices.Clone(adapters), a.Name))
	e.brought = append(e.brought, a)
	pause.For(ctx, e.steward.Clock, adapterTime)
	e.announce(a.Model, a.Name, true)
	return true
}

// awaitIdle waits for the requests on an adapter to end, which come no more after the notice: a runner that unloads what is in
// use takes no other order meanwhile.
func (e *execution) awaitIdle(ctx context.Context, a layout.Adapter) {
	use := roster.Use{
		Runner:  e.runner.ID,
		Model:   a.Model,
		Adapter: a.Name,
	}
	for waited := time.Duration(0); waited < idlePatience && e.steward.Uses()[use]; waited += idlePause {
		if !pause.For(ctx, e.steward.Clock, idlePause) {
			return
		}
	}
}

func (e *execution) setAdapters(model string, adapters []string) {
	e.models = maps.Clone(e.models)
	e.models[model] = adapters
	e.changed = true
}

// setModel accounts for an order that a report has confirmed. Adapters are counted by what was ordered, as reports lag.
func (e *execution) setModel(model string, held bool) {
	e.models = maps.Clone(e.models)
	if held {
		e.models[model] = nil
	} else {
		delete(e.models, model)
	}
	e.changed = true
}

func (e *execution) adapterCount() int {
	n := 0
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

func (e *execution) announce(model, adapter string, held bool) {
	event.OrderDone.Log(e.steward.Logger, slog.String("Runner", e.runner.ID), slog.String("Model", model),
		slog.String("Adapter", adapter), slog.Bool("Held", held))
	e.steward.Announce([]Holding{{
		Runner:  e.runner.ID,
		Model:   model,
		Adapter: adapter,
		Held:    held,
	}})
}
