package orders

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

func (e *stepExecution) applyAdapter(ctx context.Context, a layout.Adapter) bool {
	adapters, held := e.models[a.Model]
	if !held {
		return true
	}
	loaded := slices.Contains(adapters, a.Name)
	if a.Unload {
		if !loaded {
			return true
		}
		e.announce(a.Model, a.Name, false)
		e.awaitIdle(ctx, a)
		if !e.sendOrder(ctx, Order{Unload: true, Model: a.Model, Adapter: a.Name}) {
			e.announce(a.Model, a.Name, true)
			return false
		}
		e.recordAdapter(a, false)
		return true
	}
	if loaded || e.adapterCount() >= e.service.Engine.AdapterSlots {
		return true
	}
	if !e.sendOrder(ctx, Order{Model: a.Model, Adapter: a.Name}) {
		return false
	}
	e.recordAdapter(a, true)
	e.loadedAdapters = append(e.loadedAdapters, a)
	pause.For(ctx, e.controller.Clock, adapterLoadTime)
	e.announce(a.Model, a.Name, true)
	return true
}

// awaitIdle waits for the requests on an adapter to end, after the announcement has stopped new ones. A runner that unloads
// an adapter in use takes no other order meanwhile.
func (e *stepExecution) awaitIdle(ctx context.Context, a layout.Adapter) {
	use := roster.ModelUse{
		Runner:  e.runner.ID,
		Model:   a.Model,
		Adapter: a.Name,
	}
	for waited := time.Duration(0); waited < idleTimeout && e.controller.InUse()[use]; waited += idlePollInterval {
		if !pause.For(ctx, e.controller.Clock, idlePollInterval) {
			return
		}
	}
}

// recordAdapter records an adapter change in the newest state: a conflict may have replaced it while the order was sent.
func (e *stepExecution) recordAdapter(a layout.Adapter, held bool) {
	adapters, hasModel := e.models[a.Model]
	if !hasModel {
		return
	}
	adapters = slices.DeleteFunc(slices.Clone(adapters), func(name string) bool { return name == a.Name })
	if held {
		adapters = append(adapters, a.Name)
	}
	e.setAdapters(a.Model, adapters)
}

func (e *stepExecution) setAdapters(model string, adapters []string) {
	e.models = maps.Clone(e.models)
	e.models[model] = adapters
	e.modelsUpdated = true
}

func (e *stepExecution) adapterCount() int {
	n := 0
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}
