package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/quota"
)

// group is a holder's allocator with VMs that are linked to it without delay.
type group struct {
	allocator *quota.Allocator
	accounts  []catalog.Account
	vms       map[quota.VM]*quota.Limiter
	now       time.Duration
	fence     uint64
	recorded  int
	sent      int
}

func newGroup(names ...string) *group {
	g := &group{
		allocator: quota.NewAllocator(),
		accounts:  []catalog.Account{requestAccount()},
		vms:       make(map[quota.VM]*quota.Limiter),
		fence:     1,
	}
	for _, name := range names {
		g.vms[quota.VM{Name: name, Incarnation: "1"}] = quota.NewLimiter()
	}
	return g
}

// advance runs reports and grants for some time; each VM requests its units per round.
func (g *group) advance(d time.Duration, demand map[string]int) (admittedUnits map[string]int) {
	admittedUnits = make(map[string]int)
	for end := g.now + d; g.now < end; g.now += 200 * time.Millisecond {
		g.allocator.Start(g.fence, g.recorded, g.now)
		for vm, l := range g.vms {
			admittedUnits[vm.Name] += admitted(l, g.accounts[0], demand[vm.Name], g.now)
			g.allocator.Record(vm, l.Report(g.accounts, g.now), g.now)
		}
		for _, out := range g.allocator.Allocate(g.accounts, g.now) {
			g.sent++
			if l := g.vms[out.VM]; l != nil {
				l.Receive(out.Grant, g.accounts, g.now)
			}
		}
	}
	return admittedUnits
}

func (g *group) share(name string) float64 {
	for vm, l := range g.vms {
		if vm.Name == name {
			return l.Status(g.now).Accounts[0].Share
		}
	}
	return -1
}

func (g *group) remove(name string) {
	for vm := range g.vms {
		if vm.Name == name {
			delete(g.vms, vm)
		}
	}
}

func TestUnitsGoWhereTheDemandIs(t *testing.T) {
	g := newGroup("x", "y", "z")
	g.advance(5*time.Second, map[string]int{"x": 40})
	units := g.advance(10*time.Second, map[string]int{"x": 40})
	require.InDelta(t, 1000, units["x"], 40, "all of the quota")
	require.Greater(t, g.share("x"), 0.9)
	units = g.advance(10*time.Second, map[string]int{"y": 40})
	require.Greater(t, units["y"], 900, "nearly all of it at once")
	require.LessOrEqual(t, g.share("x")+g.share("y")+g.share("z"), 1.0001)
}

// While nothing changes, grants are only renewed: bytes between failure domains have a price.
func TestUnchangedGrantsAreRenewedOnly(t *testing.T) {
	g := newGroup("x", "y")
	g.advance(60*time.Second, nil)
	g.sent = 0
	g.advance(10*time.Second, nil)
	require.LessOrEqual(t, g.sent, 2*18)
}

// Most of the units must stay at the disposal of the other VMs when a VM is lost, and what it may still use must not be given twice.
func TestShareOfAbsentVMIsReserved(t *testing.T) {
	g := newGroup("x", "y")
	demand := map[string]int{"x": 40, "y": 40}
	g.advance(20*time.Second, demand)
	require.InDelta(t, 0.5, g.share("x"), 0.1)
	g.remove("y")
	g.advance(4*time.Second, demand)
	units := g.advance(10*time.Second, demand)
	require.InDelta(t, 500, units["x"], 120)
	require.Equal(t, 2, g.allocator.VMCount(g.fence, g.now))
}

// A VM that leaves as planned must not be counted any more, and its share is free at once.
func TestLeavingVMIsForgotten(t *testing.T) {
	g := newGroup("x", "y")
	g.advance(5*time.Second, nil)
	for vm, l := range g.vms {
		if vm.Name == "y" {
			r := l.Report(g.accounts, g.now)
			r.Leaving = true
			g.allocator.Record(vm, r, g.now)
		}
	}
	require.Equal(t, 1, g.allocator.VMCount(g.fence, g.now))
	g.remove("y")
	g.advance(5*time.Second, map[string]int{"x": 40})
	require.InDelta(t, 1000, g.advance(10*time.Second, map[string]int{"x": 40})["x"], 60)
}

// A restarted VM must count once, and the units of its former run need not be reserved.
func TestNewRunReplacesTheFormerOne(t *testing.T) {
	g := newGroup("x", "y")
	demand := map[string]int{"x": 40}
	g.advance(10*time.Second, demand)
	g.remove("x")
	g.vms[quota.VM{Name: "x", Incarnation: "2"}] = quota.NewLimiter()
	require.Equal(t, 2, g.allocator.VMCount(g.fence, g.now))
	g.advance(5*time.Second, demand)
	require.InDelta(t, 1000, g.advance(10*time.Second, demand)["x"], 60)
	require.Equal(t, 2, g.allocator.VMCount(g.fence, g.now))
}

// The earlier holder's grants to VMs that the new one doesn't know are still in force.
func TestNewHolderLeavesUnknownVMsTheirShares(t *testing.T) {
	g := newGroup("x", "y")
	demand := map[string]int{"x": 40, "y": 40}
	g.advance(20*time.Second, demand)
	g.remove("y")
	g.fence, g.recorded = 2, g.allocator.VMCount(1, g.now)
	g.now += 3 * time.Second
	g.advance(5*time.Second, demand)
	require.Less(t, g.share("x"), 0.6)
	require.InDelta(t, 500, g.advance(10*time.Second, demand)["x"], 120)
}

func TestAddedAccountIsGranted(t *testing.T) {
	g := newGroup("x", "y")
	g.advance(5*time.Second, nil)
	added := requestAccount()
	added.Name = "b"
	g.accounts = []catalog.Account{added, g.accounts[0]}
	g.advance(5*time.Second, map[string]int{"x": 10})
	require.InDelta(t, 500, g.advance(10*time.Second, map[string]int{"x": 10})["x"], 10)
}

// After the loss of all VMs, processes report before they know how many VMs there are, and thus no share. The new holder must count the
// even share that each uses, or else nothing of the quota is granted for half a minute.
func TestFreshVMsBringTheEvenShare(t *testing.T) {
	g := newGroup("x", "y", "z")
	g.recorded = 3
	g.advance(time.Second, nil)
	units := g.advance(5*time.Second, map[string]int{"x": 10, "y": 10, "z": 10})
	require.InDelta(t, 500, units["x"]+units["y"]+units["z"], 150, "the rate, and no more than it and the burst")
}
