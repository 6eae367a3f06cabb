package mesh_test

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/mesh"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitLimit = 30 * time.Second
	tick      = 5 * time.Millisecond
)

// local is a VM's state as its links see it.
type local struct {
	mu       sync.Mutex
	holds    bool
	holder   string
	version  uint64
	storeOut bool
	resigned uint64
	lease    logservice.Offset
	rates    []orders.Rate

	demand   map[string][]orders.Rate
	missing  []string
	facts    []orders.Holding
	runners  []roster.Runner
	changes  []roster.Change
	heard    logservice.Offset
	givenUp  uint64
	received []byte
	own      roster.Occupancy
	uses     []roster.Use
	sum      roster.Occupancy
}

func (l *local) with(change func(*local)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *local) check(holds func(*local) bool) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return holds(l)
	}
}

func (l *local) Holds() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.holds }
func (l *local) HolderAddress() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.holder != ""
}

func (l *local) Lease() (logservice.Offset, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.resigned
}
func (l *local) HolderSpoke(next logservice.Offset)  { l.with(func(l *local) { l.heard = next }) }
func (l *local) HolderResigned(fence uint64)         { l.with(func(l *local) { l.givenUp = fence }) }
func (l *local) Version() uint64                     { l.mu.Lock(); defer l.mu.Unlock(); return l.version }
func (l *local) Configuration() []byte               { return []byte{byte(l.Version())} }
func (l *local) Runners() []roster.Runner            { return []roster.Runner{{ID: "r1"}} }
func (l *local) StoreOut() bool                      { l.mu.Lock(); defer l.mu.Unlock(); return l.storeOut }
func (l *local) TakeRunners(runners []roster.Runner) { l.with(func(l *local) { l.runners = runners }) }
func (l *local) Occupancy() roster.Occupancy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.own)
}
func (l *local) Uses() []roster.Use                  { l.mu.Lock(); defer l.mu.Unlock(); return l.uses }
func (l *local) TakeOccupancy(sum roster.Occupancy)  { l.with(func(l *local) { l.sum = sum }) }
func (l *local) TakeChanges(changes []roster.Change) { l.with(func(l *local) { l.changes = changes }) }
func (l *local) Learn(facts []orders.Holding)        { l.with(func(l *local) { l.facts = facts }) }
func (l *local) Rates() []orders.Rate                { l.mu.Lock(); defer l.mu.Unlock(); return l.rates }
func (l *local) Demand(vm string, rates []orders.Rate) {
	l.with(func(l *local) { l.demand[vm] = rates })
}
func (l *local) Missing(service, model, adapter string) {
	l.with(func(l *local) { l.missing = append(l.missing, service+"/"+model+"/"+adapter) })
}

func (l *local) TakeConfiguration(encoded []byte) {
	l.with(func(l *local) {
		l.received = encoded
		l.version = uint64(encoded[0])
	})
}

func newLocal() *local {
	return &local{
		demand: make(map[string][]orders.Rate),
		own:    make(roster.Occupancy),
	}
}

// pair is a holder and another VM that links to it.
type pair struct {
	holder *local
	other  *local
	host   *mesh.Host
	spoke  *mesh.Spoke
}

func newPair(t *testing.T) *pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	clock := clockwork.NewRealClock()
	p := &pair{holder: newLocal(), other: newLocal()}
	p.holder.holds = true
	p.other.holder = address
	p.host = mesh.NewHost(mesh.Member{Name: "holder", Address: address}, p.holder, clock)
	p.spoke = mesh.NewSpoke(mesh.Member{Name: "other"}, p.other, clock, slog.New(slog.DiscardHandler))
	server := &http.Server{Handler: p.host}
	go func() { _ = server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.spoke.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		_ = server.Close()
	})
	return p
}

func TestDemandGoesUp(t *testing.T) {
	p := newPair(t)
	p.other.with(func(l *local) { l.rates = []orders.Rate{{Model: "m", Requests: 3}} })
	require.Eventually(t, p.holder.check(func(l *local) bool { return len(l.demand["other"]) == 1 }), waitLimit, tick)
	p.spoke.Missing("s", "m", "a1")
	require.Eventually(t, p.holder.check(func(l *local) bool { return len(l.missing) == 1 }), waitLimit, tick)
	require.Equal(t, "s/m/a1", p.holder.missing[0])
}

func TestFactsComeDown(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.host.Members()) == 2 }, waitLimit, tick)
	a := mesh.NewAnnouncer(p.host, clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = a.Run(ctx) }()
	a.Announce([]orders.Holding{{Runner: "r1", Model: "m", Held: true}})
	changes := []roster.Change{
		{ID: "r2"},
		{ID: "r3", Runner: &roster.Runner{ID: "r3", Slots: 4, Models: []roster.Holding{{Model: "m", Adapters: []string{"a1"}}}}},
	}
	p.host.Forward(changes)
	require.Eventually(t, p.other.check(func(l *local) bool { return len(l.facts) == 1 && len(l.changes) == 2 }), waitLimit, tick)
	require.Equal(t, changes, p.other.changes)
	require.Eventually(t, func() bool { return len(p.spoke.Members()) == 2 }, waitLimit, tick)
}

func TestEveryVMHearsOfTheRequestsOfAll(t *testing.T) {
	p := newPair(t)
	p.holder.with(func(l *local) { l.own = roster.Occupancy{"r1": 2, "r2": 1} })
	p.other.with(func(l *local) {
		l.own = roster.Occupancy{"r1": 3}
		l.uses = []roster.Use{{Runner: "r1", Model: "m", Adapter: "a1"}}
	})
	census := mesh.NewCensus(p.host, p.holder, clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = census.Run(ctx) }()
	all := roster.Occupancy{"r1": 5, "r2": 1}
	require.Eventually(t, p.other.check(func(l *local) bool { return maps.Equal(l.sum, all) }), waitLimit, tick)
	require.Eventually(t, p.holder.check(func(l *local) bool { return maps.Equal(l.sum, all) }), waitLimit, tick)
	require.Equal(t, map[roster.Use]bool{{Runner: "r1", Model: "m", Adapter: "a1"}: true, {Runner: "r1", Model: "m"}: true}, census.Uses())
}

func TestNoSumWithoutTheOthers(t *testing.T) {
	holder := newLocal()
	holder.holds = true
	host := mesh.NewHost(mesh.Member{Name: "holder"}, holder, clockwork.NewRealClock())
	census := mesh.NewCensus(host, holder, clockwork.NewRealClock())
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	_ = census.Run(ctx)
	require.True(t, holder.check(func(l *local) bool { return l.sum == nil })())
}

func TestNewerConfigurationIsAskedFor(t *testing.T) {
	p := newPair(t)
	p.other.with(func(l *local) { l.version = 3 })
	p.holder.with(func(l *local) { l.version = 7 })
	require.Eventually(t, p.other.check(func(l *local) bool { return l.version == 7 }), waitLimit, tick)
}

// A holder whose own read of the store hangs learns of a newer configuration from whoever has it.
func TestHolderAsksForANewerConfiguration(t *testing.T) {
	p := newPair(t)
	p.other.with(func(l *local) { l.version = 7 })
	p.holder.with(func(l *local) { l.version = 3 })
	require.Eventually(t, p.holder.check(func(l *local) bool { return l.version == 7 }), waitLimit, tick)
}

func TestHolderTellsThatItCannotRead(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.spoke.Members()) == 2 }, waitLimit, tick)
	require.False(t, p.spoke.HolderOut())
	p.holder.with(func(l *local) { l.storeOut = true })
	require.Eventually(t, p.spoke.HolderOut, waitLimit, tick)
}

func TestRunnersAreAskedForWhileTheStoreIsOut(t *testing.T) {
	p := newPair(t)
	p.other.with(func(l *local) { l.storeOut = true })
	require.Eventually(t, p.other.check(func(l *local) bool { return len(l.runners) == 1 }), waitLimit, tick)
}

func TestHolderIsHeard(t *testing.T) {
	p := newPair(t)
	p.holder.with(func(l *local) { l.lease = 12 })
	require.Eventually(t, p.other.check(func(l *local) bool { return l.heard == 12 }), waitLimit, tick)
}

func TestResignationIsHeard(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.host.Members()) == 2 }, waitLimit, tick)
	p.holder.with(func(l *local) { l.holds, l.resigned = false, 9 })
	p.host.Pulse()
	require.Eventually(t, p.other.check(func(l *local) bool { return l.givenUp == 9 }), waitLimit, tick)
}

func TestHolderCountsItself(t *testing.T) {
	p := newPair(t)
	p.other.with(func(l *local) { l.holds, l.rates = true, []orders.Rate{{Model: "m"}} })
	require.Eventually(t, p.other.check(func(l *local) bool { return len(l.demand["other"]) == 1 }), waitLimit, tick)
	p.spoke.Missing("s", "m", "")
	require.Len(t, p.other.missing, 1)
}
