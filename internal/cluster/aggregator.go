package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// usageInterval is the pause between two usage reports of a VM: about half the duration of a short request.
	usageInterval = 200 * time.Millisecond
	// totalDelayPerLink is added to the pause between two totals for each link, which keeps the totals at about 2 Mbit/s.
	totalDelayPerLink = 2 * time.Millisecond
	// usageTTL is how long the usage report of a VM counts.
	usageTTL = 5 * usageInterval
)

// UsageAggregator adds up the requests in flight that all linked VMs have at each runner, and broadcasts the totals while
// this VM holds the lease. It is safe for concurrent use.
type UsageAggregator struct {
	hub   *Hub
	local LocalVM
	clock clockwork.Clock

	mu      sync.Mutex
	reports map[string]receivedReport
}

// receivedReport is the newest usage report of a VM.
type receivedReport struct {
	usageReport
	receivedAt time.Time
}

// NewUsageAggregator returns an aggregator of the reports of VMs linked to a hub.
func NewUsageAggregator(hub *Hub, local LocalVM, clock clockwork.Clock) *UsageAggregator {
	a := &UsageAggregator{
		hub:     hub,
		local:   local,
		clock:   clock,
		reports: make(map[string]receivedReport),
	}
	hub.aggregator.Store(a)
	return a
}

// Run broadcasts totals and sends the grants of quotas until the context ends.
func (a *UsageAggregator) Run(ctx context.Context) error {
	for {
		if !pause.For(ctx, a.clock, usageInterval+totalDelayPerLink*time.Duration(a.hub.MemberCount())) {
			return nil
		}
		if a.local.HoldsLease() {
			a.broadcastTotals()
			a.hub.broadcastPaces()
			a.hub.broadcastBrittleness()
			if grants := a.local.QuotaGrants(); len(grants) > 0 {
				a.hub.sendGrants(grants)
			}
		}
	}
}

func (a *UsageAggregator) record(vm string, report usageReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[vm] = receivedReport{
		usageReport: report,
		receivedAt:  a.clock.Now(),
	}
}

// freshReports returns the reports of other VMs that have not expired, and deletes the others.
func (a *UsageAggregator) freshReports() []usageReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh := make([]usageReport, 0, len(a.reports))
	for vm, r := range a.reports {
		if a.clock.Since(r.receivedAt) > usageTTL {
			delete(a.reports, vm)
			continue
		}
		fresh = append(fresh, r.usageReport)
	}
	return fresh
}

// broadcastTotals sends the totals to every VM, including this one. Unless most of the VMs have reported, the totals would
// be far too low and are not sent.
func (a *UsageAggregator) broadcastTotals() {
	others := a.freshReports()
	if len(others) == 0 || 2*(len(others)+1) <= a.hub.MemberCount() {
		return
	}
	totals := a.local.Occupancy()
	for _, other := range others {
		totals.Add(other.Occupancy)
	}
	a.local.ReceiveOccupancy(totals)
	a.hub.broadcast(frame{Occupancy: totals})
	if requests := a.local.RequestTotals(); len(requests) > 0 {
		a.local.ReceiveRequestTotals(requests)
		a.hub.broadcast(frame{Requests: requests})
	}
}

// ModelsInUse returns the models and adapters that requests of this VM and of the linked VMs currently use. A request that
// uses an adapter also uses its model.
func (a *UsageAggregator) ModelsInUse() map[roster.ModelUse]bool {
	all := make(map[roster.ModelUse]bool)
	addUses(all, a.local.ModelsInUse())
	for _, other := range a.freshReports() {
		addUses(all, other.Uses)
	}
	return all
}

func addUses(all map[roster.ModelUse]bool, uses []roster.ModelUse) {
	for _, use := range uses {
		all[use] = true
		use.Adapter = ""
		all[use] = true
	}
}
