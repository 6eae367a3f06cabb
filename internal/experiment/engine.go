package experiment

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// engine is a model of one runner's queue: prompts are taken one at a time, answers share the slots of a batch.
type engine struct {
	name    string
	domain  int
	size    deployment.EngineSize
	waiting callQueue
	arrived int
	running int
	// busy is the call whose prompt is being taken.
	busy      *call
	busyUntil time.Duration
	prefill   int
	down      bool
	sequence  uint64
	accounts  []account
	// answering is the calls that have had their first token.
	answering map[*call]bool
}

// account is one accelerator: the models on it, and from when on they serve.
type account struct {
	capacity int64
	models   map[string]loadedModel
}

type loadedModel struct {
	bytes int64
	ready time.Duration
	gone  bool
}

func (e *engine) serves(model string, now time.Duration) bool {
	if e.down {
		return false
	}
	for _, a := range e.accounts {
		if m, ok := a.models[model]; ok && m.ready <= now {
			return true
		}
	}
	return false
}

// report returns the engine's account of itself.
func (e *engine) report() endpoint.Report {
	e.sequence++
	return endpoint.Report{
		Incarnation:      "1",
		Sequence:         e.sequence,
		Slots:            e.size.Slots,
		Running:          e.running,
		Waiting:          len(e.waiting.calls),
		WaitingPrefill:   e.prefill,
		PrefillPerSecond: e.size.PrefillPerSecond,
		TokenInterval:    e.size.TokenInterval,
	}
}

func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.size.PrefillPerSecond * float64(time.Second))
}

// wait is the exact time until a call that came now would have its first token, if no later call overtook it.
func (e *engine) wait(now time.Duration, prompt int) time.Duration {
	ahead := e.prefillTime(e.prefill + prompt)
	if e.busy != nil {
		ahead -= e.prefillTime(e.busy.prompt) - (e.busyUntil - now)
	}
	excess := e.running + len(e.waiting.calls) + 1 - e.size.Slots
	if excess > 0 {
		ahead += time.Duration(float64(excess) / float64(e.size.Slots) * float64(meanTokens) * float64(e.size.TokenInterval))
	}
	return max(ahead, 0)
}

// put queues a call; w begins its prompt when its turn comes.
func (e *engine) put(w *world, c *call) {
	e.arrived++
	c.order = e.arrived
	e.prefill += c.prompt
	heap.Push(&e.waiting, c)
	e.next(w)
}

func (e *engine) next(w *world) {
	if e.busy != nil || e.down || e.running >= e.size.Slots || len(e.waiting.calls) == 0 {
		return
	}
	c := heap.Pop(&e.waiting).(*call)
	e.busy = c
	e.running++
	e.busyUntil = w.now + e.prefillTime(c.prompt)
	w.at(e.busyUntil, func() { e.firstToken(w, c) })
}

func (e *engine) firstToken(w *world, c *call) {
	if e.down {
		return
	}
	e.busy = nil
	e.prefill -= c.prompt
	w.firstToken(c)
	e.answering[c] = true
	w.at(w.now+time.Duration(c.tokens)*e.size.TokenInterval, func() { e.end(w, c) })
	e.next(w)
}

func (e *engine) end(w *world, c *call) {
	if e.down {
		return
	}
	e.running--
	delete(e.answering, c)
	w.ended(c)
	e.next(w)
}

// fail takes the engine away with all that it was doing.
func (e *engine) fail(w *world) {
	e.down = true
	lost := e.waiting.calls
	e.waiting.calls = nil
	for _, c := range lost {
		w.lost(c)
	}
	if e.busy != nil {
		w.lost(e.busy)
	}
	broken := slices.SortedFunc(maps.Keys(e.answering), func(a, b *call) int { return a.order - b.order })
	for _, c := range broken {
		w.lost(c)
	}
}

// callQueue is a heap by priority, or by arrival at engines that take calls as they come.
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
	return q.calls[i].order < q.calls[j].order
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
