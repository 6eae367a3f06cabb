package cluster_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
)

// fakeProxies implements cluster.ProxyVM: tests set its state, and it records the lists it receives.
type fakeProxies struct {
	proxiesMu sync.Mutex
	cutOff    bool
	stopping  bool
	// proxyingEnded is set once no further request is taken.
	proxyingEnded bool
	lists         [][]cluster.Member
}

func (f *fakeProxies) CutOff() bool { f.proxiesMu.Lock(); defer f.proxiesMu.Unlock(); return f.cutOff }
func (f *fakeProxies) Stopping() bool {
	f.proxiesMu.Lock()
	defer f.proxiesMu.Unlock()
	return f.stopping
}

func (f *fakeProxies) ProxyingEnded() bool {
	f.proxiesMu.Lock()
	defer f.proxiesMu.Unlock()
	return f.proxyingEnded
}

// Region takes what comes before a dash for the region.
func (f *fakeProxies) Region(failureDomain string) string {
	region, _, _ := strings.Cut(failureDomain, "-")
	return region
}

func (f *fakeProxies) ReceiveProxies(vms []cluster.Member) {
	f.proxiesMu.Lock()
	defer f.proxiesMu.Unlock()
	f.lists = append(f.lists, vms)
}

func (f *fakeProxies) setReach(cutOff, stopping bool) {
	f.proxiesMu.Lock()
	defer f.proxiesMu.Unlock()
	f.cutOff, f.stopping = cutOff, stopping
}

func (f *fakeProxies) endProxying() {
	f.proxiesMu.Lock()
	defer f.proxiesMu.Unlock()
	f.proxyingEnded = true
}

// received returns the lists received so far.
func (f *fakeProxies) received() [][]cluster.Member {
	f.proxiesMu.Lock()
	defer f.proxiesMu.Unlock()
	return slices.Clone(f.lists)
}

// lastNames returns the sorted names in the newest list, and false if there is no list.
func (f *fakeProxies) lastNames() ([]string, bool) {
	lists := f.received()
	if len(lists) == 0 {
		return nil, false
	}
	names := make([]string, 0)
	for _, m := range lists[len(lists)-1] {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names, true
}

// listed returns a condition: the newest list holds exactly these names.
func (f *fakeProxies) listed(names ...string) func() bool {
	return func() bool {
		got, ok := f.lastNames()
		return ok && slices.Equal(got, names)
	}
}

// joinVM links another VM to the holder until the test ends.
func (p *pair) joinVM(t *testing.T, member cluster.Member) *fakeVM {
	t.Helper()
	vm := newFakeVM()
	vm.holder = p.other.holder
	spoke := cluster.NewSpoke(member, vm, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
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
	return vm
}

func proxyMember(name, domain string) cluster.Member {
	return cluster.Member{
		Name:          name,
		Address:       "127.0.0.1:1",
		FailureDomain: domain,
		Incarnation:   name + "-1",
		TakesProxied:  true,
	}
}

// Only VMs that take requests of others, reach the runners and stay may be listed if there are any.
func TestCutOffVMLearnsOfVMsThatReachRunners(t *testing.T) {
	p := newPair(t)
	p.joinVM(t, proxyMember("sound", "a-1"))
	p.joinVM(t, cluster.Member{Name: "old", Incarnation: "old-1"})
	cutOff := p.joinVM(t, proxyMember("cut", "a-1"))
	cutOff.setReach(true, false)
	changing := p.joinVM(t, proxyMember("changing", "a-1"))
	changing.setReach(false, true)
	p.other.setReach(true, false)
	require.Eventually(t, p.other.listed("sound"), waitTimeout, pollInterval)
	changing.setReach(false, false)
	require.Eventually(t, p.other.listed("changing", "sound"), waitTimeout, pollInterval)
	changing.setReach(true, false)
	require.Eventually(t, p.other.listed("sound"), waitTimeout, pollInterval)
	require.Eventually(t, changing.listed("sound"), waitTimeout, pollInterval)
	require.True(t, p.hub.ReachingVMLinked())
	require.Equal(t, []cluster.Member{proxyMember("sound", "a-1")}, p.other.received()[0])
}

// VMs that stop take requests for a while, and are listed if no other VM reaches the runners.
func TestStoppingVMsAreListedForLackOfOthers(t *testing.T) {
	p := newPair(t)
	stopping := p.joinVM(t, proxyMember("stopping", "a-1"))
	stopping.setReach(false, true)
	p.other.setReach(true, false)
	require.Eventually(t, p.other.listed("stopping"), waitTimeout, pollInterval)
	require.False(t, p.hub.ReachingVMLinked(), "such a VM is no better lease holder")
	sound := p.joinVM(t, proxyMember("sound", "a-1"))
	require.Eventually(t, p.other.listed("sound"), waitTimeout, pollInterval)
	sound.setReach(true, false)
	require.Eventually(t, p.other.listed("stopping"), waitTimeout, pollInterval)
	stopping.endProxying()
	require.Eventually(t, p.other.listed(), waitTimeout, pollInterval)
}

// An empty list says that no VM reaches the runners, which is not the same as no list.
func TestEmptyListOfProxiesArrives(t *testing.T) {
	p := newPair(t)
	p.other.setReach(true, false)
	require.Eventually(t, p.other.listed(), waitTimeout, pollInterval)
	require.Empty(t, p.other.received()[0])
	require.Eventually(t, func() bool { return !p.hub.ReachingVMLinked() }, waitTimeout, pollInterval)
}

// In ordinary times, and from VMs without the lease, no list may be sent.
func TestNoProxiesAreListedWithoutNeed(t *testing.T) {
	p := newPairWith(t, func(holder, _ *fakeVM) { holder.holdsLease = false })
	p.other.setReach(true, false)
	sound := p.joinVM(t, proxyMember("sound", "a-1"))
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 3 }, waitTimeout, pollInterval)
	time.Sleep(2 * time.Second)
	require.Empty(t, p.other.received())
	p.holder.update(func(v *fakeVM) { v.holdsLease = true })
	require.Eventually(t, p.other.listed("sound"), waitTimeout, pollInterval)
	require.Empty(t, sound.received())
}

// The list is sent again each second, and at once when it changes; a VM that reaches the runners again gets no more.
func TestProxiesAreListedOncePerSecond(t *testing.T) {
	p := newPair(t)
	p.joinVM(t, proxyMember("sound", "a-1"))
	p.other.setReach(true, false)
	require.Eventually(t, p.other.listed("sound"), waitTimeout, pollInterval)
	before := len(p.other.received())
	time.Sleep(3100 * time.Millisecond)
	require.InDelta(t, 3, len(p.other.received())-before, 1)
	p.other.setReach(false, false)
	time.Sleep(500 * time.Millisecond)
	after := len(p.other.received())
	time.Sleep(1500 * time.Millisecond)
	require.Len(t, p.other.received(), after)
}

// Of many VMs, 16 are listed, half of them of the region of the VM that is cut off, and not the same ones to each VM.
func TestProxiesAreSampled(t *testing.T) {
	p := newPair(t)
	for i := range 12 {
		p.joinVM(t, proxyMember(fmt.Sprintf("near-%02d", i), "a-1"))
	}
	for i := range 40 {
		p.joinVM(t, proxyMember(fmt.Sprintf("far-%02d", i), "b-1"))
	}
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 54 }, waitTimeout, pollInterval)
	first, second := p.joinVM(t, proxyMember("p1", "a-2")), p.joinVM(t, proxyMember("p2", "a-2"))
	first.setReach(true, false)
	second.setReach(true, false)
	full := func(vm *fakeVM) func() bool {
		return func() bool { names, _ := vm.lastNames(); return len(names) == 16 }
	}
	require.Eventually(t, full(first), waitTimeout, pollInterval)
	require.Eventually(t, full(second), waitTimeout, pollInterval)
	names, _ := first.lastNames()
	near := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !strings.HasPrefix(name, "near-") })
	require.GreaterOrEqual(t, len(near), 8)
	other, _ := second.lastNames()
	require.NotEqual(t, names, other)
}

// The holder itself is one of the VMs that others may use, unless it is cut off, too; cut off, it uses those linked to it.
func TestHolderTakesProxiedRequests(t *testing.T) {
	p := newPairOf(t, proxyMember("holder", "a-1"), func(_, _ *fakeVM) {})
	require.Empty(t, p.hub.Proxies(), "no VM sends requests through itself")
	p.other.setReach(true, false)
	require.Eventually(t, p.other.listed("holder"), waitTimeout, pollInterval)
	p.joinVM(t, proxyMember("sound", "a-1"))
	require.Eventually(t, p.other.listed("holder", "sound"), waitTimeout, pollInterval)
	p.holder.setReach(true, false)
	require.Eventually(t, p.other.listed("sound"), waitTimeout, pollInterval)
	require.Equal(t, []cluster.Member{proxyMember("sound", "a-1")}, p.hub.Proxies())
}
