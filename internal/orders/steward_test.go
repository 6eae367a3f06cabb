package orders_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitLimit = 10 * time.Second
	tick      = time.Millisecond
	weightsMB = 220
	modelMB   = 70
	places    = 3
)

// lease is held under a fence until a runner refuses it.
type lease struct {
	mu    sync.Mutex
	fence uint64
}

func (l *lease) Fence() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence > 0
}

func (l *lease) Refused(uint64) { l.set(0) }

func (l *lease) set(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
}

// engine is a runner that checks every order as the platform's runners do.
type engine struct {
	models map[string][]string
	orders uint64
	fence  uint64
	busy   time.Time
	// past is what reports show until it is old enough.
	past []shown
	// broken is set when the runner was ordered beyond its memory or places.
	broken string
}

// shown is what a report shows from a time on.
type shown struct {
	from  time.Time
	state orders.State
}

// reportLag is how old what reports show is.
const reportLag = 200 * time.Millisecond

// adapterTime is how long an adapter is on its way.
const adapterTime = 10 * time.Millisecond

// runners is a stand-in of all runners.
type runners struct {
	clock clockwork.Clock
	mu    sync.Mutex
	byID  map[string]*engine
	// lose returns whether the answer of the nth order is lost, and whether it was carried out all the same.
	lose  func(n int) (lost, done bool)
	n     int
	log   []orders.Order
	loads []time.Time
}

func (r *runners) Order(_ context.Context, to *roster.Runner, o orders.Order) (orders.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	r.log = append(r.log, o)
	lost, done := false, true
	if r.lose != nil {
		lost, done = r.lose(r.n)
	}
	if lost && !done {
		return "", &endpoint.UnansweredError{Cause: io.ErrUnexpectedEOF}
	}
	result := r.take(r.byID[to.ID], o)
	if lost {
		return "", &endpoint.UnansweredError{Cause: io.ErrUnexpectedEOF}
	}
	return result, nil
}

func (r *runners) take(e *engine, o orders.Order) orders.Result {
	if o.Fence < e.fence {
		return orders.Fenced
	}
	e.fence = o.Fence
	if o.Expect != e.orders || r.clock.Now().Before(e.busy) {
		return orders.Conflict
	}
	adapters, held := e.models[o.Model]
	if o.Adapter != "" && !held {
		return orders.Misdirected
	}
	e.orders++
	before := e.state(r.clock.Now())
	defer func() { e.remember(r.clock.Now(), before, o) }()
	switch {
	case o.Adapter != "" && o.Unload:
		e.models[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
	case o.Adapter != "":
		e.models[o.Model] = append(slices.Clone(adapters), o.Adapter)
	case o.Unload:
		delete(e.models, o.Model)
	default:
		e.models[o.Model] = nil
		e.busy = r.clock.Now().Add(time.Second)
		r.loads = append(r.loads, r.clock.Now())
	}
	e.check()
	return orders.Accepted
}

func (e *engine) check() {
	n := 0
	for _, adapters := range e.models {
		n += len(adapters)
	}
	if len(e.models)*modelMB > weightsMB || n > places {
		e.broken = fmt.Sprint(e.models)
	}
}

func (r *runners) Report(_ context.Context, to *roster.Runner) (orders.State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[to.ID]
	state := e.state(r.clock.Now())
	for _, s := range e.past {
		if !s.from.After(r.clock.Now().Add(-reportLag)) {
			state = s.state
		}
	}
	// The count of orders is always the present one; what the runner holds lags.
	state.Orders = e.orders
	state.Busy = r.clock.Now().Before(e.busy)
	return state, nil
}

// state returns what the runner holds now.
func (e *engine) state(time.Time) orders.State {
	var state orders.State
	for model, adapters := range e.models {
		state.Models = append(state.Models, roster.Holding{Model: model, Adapters: slices.Clone(adapters)})
	}
	return state
}

// remember keeps what reports show before and after an order; a new adapter is first on its way.
func (e *engine) remember(now time.Time, before orders.State, o orders.Order) {
	if len(e.past) == 0 {
		e.past = append(e.past, shown{state: before})
	}
	after := e.state(now)
	if o.Adapter != "" && !o.Unload {
		before.Coming = []layout.Adapter{{Model: o.Model, Name: o.Adapter}}
		e.past = append(e.past, shown{from: now, state: before})
		now = now.Add(adapterTime)
	}
	e.past = append(e.past, shown{from: now, state: after})
}

func (r *runners) has(id, model, adapter string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	adapters, held := r.byID[id].models[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

type world struct {
	clock   *clockwork.FakeClock
	lease   *lease
	runners *runners
	roster  *roster.Roster
	steward *orders.Steward
	catalog *catalog.Catalog
	mu      sync.Mutex
	settled bool
	told    []orders.Holding
	uses    map[roster.Use]bool
}

func newWorld(t *testing.T, models int, held ...[]string) *world {
	t.Helper()
	clock := clockwork.NewFakeClock()
	w := &world{
		clock:   clock,
		lease:   &lease{fence: 5},
		runners: &runners{clock: clock, byID: make(map[string]*engine)},
		roster:  roster.New(),
		settled: true,
	}
	for i, list := range held {
		w.add(fmt.Sprintf("r%d", i), list)
	}
	e := &catalog.Engine{WeightsMB: weightsMB, AdapterPlaces: places, LoadsPerSecond: 2}
	for i := range models {
		e.Models = append(e.Models, catalog.Model{
			Name:      fmt.Sprintf("m%d", i),
			WeightsMB: modelMB,
			LoadTime:  time.Second,
			Adapters:  8,
			AdapterMB: 1,
		})
	}
	w.catalog = catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: e}})
	w.steward = orders.New(orders.Dependencies{
		Holder:   "vm",
		Lease:    w.lease,
		Catalog:  func() *catalog.Catalog { return w.catalog },
		Roster:   w.roster.View,
		Settled:  w.isSettled,
		Client:   w.runners,
		VMs:      func() int { return 1 },
		Uses:     w.inUse,
		Announce: w.announce,
		Metrics:  orders.NewMetrics(prometheus.NewRegistry()),
		Clock:    clock,
		Logger:   slog.New(slog.DiscardHandler),
	})
	return w
}

func (w *world) isSettled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settled
}

func (w *world) inUse() map[roster.Use]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.uses)
}

func (w *world) use(uses map[roster.Use]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.uses = uses
}

func (w *world) announce(facts []orders.Holding) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, facts...)
}

func (w *world) add(id string, models []string) {
	e := &engine{models: make(map[string][]string)}
	r := &roster.Runner{ID: id, Service: "s", FailureDomain: id, Born: 1, Heartbeat: 1}
	for _, m := range models {
		e.models[m] = nil
		r.Models = append(r.Models, roster.Holding{Model: m})
	}
	w.runners.byID[id] = e
	w.roster.Apply([]roster.Change{{ID: id, Runner: r}}, w.clock.Now())
}

func (w *world) run(t *testing.T) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.steward.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		for id, e := range w.runners.byID {
			require.Empty(t, e.broken, id)
		}
	})
}

// until lets time pass until a condition holds, with steady demand.
func (w *world) until(t *testing.T, rates []orders.Rate, holds func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		w.steward.Demand("vm", rates)
		w.clock.Advance(20 * time.Millisecond)
		return holds()
	}, waitLimit, tick)
}

// pass lets time pass.
func (w *world) pass(steps int, rates []orders.Rate) {
	for range steps {
		w.steward.Demand("vm", rates)
		w.clock.Advance(20 * time.Millisecond)
		time.Sleep(tick)
	}
}

func busy(model string, work float64) orders.Rate {
	return orders.Rate{Service: "s", Model: model, Requests: 50, Work: work}
}

func TestMissingModelIsOrdered(t *testing.T) {
	w := newWorld(t, 3, []string{"m0", "m1"})
	w.run(t)
	w.until(t, nil, func() bool { return w.runners.has("r0", "m2", "") })
	w.until(t, nil, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return slices.Contains(w.told, orders.Holding{Runner: "r0", Model: "m2", Held: true})
	})
	require.EqualValues(t, 5, w.runners.log[0].Fence)
	require.Equal(t, "vm", w.runners.log[0].Holder)
}

func TestNothingIsOrderedWithoutTheLease(t *testing.T) {
	w := newWorld(t, 3, []string{"m0", "m1"})
	w.lease.set(0)
	w.run(t)
	w.pass(100, nil)
	require.Zero(t, w.runners.n)
}

// While runners still register, what the others have is not known.
func TestNothingIsMissingBeforeTheListIsWhole(t *testing.T) {
	w := newWorld(t, 3, []string{"m0", "m1"})
	w.settled = false
	w.run(t)
	w.pass(100, nil)
	require.Zero(t, w.runners.n)
}

// A busy model gets a second replica in the place of what nobody asks for, and VMs learn of it before.
func TestRoomIsMadeFirst(t *testing.T) {
	w := newWorld(t, 4, []string{"m0", "m1", "m2"}, []string{"m1", "m2", "m3"})
	w.run(t)
	w.until(t, []orders.Rate{busy("m0", 50)}, func() bool { return w.runners.has("r1", "m0", "") })
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Equal(t, "r1", w.told[0].Runner)
	require.False(t, w.told[0].Held)
	require.Contains(t, []string{"m1", "m2"}, w.told[0].Model)
}

// An order whose answer is lost is sent again under the same count, so that it is carried out once at most.
func TestLostOrders(t *testing.T) {
	for name, done := range map[string]bool{"carried out": true, "not carried out": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3, []string{"m0", "m1"})
			w.runners.lose = func(n int) (bool, bool) { return n <= 2, done && n == 1 }
			w.run(t)
			w.until(t, nil, func() bool { return w.runners.has("r0", "m2", "") })
			w.runners.mu.Lock()
			defer w.runners.mu.Unlock()
			require.EqualValues(t, 1, w.runners.byID["r0"].orders)
			for _, o := range w.runners.log {
				require.Zero(t, o.Expect)
			}
		})
	}
}

// A runner that has seen a higher number refuses the order, and nothing more goes out under the old one.
func TestRefusedFence(t *testing.T) {
	w := newWorld(t, 3, []string{"m0", "m1"}, []string{"m0"})
	w.runners.byID["r0"].fence = 9
	w.runners.byID["r1"].fence = 9
	w.run(t)
	w.until(t, nil, func() bool { _, ok := w.lease.Fence(); return !ok })
	w.runners.mu.Lock()
	sent := w.runners.n
	w.runners.mu.Unlock()
	w.pass(100, nil)
	w.runners.mu.Lock()
	defer w.runners.mu.Unlock()
	require.Equal(t, sent, w.runners.n)
}

// A count that another holder has advanced is read anew.
func TestCountOfOrdersIsReadAnew(t *testing.T) {
	w := newWorld(t, 3, []string{"m0", "m1"})
	w.runners.byID["r0"].orders = 17
	w.run(t)
	w.until(t, nil, func() bool { return w.runners.has("r0", "m2", "") })
	require.EqualValues(t, 17, w.runners.log[0].Expect)
}

func TestMissingAdapterIsOrdered(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	w.run(t)
	w.steward.Missing("s", "m0", "a3")
	w.until(t, nil, func() bool { return w.runners.has("r0", "m0", "a3") })
}

// An adapter that requests run on is taken off a runner only once they have ended: the runner would take no other order
// meanwhile.
func TestAdapterInUseIsWaitedFor(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	w.run(t)
	names := []string{"a1", "a2", "a3"}
	uses := make(map[roster.Use]bool)
	for _, name := range names {
		w.steward.Missing("s", "m0", name)
		uses[roster.Use{Runner: "r0", Model: "m0", Adapter: name}] = true
	}
	w.until(t, nil, func() bool {
		return w.runners.has("r0", "m0", "a1") && w.runners.has("r0", "m0", "a2") && w.runners.has("r0", "m0", "a3")
	})
	w.pass(60, nil)
	w.use(uses)
	w.steward.Missing("s", "m0", "a4")
	w.until(t, nil, func() bool { return w.dropTold() != "" })
	w.pass(20, nil)
	require.Zero(t, w.unloads())
	w.use(nil)
	w.until(t, nil, func() bool { return w.runners.has("r0", "m0", "a4") })
	require.Equal(t, 1, w.unloads())
}

// Where the order to unload does not reach the runner, the VMs are told that it still has the model.
func TestUnloadThatFailsIsTakenBack(t *testing.T) {
	w := newWorld(t, 5, []string{"m0", "m1", "m2"}, []string{"m0", "m1", "m3"})
	w.runners.lose = func(int) (bool, bool) { return true, false }
	w.run(t)
	w.steward.Missing("s", "m4", "")
	w.until(t, nil, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := len(w.told)
		return n >= 2 && w.told[n-1].Held && w.told[n-2] == orders.Holding{Runner: w.told[n-1].Runner, Model: w.told[n-1].Model}
	})
}

// dropTold returns the adapter that the VMs were told will go, if any.
func (w *world) dropTold() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fact := range w.told {
		if !fact.Held {
			return fact.Adapter
		}
	}
	return ""
}

func (w *world) unloads() int {
	w.runners.mu.Lock()
	defer w.runners.mu.Unlock()
	n := 0
	for _, o := range w.runners.log {
		if o.Unload {
			n++
		}
	}
	return n
}

// Loads from the weight store stay within its rate in every window, whatever is missing, lost or refused.
func TestLoadsStayWithinTheRate(t *testing.T) {
	w := newWorld(t, 24)
	for i := range 12 {
		w.add(fmt.Sprintf("r%d", i), nil)
	}
	w.runners.lose = func(n int) (bool, bool) { return n%5 == 0, n%2 == 0 }
	w.run(t)
	w.until(t, nil, func() bool {
		w.runners.mu.Lock()
		defer w.runners.mu.Unlock()
		return len(w.runners.loads) >= 20
	})
	w.runners.mu.Lock()
	defer w.runners.mu.Unlock()
	const window, rate, overage = 5.0, 2.0, 1.1
	for i, from := range w.runners.loads {
		n := 0
		for _, at := range w.runners.loads[i:] {
			if at.Sub(from).Seconds() <= window {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), rate*window*overage+3)
	}
}

// A new holder, and one whose count is unknown, must not fill places that a lagging report shows as free.
func TestPlacesHoldOverTakeovers(t *testing.T) {
	w := newWorld(t, 1, []string{"m0"})
	n := 0
	w.runners.lose = func(int) (bool, bool) { n++; return n%4 == 0, n%8 == 0 }
	w.run(t)
	for round := range 12 {
		for i := range 8 {
			w.steward.Missing("s", "m0", fmt.Sprintf("a%d", i+1))
		}
		w.pass(25, nil)
		w.lease.set(uint64(6 + round))
	}
}

// A runner that starts again during a step holds and counts nothing of before.
func TestRestartDuringAStep(t *testing.T) {
	w := newWorld(t, 3, []string{"m0", "m1"})
	w.run(t)
	w.until(t, nil, func() bool {
		w.runners.mu.Lock()
		defer w.runners.mu.Unlock()
		return w.runners.byID["r0"].orders > 0
	})
	w.runners.mu.Lock()
	w.runners.byID["r0"] = &engine{models: make(map[string][]string)}
	w.runners.mu.Unlock()
	w.roster.Apply([]roster.Change{{ID: "r0", Runner: &roster.Runner{
		ID:            "r0",
		Service:       "s",
		FailureDomain: "r0",
		Born:          2,
		Heartbeat:     1,
	}}}, w.clock.Now())
	w.until(t, nil, func() bool {
		return w.runners.has("r0", "m0", "") && w.runners.has("r0", "m1", "") && w.runners.has("r0", "m2", "")
	})
}
