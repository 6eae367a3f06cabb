package cluster_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/origin"
)

// Streams that a VM reports are kept by the lease holder and by VMs of other failure domains, which outlast the loss of the holder's.
func TestStreamsAreKeptInOtherFailureDomains(t *testing.T) {
	p := newPair(t)
	vms := make(map[string]*fakeVM)
	spokes := make(map[string]*cluster.Spoke)
	for name, domain := range map[string]string{"v1": "", "v2": "", "v3": "b", "v4": "b", "v5": "c"} {
		vm := newFakeVM()
		vm.holder = p.other.holder
		vms[name] = vm
		spoke := cluster.NewSpoke(cluster.Member{
			Name:          name,
			FailureDomain: domain,
		}, vm, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
		spokes[name] = spoke
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = spoke.Run(ctx)
		}()
		t.Cleanup(func() {
			stop()
			<-done
		})
	}
	require.Eventually(t, func() bool { return len(p.hub.Members()) == len(vms)+2 }, waitTimeout, pollInterval)
	spokes["v1"].SendStarts([]origin.Batch{{Service: "models"}})
	for _, vm := range []*fakeVM{p.holder, vms["v3"], vms["v5"]} {
		require.Eventually(t, vm.check(func(v *fakeVM) bool { return len(v.receivedStarts) == 1 }), waitTimeout, pollInterval)
	}
	spokes["v3"].SendStarts([]origin.Batch{{Service: "models"}})
	require.Eventually(t, vms["v5"].check(func(v *fakeVM) bool { return len(v.receivedStarts) == 2 }), waitTimeout, pollInterval)
	vms["v3"].update(func(v *fakeVM) { require.Len(t, v.receivedStarts, 1, "it began these itself") })
	p.hub.SendLogged([]origin.Batch{{Service: "models"}})
	for _, vm := range []*fakeVM{vms["v3"], vms["v5"]} {
		require.Eventually(t, vm.check(func(v *fakeVM) bool { return len(v.receivedLogged) == 1 }), waitTimeout, pollInterval)
	}
}
