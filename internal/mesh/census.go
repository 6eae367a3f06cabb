package mesh

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

// UsageAggregator adds up the requests in flight that all linked VMs have at each runner, and broadcasts the totals while this VM
// holds the lease. It is safe for concurrent use.
type UsageAggregator struct {
	host  *Hub
	local LocalVM
	clock clockwork.Clock

	mu      sync.Mutex
	reports map[string]receivedReport
}

// receivedReport is the newest usage report of a VM.
type receivedReport struct {
	usageReport
	at time.Time
}

// NewUsageAggregator returns a census of the VMs linked to a host.
func NewUsageAggregator(host *Hub, local LocalVM, clock clockwork.Clock) *UsageAggregator {
	c := &UsageAggregator{
		host:    host,
		local:   local,
		clock:   clock,
		reports: make(map[string]receivedReport),
	}
	host.census.Store(c)
	return c
}

// Run broadcasts totals until the context ends.
func (c *UsageAggregator) Run(ctx context.Context) error {
	for {
		if !pause.For(ctx, c.clock, usageInterval+totalDelayPerLink*time.Duration(c.host.MemberCount())) {
			return nil
		}
		if c.local.HoldsLease() {
			c.broadcastTotals()
		}
	}
}

func (c *UsageAggregator) record(vm string, report usageReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[vm] = receivedReport{
		usageReport: report,
		at:          c.clock.Now(),
	}
}

// freshReports returns the reports of other VMs that have not expired, and deletes the others.
func (c *UsageAggregator) freshReports() []usageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := make([]usageReport, 0, len(c.reports))
	for vm, r := range c.reports {
		if c.clock.Since(r.at) > usageTTL {
			delete(c.reports, vm)
			continue
		}
		fresh = append(fresh, r.usageReport)
	}
	return fresh
}

// broadcastTotals sends the totals to every VM, including this one. Unless most of the VMs have reported, the totals mean
// nothing and are not sent.
func (c *UsageAggregator) broadcastTotals() {
	others := c.freshReports()
	if len(others) == 0 || 2*(len(others)+1) <= c.host.MemberCount() {
		return
	}
	totals := c.local.Occupancy()
	for _, other := range others {
		totals.Add(other.Occupancy)
	}
	c.local.ReceiveOccupancy(totals)
	c.host.broadcast(frame{Occupancy: totals})
}

// ModelsInUse returns the models and adapters that requests of this VM and of the linked VMs currently use. A request that uses
// an adapter also uses its model.
func (c *UsageAggregator) ModelsInUse() map[roster.Use]bool {
	all := make(map[roster.Use]bool)
	addUses(all, c.local.ModelsInUse())
	for _, other := range c.freshReports() {
		addUses(all, other.Uses)
	}
	return all
}

func addUses(all map[roster.Use]bool, uses []roster.Use) {
	for _, use := range uses {
		all[use] = true
		use.Adapter = ""
		all[use] = true
	}
}
