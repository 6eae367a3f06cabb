package experiment

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// engine models the queue of one runner: it prefills one prompt at a time, and decodes up to Slots responses concurrently.
type engine struct {
	name     string
	domain   int
	spec     deployment.EngineSpec
	queue    callQueue
	arrivals int
	running  int
	// prefilling is the call whose prompt is being prefilled, or nil.
	prefilling     *call
	prefillEnds    time.Duration
	pendingPrefill int
	down           bool
	sequence       uint64
	accelerators   []accelerator
	// decoding holds the calls that have had their first token.
	decoding map[*call]bool
}

// accelerator is the memory of one accelerator and the models loaded into it.
type accelerator struct {
	capacityBytes int64
	models        map[string]loadedModel
}

type loadedModel struct {
	bytes     int64
	readyAt   time.Duration
	unloading bool
}

func (e *engine) serves(model string, now time.Duration) bool {
	if e.down {
		return false
	}
	for _, a := range e.accelerators {
		if m, ok := a.models[model]; ok && m.readyAt <= now {
			return true
		}
	}
	return false
}

// report returns the engine's next load report.
func (e *engine) report() endpoint.Report {
	e.sequence++
	return endpoint.Report{
		Incarnation:      "1",
		Sequence:         e.sequence,
		Slots:            e.spec.Slots,
		Running:          e.running,
		Waiting:          len(e.queue.calls),
		WaitingPrefill:   e.pendingPrefill,
		PrefillPerSecond: e.spec.PrefillPerSecond,
		TokenInterval:    e.spec.TokenInterval,
	}
}

func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.spec.PrefillPerSecond * float64(time.Second))
}

// firstTokenDelay returns the time until a call that arrived now would have its first token, computed from the exact state
// of the queue and assuming that no later call overtakes it.
func (e *engine) firstTokenDelay(now time.Duration, promptTokens int) time.Duration {
	delay := e.prefillTime(e.pendingPrefill + promptTokens)
	if e.prefilling != nil {
		delay -= e.prefillTime(e.prefilling.promptTokens) - (e.prefillEnds - now)
	}
	excess := e.running + len(e.queue.calls) + 1 - e.spec.Slots
	if excess > 0 {
		delay += time.Duration(float64(excess) / float64(e.spec.Slots) * float64(meanResponseTokens) * float64(e.spec.TokenInterval))
	}
	return max(delay, 0)
}

// enqueue adds a call to the queue and starts its prefill if the engine is free.
func (e *engine) enqueue(sim *simulation, c *call) {
	e.arrivals++
	c.arrivalOrder = e.arrivals
	e.pendingPrefill += c.promptTokens
	heap.Push(&e.queue, c)
	e.startPrefill(sim)
}

func (e *engine) startPrefill(sim *simulation) {
	if e.prefilling != nil || e.down || e.running >= e.spec.Slots || len(e.queue.calls) == 0 {
		return
	}
	c := heap.Pop(&e.queue).(*call)
	e.prefilling = c
	e.running++
	e.prefillEnds = sim.now + e.prefillTime(c.promptTokens)
	sim.schedule(e.prefillEnds, func() { e.finishPrefill(sim, c) })
}

func (e *engine) finishPrefill(sim *simulation, c *call) {
	if e.down {
		return
	}
	e.prefilling = nil
	e.pendingPrefill -= c.promptTokens
	sim.firstToken(c)
	e.decoding[c] = true
	sim.schedule(sim.now+time.Duration(c.responseTokens)*e.spec.TokenInterval, func() { e.finish(sim, c) })
	e.startPrefill(sim)
}

func (e *engine) finish(sim *simulation, c *call) {
	if e.down {
		return
	}
	e.running--
	delete(e.decoding, c)
	sim.ended(c)
	e.startPrefill(sim)
}

// fail takes the engine down; all its calls fail.
func (e *engine) fail(sim *simulation) {
	e.down = true
	queued := e.queue.calls
	e.queue.calls = nil
	for _, c := range queued {
		sim.engineFailed(c)
	}
	if e.prefilling != nil {
		sim.engineFailed(e.prefilling)
	}
	decodingCalls := slices.SortedFunc(maps.Keys(e.decoding), func(a, b *call) int { return a.arrivalOrder - b.arrivalOrder })
	for _, c := range decodingCalls {
		sim.engineFailed(c)
	}
}

// callQueue is a heap ordered by priority and then arrival, or by arrival alone if fifo is set.
type callQueue struct {
	calls []*call
	fifo  bool
}

// Len implements heap.Interface.
func (q *callQueue) Len() int { return len(q.calls) }

// Less implements heap.Interface.
func (q *callQueue) Less(i, j int) bool {
	if !q.fifo && q.calls[i].priority != q.calls[j].priority {
		return q.calls[i].priority > q.calls[j].priority
	}
	return q.calls[i].arrivalOrder < q.calls[j].arrivalOrder
}

// Swap implements heap.Interface.
func (q *callQueue) Swap(i, j int) { q.calls[i], q.calls[j] = q.calls[j], q.calls[i] }

// Push implements heap.Interface.
func (q *callQueue) Push(x any) { q.calls = append(q.calls, x.(*call)) }

// Pop implements heap.Interface.
func (q *callQueue) Pop() any {
	last := q.calls[len(q.calls)-1]
	q.calls = q.calls[:len(q.calls)-1]
	return last
}
