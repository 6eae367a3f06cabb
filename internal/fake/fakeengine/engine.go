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

// Store hands over weights; the engine waits for it before it loads.
type Store interface {
	Fetch(ctx context.Context) error
}

// Engine is the stand-in.
type Engine struct {
	options Options
	clock   clockwork.Clock
	store   Store
	slots   chan struct{}
	adapter func(string) string

	waiting        atomic.Int64
	waitingPrefill atomic.Int64
	cancelled      atomic.Int64
	answered       atomic.Int64

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	memory      *memory
	incarnation string
	sequence    uint64
	fence       uint64
	leaving     bool
	frozen      endpoint.Report
	frozenAt    time.Time
}

// New returns an engine whose faults follow the seed; adapter maps the name in a call to the model that serves it.
func New(options Options, store Store, adapter func(string) string, clock clockwork.Clock, seed uint64) *Engine {
	return &Engine{
		options:     options,
		clock:       clock,
		store:       store,
		slots:       make(chan struct{}, options.Slots),
		adapter:     adapter,
		random:      rand.New(rand.NewPCG(seed, seed)),
		memory:      newMemory(options.Accelerators, options.AcceleratorBytes),
		incarnation: uuid.NewString(),
	}
}

// SetFaults changes how the engine misbehaves from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving makes the engine say that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Preload puts a model on an accelerator at once.
func (e *Engine) Preload(accelerator int, model string, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	order := endpoint.Order{
		Model:       model,
		Accelerator: accelerator,
		Bytes:       bytes,
	}
	e.memory.load(order)
	e.memory.ready(order)
	e.memory.moves--
}

// Restart empties the accelerators and begins a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	breaches, moves := e.memory.breaches, e.memory.moves
	e.memory = newMemory(e.options.Accelerators, e.options.AcceleratorBytes)
	e.memory.breaches = breaches
	e.memory.moves = moves
	e.incarnation = uuid.NewString()
	if !e.options.PersistsFence {
		e.fence = 0
	}
}

// Breaches returns how often a load put more on an accelerator than it holds.
func (e *Engine) Breaches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.breaches
}

// Moves returns how many loads the engine began.
func (e *Engine) Moves() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.moves
}

// Cancelled returns how many answers callers broke off.
func (e *Engine) Cancelled() int64 { return e.cancelled.Load() }

// Answered returns how many answers were whole.
func (e *Engine) Answered() int64 { return e.answered.Load() }

// Report returns the engine's account of itself, as old as the faults say.
func (e *Engine) Report() endpoint.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.faults.ReportAge > 0 && now.Sub(e.frozenAt) < e.faults.ReportAge {
		return e.frozen
	}
	e.sequence++
	e.frozen = endpoint.Report{
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
	e.frozenAt = now
	return e.frozen
}

// order carries out an order unless a fault drops it; answered is false if the answer is to be dropped.
func (e *Engine) order(order endpoint.Order) (answer endpoint.OrderAnswer, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() < e.faults.LostOrder {
		return endpoint.OrderAnswer{}, false
	}
	if e.random.Float64() < e.faults.LateOrder {
		e.clock.AfterFunc(e.faults.LateBy, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.run(order)
		})
		return endpoint.OrderAnswer{}, false
	}
	answer = e.run(order)
	return answer, e.random.Float64() >= e.faults.LostAnswer
}

func (e *Engine) run(order endpoint.Order) endpoint.OrderAnswer {
	e.sequence++
	answer := endpoint.OrderAnswer{
		Result:      endpoint.Refused,
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Fence:       e.fence,
	}
	if e.options.EnforcesFencing {
		if order.Fence < e.fence {
			return answer
		}
		e.fence = order.Fence
		answer.Fence = e.fence
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
	case endpoint.Raise:
		done = true
	}
	answer.Result = endpoint.Failed
	if done {
		answer.Result = endpoint.Done
	}
	return answer
}

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
		e.memory.ready(order)
	}
}
