package proxy_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/proxy"
)

func members(names ...string) []cluster.Member {
	list := make([]cluster.Member, 0, len(names))
	for _, name := range names {
		list = append(list, cluster.Member{
			Name:          name,
			Address:       name + ":1",
			FailureDomain: "a",
			Incarnation:   "1",
			TakesProxied:  name != "old",
		})
	}
	return list
}

func listedIDs(d *proxy.Directory) []string {
	return slices.Sorted(maps.Keys(d.VMs().All()))
}

// The holder's list goes before the members of its heartbeats, also if it is empty, unless it has become old.
func TestDirectoryUsesNewestSource(t *testing.T) {
	clock := clockwork.NewFakeClock()
	holds := false
	d := proxy.NewDirectory(proxy.Sources{
		Name:       "p",
		HoldsLease: func() bool { return holds },
		Linked:     func() []cluster.Member { return members("linked") },
		Members:    func() []cluster.Member { return members("p", "old", "beat") },
	}, clock)
	require.Equal(t, []string{"beat/1"}, listedIDs(d))
	d.Receive(members("q", "r"))
	require.Equal(t, []string{"q/1", "r/1"}, listedIDs(d))
	runner, ok := d.VMs().Runner("q/1")
	require.True(t, ok)
	require.Equal(t, dispatch.ProxyService, runner.Service)
	require.Equal(t, "q:1", runner.Address)
	require.Equal(t, "a", runner.FailureDomain)
	require.Positive(t, runner.Slots)
	require.Len(t, d.VMs().Service(dispatch.ProxyService), 2)
	d.Receive(nil)
	require.Empty(t, listedIDs(d))
	holds = true
	clock.Advance(time.Second)
	require.Equal(t, []string{"linked/1"}, listedIDs(d))
	holds = false
	clock.Advance(time.Second)
	require.Equal(t, []string{"linked/1"}, listedIDs(d), "what it knew as the holder")
	clock.Advance(time.Minute)
	require.Equal(t, []string{"beat/1"}, listedIDs(d))
}

// A list without VMs must not leave this VM without one long after it has been cut off.
func TestEmptyListExpiresSoon(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := proxy.NewDirectory(proxy.Sources{
		Name:       "p",
		HoldsLease: func() bool { return false },
		Linked:     func() []cluster.Member { return nil },
		Members:    func() []cluster.Member { return members("beat") },
	}, clock)
	d.Receive(nil)
	clock.Advance(2 * time.Second)
	require.Empty(t, listedIDs(d))
	clock.Advance(2 * time.Second)
	require.Equal(t, []string{"beat/1"}, listedIDs(d))
}
