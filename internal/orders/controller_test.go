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
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = time.Millisecond
	weightsMB    = 220
	modelMB      = 70
	adapterSlots = 3
)

// fakeLease is a lease that is held until a runner rejects its fencing token.
type fakeLease struct {
	mu    sync.Mutex
	fence uint64
}

func (l *fakeLease) Fence() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence > 0
}

func (l *fakeLease) FenceRejected(uint64) { l.set(0) }

func (l *fakeLease) set(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
}

// fakeRunner checks every order as the platform's runners do.
type fakeRunner struct {
	// incarnation is 0 for the first one.
	incarnation int64
	models      map[string][]string
	orders      uint64
	fence       uint64
	busyUntil   time.Time
	// history holds the states that reports show, which become visible after reportLag.
	history []reportedState
	// violation is set when an order exceeded the memory or adapter slots.
	violation string
}

// reportedState is the state of a runner from a time on.
type reportedState struct {
	from  time.Time
	state orders.Report
}

// reportLag is the age of the models in reports.
const reportLag = 200 * time.Millisecond

// adapterLoadTime is how long an adapter takes to load.
const adapterLoadTime = 10 * time.Millisecond

// fakeClient simulates all runners.
type fakeClient struct {
	clock clockwork.Clock
	mu    sync.Mutex
	byID  map[string]*fakeRunner
	// loseResponse returns whether the response to the nth order is lost, and whether the order was carried out nevertheless.
	loseResponse func(n int) (lost, executed bool)
	sendCount    int
	received     []orders.Order
	loadTimes    []time.Time
}

func (c *fakeClient) Order(_ context.Context, to *roster.Runner, o orders.Order) (orders.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendCount++
	c.received = append(c.received, o)
	lost, executed := false, true
	if c.loseResponse != nil {
		lost, executed = c.loseResponse(c.sendCount)
	}
	if lost && !executed {
		return orders.Answer{}, &endpoint.NoResponseError{Cause: io.ErrUnexpectedEOF}
	}
	result := c.apply(c.byID[to.ID], o)
	if lost {
		return orders.Answer{}, &endpoint.NoResponseError{Cause: io.ErrUnexpectedEOF}
	}
	return orders.Answer{Result: result}, nil
}

func (c *fakeClient) apply(r *fakeRunner, o orders.Order) orders.Result {
	if o.Fence < r.fence {
		return orders.Fenced
	}
	r.fence = o.Fence
	if o.ExpectedOrders != r.orders || c.clock.Now().Before(r.busyUntil) {
		return orders.Conflict
	}
	adapters, held := r.models[o.Model]
	if o.Adapter != "" && !held {
		return orders.Misdirected
	}
	r.orders++
	before := r.state(c.clock.Now())
	defer func() { r.recordHistory(c.clock.Now(), before, o) }()
	switch {
	case o.Adapter != "" && o.Unload:
		r.models[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
	case o.Adapter != "":
		r.models[o.Model] = append(slices.Clone(adapters), o.Adapter)
	case o.Unload:
		delete(r.models, o.Model)
	default:
		r.models[o.Model] = nil
		r.busyUntil = c.clock.Now().Add(time.Second)
		c.loadTimes = append(c.loadTimes, c.clock.Now())
	}
	r.checkCapacity()
	return orders.Accepted
}

func (r *fakeRunner) checkCapacity() {
	n := 0
	for _, adapters := range r.models {
		n += len(adapters)
	}
	if len(r.models)*modelMB > weightsMB || n > adapterSlots {
		r.violation = fmt.Sprint(r.models)
	}
}

func (c *fakeClient) Report(_ context.Context, to *roster.Runner) (orders.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byID[to.ID]
	state := r.state(c.clock.Now())
	for _, s := range r.history {
		if !s.from.After(c.clock.Now().Add(-reportLag)) {
			state = s.state
		}
	}
	state.Incarnation = 1 + r.incarnation
	// The order count is always current; the models lag.
	state.Orders = r.orders
	state.Busy = c.clock.Now().Before(r.busyUntil)
	return state, nil
}

// state returns the current models.
func (r *fakeRunner) state(time.Time) orders.Report {
	var state orders.Report
	for model, adapters := range r.models {
		state.Models = append(state.Models, roster.LoadedModel{Model: model, Adapters: slices.Clone(adapters)})
	}
	return state
}

// recordHistory stores the states before and after an order; a new adapter is first reported as being loaded.
func (r *fakeRunner) recordHistory(now time.Time, before orders.Report, o orders.Order) {
	if len(r.history) == 0 {
		r.history = append(r.history, reportedState{state: before})
	}
	after := r.state(now)
	if o.Adapter != "" && !o.Unload {
		before.AdaptersLoading = []layout.Adapter{{Model: o.Model, Name: o.Adapter}}
		r.history = append(r.history, reportedState{from: now, state: before})
		now = now.Add(adapterLoadTime)
	}
	r.history = append(r.history, reportedState{from: now, state: after})
}

func (c *fakeClient) holds(id, model, adapter string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	adapters, held := c.byID[id].models[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

type fixture struct {
	clock          *clockwork.FakeClock
	lease          *fakeLease
	client         *fakeClient
	departures     orders.Departures
	roster         *roster.Roster
	controller     *orders.Controller
	catalog        *catalog.Catalog
	mu             sync.Mutex
	rosterComplete bool
	announced      []orders.Holding
	uses           map[roster.ModelUse]bool
}

func newFixture(t *testing.T, models int, held ...[]string) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &fixture{
		clock:          clock,
		lease:          &fakeLease{fence: 5},
		client:         &fakeClient{clock: clock, byID: make(map[string]*fakeRunner)},
		departures:     dispatch.NewTracker(dispatch.RoundTrips{}),
		roster:         roster.New(),
		rosterComplete: true,
	}
	for i, list := range held {
		f.addRunner(fmt.Sprintf("r%d", i), list)
	}
	engine := &catalog.Engine{WeightsMB: weightsMB, AdapterSlots: adapterSlots, LoadsPerSecond: 2}
	for i := range models {
		engine.Models = append(engine.Models, catalog.Model{
			Name:      fmt.Sprintf("m%d", i),
			WeightsMB: modelMB,
			LoadTime:  time.Second,
			Adapters:  8,
			AdapterMB: 1,
		})
	}
	f.catalog = catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: engine}})
	f.controller = orders.New(orders.Dependencies{
		Holder:         "vm",
		Lease:          f.lease,
		Catalog:        func() *catalog.Catalog { return f.catalog },
		Roster:         f.roster.View,
		RosterComplete: f.isRosterComplete,
		Client:         f.client,
		Departures:     f.departures,
		VMs:            func() int { return 1 },
		InUse:          f.currentUses,
		Announce:       f.announce,
		Metrics:        orders.NewMetrics(prometheus.NewRegistry()),
		Clock:          clock,
		Logger:         slog.New(slog.DiscardHandler),
	})
	return f
}

func (f *fixture) isRosterComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rosterComplete
}

func (f *fixture) currentUses() map[roster.ModelUse]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.uses)
}

func (f *fixture) setUses(uses map[roster.ModelUse]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uses = uses
}

func (f *fixture) announce(facts []orders.Holding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = append(f.announced, facts...)
}

func (f *fixture) addRunner(id string, models []string) {
	runner := &fakeRunner{models: make(map[string][]string)}
	registration := &roster.Runner{ID: id, Service: "s", FailureDomain: id, Incarnation: 1, Heartbeat: 1}
	for _, m := range models {
		runner.models[m] = nil
		registration.Models = append(registration.Models, roster.LoadedModel{Model: m})
	}
	f.client.byID[id] = runner
	f.roster.Apply([]roster.Change{{ID: id, Runner: registration}}, f.clock.Now())
}

func (f *fixture) start(t *testing.T) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.controller.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		for id, runner := range f.client.byID {
			require.Empty(t, runner.violation, id)
		}
	})
}

// advanceUntil advances the clock under constant demand until a condition holds.
func (f *fixture) advanceUntil(t *testing.T, rates []orders.Rate, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.controller.RecordDemand("vm", rates)
		f.clock.Advance(20 * time.Millisecond)
		return condition()
	}, waitTimeout, pollInterval)
}

// advance advances the clock under constant demand.
func (f *fixture) advance(steps int, rates []orders.Rate) {
	for range steps {
		f.controller.RecordDemand("vm", rates)
		f.clock.Advance(20 * time.Millisecond)
		time.Sleep(pollInterval)
	}
}

func modelRate(model string, work float64) orders.Rate {
	return orders.Rate{Service: "s", Model: model, Requests: 50, Work: work}
}

func TestLoadsMissingModel(t *testing.T) {
	f := newFixture(t, 3, []string{"m0", "m1"})
	f.start(t)
	f.advanceUntil(t, nil, func() bool { return f.client.holds("r0", "m2", "") })
	f.advanceUntil(t, nil, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Contains(f.announced, orders.Holding{Runner: "r0", Model: "m2", Held: true})
	})
	require.EqualValues(t, 5, f.client.received[0].Fence)
	require.Equal(t, "vm", f.client.received[0].Holder)
}

func TestSendsNoOrdersWithoutLease(t *testing.T) {
	f := newFixture(t, 3, []string{"m0", "m1"})
	f.lease.set(0)
	f.start(t)
	f.advance(100, nil)
	require.Zero(t, f.client.sendCount)
}

// While runners are still registering, the models of the others are not known, so no model counts as missing.
func TestSendsNoOrdersBeforeRosterIsComplete(t *testing.T) {
	f := newFixture(t, 3, []string{"m0", "m1"})
	f.rosterComplete = false
	f.start(t)
	f.advance(100, nil)
	require.Zero(t, f.client.sendCount)
}

// A model with high demand gets a second replica in place of an unused model, whose unload is announced to the VMs first.
func TestAnnouncesUnloadBeforeLoadingReplica(t *testing.T) {
	f := newFixture(t, 4, []string{"m0", "m1", "m2"}, []string{"m1", "m2", "m3"})
	f.start(t)
	f.advanceUntil(t, []orders.Rate{modelRate("m0", 50)}, func() bool { return f.client.holds("r1", "m0", "") })
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, "r1", f.announced[0].Runner)
	require.False(t, f.announced[0].Held)
	require.Contains(t, []string{"m1", "m2"}, f.announced[0].Model)
}

// An order whose response is lost is sent again with the same order count, so that it is carried out at most once.
func TestLostOrderIsRetriedWithSameCount(t *testing.T) {
	for name, done := range map[string]bool{"carried out": true, "not carried out": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, []string{"m0", "m1"})
			f.client.loseResponse = func(n int) (bool, bool) { return n <= 2, done && n == 1 }
			f.start(t)
			f.advanceUntil(t, nil, func() bool { return f.client.holds("r0", "m2", "") })
			f.client.mu.Lock()
			defer f.client.mu.Unlock()
			require.EqualValues(t, 1, f.client.byID["r0"].orders)
			for _, o := range f.client.received {
				require.Zero(t, o.ExpectedOrders)
			}
		})
	}
}

// A runner that has seen a higher fencing token rejects the order, and no more orders are sent with the old token.
func TestRejectedFenceStopsOrders(t *testing.T) {
	f := newFixture(t, 3, []string{"m0", "m1"}, []string{"m0"})
	f.client.byID["r0"].fence = 9
	f.client.byID["r1"].fence = 9
	f.start(t)
	f.advanceUntil(t, nil, func() bool { _, ok := f.lease.Fence(); return !ok })
	f.client.mu.Lock()
	sent := f.client.sendCount
	f.client.mu.Unlock()
	f.advance(100, nil)
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	require.Equal(t, sent, f.client.sendCount)
}

// An order count that another lease holder has advanced is read from the runner.
func TestReadsOrderCountFromRunner(t *testing.T) {
	f := newFixture(t, 3, []string{"m0", "m1"})
	f.client.byID["r0"].orders = 17
	f.start(t)
	f.advanceUntil(t, nil, func() bool { return f.client.holds("r0", "m2", "") })
	require.EqualValues(t, 17, f.client.received[0].ExpectedOrders)
}

func TestLoadsMissingAdapter(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	f.start(t)
	f.controller.RecordMissing("s", "m0", "a3")
	f.advanceUntil(t, nil, func() bool { return f.client.holds("r0", "m0", "a3") })
}

// An adapter in use is unloaded only after its requests have ended: a runner that has to wait for them takes no other order.
func TestWaitsForRequestsBeforeUnloadingAdapter(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	f.start(t)
	names := []string{"a1", "a2", "a3"}
	uses := make(map[roster.ModelUse]bool)
	for _, name := range names {
		f.controller.RecordMissing("s", "m0", name)
		uses[roster.ModelUse{Runner: "r0", Model: "m0", Adapter: name}] = true
	}
	f.advanceUntil(t, nil, func() bool {
		return f.client.holds("r0", "m0", "a1") && f.client.holds("r0", "m0", "a2") && f.client.holds("r0", "m0", "a3")
	})
	f.advance(60, nil)
	f.setUses(uses)
	f.controller.RecordMissing("s", "m0", "a4")
	f.advanceUntil(t, nil, func() bool { return f.announcedUnload() != "" })
	f.advance(20, nil)
	require.Zero(t, f.unloadCount())
	f.setUses(nil)
	f.advanceUntil(t, nil, func() bool { return f.client.holds("r0", "m0", "a4") })
	require.Equal(t, 1, f.unloadCount())
}

// If the order to unload does not reach the runner, the controller announces to the VMs that the runner still has the model.
func TestFailedUnloadIsAnnouncedAsHeld(t *testing.T) {
	f := newFixture(t, 5, []string{"m0", "m1", "m2"}, []string{"m0", "m1", "m3"})
	f.client.loseResponse = func(int) (bool, bool) { return true, false }
	f.start(t)
	f.controller.RecordMissing("s", "m4", "")
	f.advanceUntil(t, nil, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := len(f.announced)
		return n >= 2 && f.announced[n-1].Held && f.announced[n-2] == orders.Holding{Runner: f.announced[n-1].Runner, Model: f.announced[n-1].Model}
	})
}

// announcedUnload returns the adapter whose unload was announced to the VMs, if any.
func (f *fixture) announcedUnload() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fact := range f.announced {
		if !fact.Held {
			return fact.Adapter
		}
	}
	return ""
}

func (f *fixture) unloadCount() int {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	n := 0
	for _, o := range f.client.received {
		if o.Unload {
			n++
		}
	}
	return n
}

// In every window, loads from the weight store stay within its rate, whatever models are missing or orders lost or refused.
func TestStoreLoadsStayWithinRate(t *testing.T) {
	f := newFixture(t, 24)
	for i := range 12 {
		f.addRunner(fmt.Sprintf("r%d", i), nil)
	}
	f.client.loseResponse = func(n int) (bool, bool) { return n%5 == 0, n%2 == 0 }
	f.start(t)
	f.advanceUntil(t, nil, func() bool {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		return len(f.client.loadTimes) >= 20
	})
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	const window, rate, overage = 5.0, 2.0, 1.1
	for i, from := range f.client.loadTimes {
		n := 0
		for _, at := range f.client.loadTimes[i:] {
			if at.Sub(from).Seconds() <= window {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), rate*window*overage+3)
	}
}

// A new lease holder, and one that doesn't know a runner's order count, must not fill adapter slots that a lagging report
// shows as free.
func TestAdapterSlotLimitHoldsAcrossTakeovers(t *testing.T) {
	f := newFixture(t, 1, []string{"m0"})
	n := 0
	f.client.loseResponse = func(int) (bool, bool) { n++; return n%4 == 0, n%8 == 0 }
	f.start(t)
	for round := range 12 {
		for i := range 8 {
			f.controller.RecordMissing("s", "m0", fmt.Sprintf("a%d", i+1))
		}
		f.advance(25, nil)
		f.lease.set(uint64(6 + round))
	}
}

// A runner that restarts during a step has lost its models and order count.
func TestRunnerRestartDuringStep(t *testing.T) {
	f := newFixture(t, 3, []string{"m0", "m1"})
	f.start(t)
	f.advanceUntil(t, nil, func() bool {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		return f.client.byID["r0"].orders > 0
	})
	f.client.mu.Lock()
	f.client.byID["r0"] = &fakeRunner{incarnation: 1, models: make(map[string][]string)}
	f.client.mu.Unlock()
	f.roster.Apply([]roster.Change{{ID: "r0", Runner: &roster.Runner{
		ID:            "r0",
		Service:       "s",
		FailureDomain: "r0",
		Incarnation:   2,
		Heartbeat:     1,
	}}}, f.clock.Now())
	f.advanceUntil(t, nil, func() bool {
		return f.client.holds("r0", "m0", "") && f.client.holds("r0", "m1", "") && f.client.holds("r0", "m2", "")
	})
}
