package fakeengine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// Store provides model weights; the engine fetches them before it loads a model.
type Store interface {
	Fetch(ctx context.Context) error
}

// Engine is a fake model engine.
type Engine struct {
	options   Options
	clock     clockwork.Clock
	store     Store
	slots     chan struct{}
	baseModel func(string) string

	waiting        atomic.Int64
	waitingPrefill atomic.Int64
	cancelled      atomic.Int64
	answered       atomic.Int64

	mu           sync.Mutex
	random       *rand.Rand
	faults       Faults
	memory       *memory
	incarnation  string
	sequence     uint64
	fence        uint64
	leaving      bool
	cachedReport endpoint.Report
	cachedAt     time.Time
}

// New returns an engine whose random faults are determined by seed; baseModel maps the name in a call to the model that
// serves it.
func New(options Options, store Store, baseModel func(string) string, clock clockwork.Clock, seed uint64) *Engine {
	return &Engine{
		options:     options,
		clock:       clock,
		store:       store,
		slots:       make(chan struct{}, options.Slots),
		baseModel:   baseModel,
		random:      rand.New(rand.NewPCG(seed, seed)),
		memory:      newMemory(options.Accelerators, options.AcceleratorBytes),
		incarnation: uuid.NewString(),
	}
}

// SetFaults replaces the faults that the engine injects.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets whether the engine reports itself as leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Preload makes a model ready on an accelerator immediately, without counting a load.
func (e *Engine) Preload(accelerator int, model string, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	order := endpoint.Order{
		Model:       model,
		Accelerator: accelerator,
		Bytes:       bytes,
	}
	e.memory.load(order)
	e.memory.markReady(order)
	e.memory.loads--
}

// Restart empties the accelerators and starts a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	breaches, loads := e.memory.breaches, e.memory.loads
	e.memory = newMemory(e.options.Accelerators, e.options.AcceleratorBytes)
	e.memory.breaches = breaches
	e.memory.loads = loads
	e.incarnation = uuid.NewString()
	if !e.options.PersistsFence {
		e.fence = 0
	}
}

// Breaches returns how many loads exceeded the capacity of their accelerator.
func (e *Engine) Breaches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.breaches
}

// LoadsStarted returns how many loads the engine has started.
func (e *Engine) LoadsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.loads
}

// Cancelled returns how many answers ended early because the caller disconnected.
func (e *Engine) Cancelled() int64 { return e.cancelled.Load() }

// Answered returns how many answers were completed.
func (e *Engine) Answered() int64 { return e.answered.Load() }

// Report returns the engine's report, which may be up to Faults.ReportAge old.
func (e *Engine) Report() endpoint.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.faults.ReportAge > 0 && now.Sub(e.cachedAt) < e.faults.ReportAge {
		return e.cachedReport
	}
	e.sequence++
	e.cachedReport = endpoint.Report{
		Incarnation:      e.incarnation,
		Sequence:         e.sequence,
		Fence:            e.fence,
		Leaving:          e.leaving,
		Accelerators:     e.memory.report(),
		Slots:            e.options.Slots,
		Running:          len(e.slots),
		Waiting:          int(e.waiting.Load()),
		WaitingPrefill:   int(e.waitingPrefill.Load()),
		PrefillPerSecond: e.options.PrefillPerSecond,
		TokenInterval:    e.options.TokenInterval,
	}
	e.cachedAt = now
	return e.cachedReport
}

// handleOrder executes an order unless a fault drops or delays it; respond is false if the answer must be dropped.
func (e *Engine) handleOrder(order endpoint.Order) (response endpoint.OrderResponse, respond bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() < e.faults.LostOrder {
		return endpoint.OrderResponse{}, false
	}
	if e.random.Float64() < e.faults.LateOrder {
		e.clock.AfterFunc(e.faults.LateBy, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(order)
		})
		return endpoint.OrderResponse{}, false
	}
	response = e.execute(order)
	return response, e.random.Float64() >= e.faults.LostAnswer
}

// execute executes an order; a load finishes in the background. The caller holds e.mu.
func (e *Engine) execute(order endpoint.Order) endpoint.OrderResponse {
	e.sequence++
	response := endpoint.OrderResponse{
		Result:      endpoint.Refused,
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Fence:       e.fence,
	}
	if e.options.EnforcesFencing {
		if order.Fence < e.fence {
			return response
		}
		e.fence = order.Fence
		response.Fence = e.fence
	}
	done := false
	switch order.Action {
	case endpoint.Load:
		done = e.memory.load(order)
		if done {
			go e.finishLoad(order, e.incarnation)
		}
	case endpoint.Unload:
		done = e.memory.unload(order)
	case endpoint.RaiseFence:
		done = true
	}
	response.Result = endpoint.Failed
	if done {
		response.Result = endpoint.Done
	}
	return response
}

// finishLoad fetches the weights and makes the model ready, or removes it if the fetch fails; it does nothing if the engine
// has restarted in the meantime.
func (e *Engine) finishLoad(order endpoint.Order, incarnation string) {
	if err := e.store.Fetch(context.Background()); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation {
			e.memory.unload(order)
		}
		return
	}
	<-e.clock.After(e.options.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == incarnation {
		e.memory.markReady(order)
	}
}
