package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// evenPart is the part of the shares of a quota that all VMs have evenly.
	evenPart = 0.05
	// shareSmoothing and creditSmoothing are the times over which demand is smoothed for shares and for credit.
	shareSmoothing  = 15 * time.Second
	creditSmoothing = 2 * time.Second
	// initialDemand is the part of the rate that all VMs together are assumed to need before they have reported demand.
	initialDemand = 0.5
	// settleTime is how long the first holder of a deployment waits for other VMs to report before it counts them.
	settleTime = 2 * time.Second
	// changeRatio and minChange are the least changes of a share that are sent before the next renewal.
	changeRatio = 0.1
	minChange   = 0.002
)

// Allocator divides the quotas among the VMs while this VM holds the order lease. It is safe for concurrent use.
type Allocator struct {
	mu     sync.Mutex
	fence  uint64
	number uint64
	// startedAt is when the tenure was first seen, recordedVMs the number of VMs by the records of the lease then.
	startedAt   time.Duration
	recordedVMs int
	allocatedAt time.Duration
	vms         map[VM]*vmState
	accounts    map[string]*accountState
}

// accountState is what the holder knows of an account at all VMs.
type accountState struct {
	// supply is the units that all VMs together may have been given or refilled.
	supply float64
	// demandLevel is the level of a token bucket from which all demand is taken.
	demandLevel float64
}

// Outgoing is a grant that is to be sent to a VM.
type Outgoing struct {
	VM    VM
	Grant *Grant
}

// NewAllocator returns an allocator that knows no VM.
func NewAllocator() *Allocator {
	return &Allocator{
		vms:      make(map[VM]*vmState),
		accounts: make(map[string]*accountState),
	}
}

// Start begins a tenure unless it has begun; recordedVMs is the number of VMs by the records of the lease, 0 if unknown. What was
// known in an earlier tenure is forgotten.
func (a *Allocator) Start(fence uint64, recordedVMs int, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence == a.fence {
		return
	}
	a.fence, a.number, a.startedAt, a.allocatedAt, a.recordedVMs = fence, 0, now, now, recordedVMs
	clear(a.vms)
	clear(a.accounts)
}

// Record records the report of a VM, nil if the VM is of a build that knows no quotas.
func (a *Allocator) Record(vm VM, r *Report, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.vms[vm]
	if v == nil {
		v = newVMState(now)
		a.vms[vm] = v
	}
	v.record(r, a.fence, now)
}

// VMCount returns the number of VMs known, present or absent, those included that only the records of the lease tell of. It returns
// 0 without a tenure or in another than that of the fencing token, and while most VMs may not have reported yet.
func (a *Allocator) VMCount(fence uint64, now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence == 0 || fence != a.fence || a.recordedVMs == 0 && now-a.startedAt < settleTime {
		return 0
	}
	a.forget(now)
	return a.vmCount(now)
}

func (a *Allocator) vmCount(now time.Duration) int {
	n := len(a.names())
	if now-a.startedAt < absentTime {
		n = max(n, a.recordedVMs)
	}
	return max(n, 1)
}

// names returns the names of the VMs that do not leave; the caller holds the lock.
func (a *Allocator) names() map[string]bool {
	names := make(map[string]bool, len(a.vms))
	for vm, v := range a.vms {
		if !v.leaving {
			names[vm.Name] = true
		}
	}
	return names
}

// forget drops the VMs that have left, were replaced by a later run, or have been absent for long; the caller holds the lock.
func (a *Allocator) forget(now time.Duration) {
	newest := make(map[string]time.Duration)
	for vm, v := range a.vms {
		newest[vm.Name] = max(newest[vm.Name], v.seenAt)
	}
	for vm, v := range a.vms {
		if !v.present(now) && (v.leaving || v.seenAt < newest[vm.Name] || now-v.seenAt > absentTime) {
			a.drop(vm)
		}
	}
}

// drop forgets a VM. What it was given stays used.
func (a *Allocator) drop(vm VM) {
	v := a.vms[vm]
	delete(a.vms, vm)
	for name, st := range v.accounts {
		if st.counted {
			a.accounts[name].supply -= v.charged(name, st)
		}
	}
}

// Allocate divides the quotas among all present VMs and returns the grants to send now: those with changes, and renewals.
func (a *Allocator) Allocate(accounts []catalog.Account, now time.Duration) []Outgoing {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	elapsed := now - a.allocatedAt
	a.allocatedAt = now
	d := division{
		Allocator: a,
		count:     a.vmCount(now),
		elapsed:   elapsed,
		now:       now,
	}
	for vm, v := range a.vms {
		d.all = append(d.all, vm)
		v.next, v.urgent = make([]AccountGrant, 0, len(accounts)), false
	}
	// A fixed order makes the result independent of the order of the map.
	slices.SortFunc(d.all, func(x, y VM) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	for i := range accounts {
		if accounts[i].Quota.Limited() {
			d.divideAccount(&accounts[i])
		}
	}
	var out []Outgoing
	for _, vm := range d.all {
		v := a.vms[vm]
		if len(v.next) == 0 || !v.due(now) {
			continue
		}
		a.number++
		g := &Grant{
			Fence:    a.fence,
			Number:   a.number,
			VMs:      d.count,
			Accounts: v.next,
		}
		v.sent(g, now)
		out = append(out, Outgoing{VM: vm, Grant: g})
	}
	return out
}
