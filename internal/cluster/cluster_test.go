package cluster_test

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// pair is a lease holder and another VM that is linked to it.
type pair struct {
	holder *fakeVM
	other  *fakeVM
	hub    *cluster.Hub
	spoke  *cluster.Spoke
}

func newPair(t *testing.T) *pair {
	t.Helper()
	return newPairWith(t, func(_, _ *fakeVM) {})
}

// newPairWith returns a pair whose VMs are prepared before they are linked.
func newPairWith(t *testing.T, prepare func(holder, other *fakeVM)) *pair {
	t.Helper()
	return newPairOf(t, cluster.Member{Name: "holder"}, prepare)
}

// newPairOf is like newPairWith, with a holder that is a given member at another address.
func newPairOf(t *testing.T, member cluster.Member, prepare func(holder, other *fakeVM)) *pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	member.Address = address
	clock := clockwork.NewRealClock()
	p := &pair{holder: newFakeVM(), other: newFakeVM()}
	p.holder.holdsLease = true
	p.other.holder = address
	prepare(p.holder, p.other)
	p.hub = cluster.NewHub(member, p.holder, clock)
	p.spoke = cluster.NewSpoke(cluster.Member{Name: "other"}, p.other, clock, slog.New(slog.DiscardHandler))
	server := &http.Server{Handler: p.hub}
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

func TestDemandReachesHolder(t *testing.T) {
	p := newPair(t)
	p.other.update(func(v *fakeVM) { v.rates = []orders.Rate{{Model: "m", Requests: 3}} })
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedDemand["other"]) == 1 }), waitTimeout, pollInterval)
	p.spoke.ReportMissingModel("s", "m", "a1")
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedMissing) == 1 }), waitTimeout, pollInterval)
	require.Equal(t, "s/m/a1", p.holder.receivedMissing[0])
}

func TestUpdatesReachLinkedVM(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 2 }, waitTimeout, pollInterval)
	announcer := cluster.NewAnnouncer(p.hub, clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = announcer.Run(ctx) }()
	announcer.Announce([]orders.Holding{{Runner: "r1", Model: "m", Held: true}})
	changes := []roster.Change{
		{ID: "r2"},
		{ID: "r3", Runner: &roster.Runner{ID: "r3", Slots: 4, Models: []roster.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}}},
	}
	p.hub.BroadcastChanges(changes)
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedHoldings) == 1 && len(v.receivedChanges) == 2 }), waitTimeout, pollInterval)
	require.Equal(t, changes, p.other.receivedChanges)
	require.Eventually(t, func() bool { return len(p.spoke.Members()) == 2 }, waitTimeout, pollInterval)
}

func TestTotalOccupancyReachesEveryVM(t *testing.T) {
	p := newPair(t)
	rates := []orders.RequestRate{{Service: "s", Model: "m", Requests: 12}}
	p.holder.update(func(v *fakeVM) { v.occupancy, v.requestTotals = roster.Occupancy{"r1": 2, "r2": 1}, rates })
	p.other.update(func(v *fakeVM) {
		v.occupancy = roster.Occupancy{"r1": 3}
		v.uses = []roster.ModelUse{{Runner: "r1", Model: "m", Adapter: "a1"}}
	})
	aggregator := cluster.NewUsageAggregator(p.hub, p.holder, clockwork.NewRealClock())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = aggregator.Run(ctx) }()
	totals := roster.Occupancy{"r1": 5, "r2": 1}
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return maps.Equal(v.totals, totals) }), waitTimeout, pollInterval)
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return maps.Equal(v.totals, totals) }), waitTimeout, pollInterval)
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return slices.Equal(v.receivedRequests, rates) }), waitTimeout, pollInterval)
	require.Equal(t, map[roster.ModelUse]bool{{Runner: "r1", Model: "m", Adapter: "a1"}: true, {Runner: "r1", Model: "m"}: true}, aggregator.ModelsInUse())
}

func TestNoTotalsWithoutReports(t *testing.T) {
	holder := newFakeVM()
	holder.holdsLease = true
	hub := cluster.NewHub(cluster.Member{Name: "holder"}, holder, clockwork.NewRealClock())
	aggregator := cluster.NewUsageAggregator(hub, holder, clockwork.NewRealClock())
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	_ = aggregator.Run(ctx)
	require.True(t, holder.check(func(v *fakeVM) bool { return v.totals == nil })())
}

func TestLinkedVMRequestsNewerConfiguration(t *testing.T) {
	p := newPair(t)
	p.other.update(func(v *fakeVM) { v.version = 3 })
	p.holder.update(func(v *fakeVM) { v.version = 7 })
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return v.version == 7 }), waitTimeout, pollInterval)
	require.True(t, p.holder.check(func(v *fakeVM) bool { return v.compressedSent > 0 })())
}

// A lease holder whose read of the store hangs must get a newer configuration from a linked VM that has it.
func TestHolderRequestsNewerConfiguration(t *testing.T) {
	p := newPair(t)
	p.other.update(func(v *fakeVM) { v.version = 7 })
	p.holder.update(func(v *fakeVM) { v.version = 3 })
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return v.version == 7 }), waitTimeout, pollInterval)
}

func TestHolderReportsUnavailableStore(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.spoke.Members()) == 2 }, waitTimeout, pollInterval)
	require.False(t, p.spoke.HolderStoreUnavailable())
	p.holder.update(func(v *fakeVM) { v.storeUnavailable = true })
	require.Eventually(t, p.spoke.HolderStoreUnavailable, waitTimeout, pollInterval)
}

func TestRunnersAreRequestedWhileStoreIsUnavailable(t *testing.T) {
	p := newPair(t)
	p.other.update(func(v *fakeVM) { v.storeUnavailable = true })
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedRunners) == 1 }), waitTimeout, pollInterval)
}

func TestHeartbeatCarriesLeasePosition(t *testing.T) {
	p := newPair(t)
	position := logservice.Position{
		Era:    2,
		Offset: 12,
	}
	p.holder.update(func(v *fakeVM) { v.leasePosition = position })
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return v.holderPosition == position }), waitTimeout, pollInterval)
}

func TestResignationReachesLinkedVM(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 2 }, waitTimeout, pollInterval)
	p.holder.update(func(v *fakeVM) { v.holdsLease, v.resignedFence = false, 9 })
	p.hub.BroadcastHeartbeat()
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return v.holderResignedFence == 9 }), waitTimeout, pollInterval)
}

func TestHolderHandlesItsOwnDemandLocally(t *testing.T) {
	p := newPair(t)
	p.other.update(func(v *fakeVM) { v.holdsLease, v.rates = true, []orders.Rate{{Model: "m"}} })
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedDemand["other"]) == 1 }), waitTimeout, pollInterval)
	p.spoke.ReportMissingModel("s", "m", "")
	require.Len(t, p.other.receivedMissing, 1)
}

// Releases are not part of the encoded registrations, which VMs of an older build could not decode then.
func TestReleasesReachLinkedVM(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 2 }, waitTimeout, pollInterval)
	p.hub.BroadcastChanges([]roster.Change{
		{ID: "removed"},
		{ID: "a", Runner: &roster.Runner{ID: "a", Release: "v1"}},
		{ID: "b", Runner: &roster.Runner{ID: "b"}},
		{ID: "c", Runner: &roster.Runner{ID: "c", Release: "v2"}},
		{ID: "d", Runner: &roster.Runner{ID: "d"}},
	})
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedChanges) == 5 }), waitTimeout, pollInterval)
	p.other.update(func(v *fakeVM) {
		releases := make(map[string]string)
		for _, change := range v.receivedChanges {
			if change.Runner != nil {
				releases[change.ID] = change.Runner.Release
			}
		}
		require.Equal(t, map[string]string{"a": "v1", "b": "", "c": "v2", "d": ""}, releases)
	})
}

func TestOriginsReachHolder(t *testing.T) {
	p := newPair(t)
	batch := origin.Batch{
		Service: "s",
		Release: "v1",
		Keys:    []byte("12345678"),
	}
	require.Eventually(t, func() bool { return p.spoke.SendOrigins([]origin.Batch{batch}) }, waitTimeout, pollInterval)
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedOrigins) > 0 }), waitTimeout, pollInterval)
	p.holder.update(func(v *fakeVM) { require.Equal(t, batch, v.receivedOrigins[0]) })
	p.spoke.SendStarts([]origin.Batch{batch})
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedStarts) > 0 }), waitTimeout, pollInterval)
	p.holder.update(func(v *fakeVM) { require.Equal(t, batch, v.receivedStarts[0]) })
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 2 }, waitTimeout, pollInterval)
	p.hub.SendStarts([]origin.Batch{batch})
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedStarts) > 0 }), waitTimeout, pollInterval)
	p.other.update(func(v *fakeVM) { require.Equal(t, batch, v.receivedStarts[0]) })
	require.True(t, p.spoke.Linked())
}
