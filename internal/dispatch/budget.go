package dispatch

import (
	"sync"
	"time"
)

const (
	// budgetSlots is into how many parts the window of the budget is cut.
	budgetSlots = 20
	// budgetUse is the part of a VM's share that it uses; the rest covers requests that the others count later.
	budgetUse = 0.8
)

// BudgetLimits is what further sends of requests may add up to at a service over all VMs.
type BudgetLimits struct {
	Window time.Duration
	// Ratio is further sends for each request, Slack what may come on top in a window.
	Ratio float64
	Slack float64
}

// Budget bounds this VM's further sends by its share of the limits, one service at a time.
type Budget struct {
	mu       sync.Mutex
	limits   BudgetLimits
	vms      int
	services map[string]*usage
	// start is where slots are counted from, so that jumps of the time of day don't matter.
	start time.Time
}

type usage struct {
	first   [budgetSlots]float64
	further [budgetSlots]float64
	slot    int64
}

// NewBudget returns an unused budget for a system of one VM.
func NewBudget(limits BudgetLimits, now time.Time) *Budget {
	return &Budget{
		start:    now,
		limits:   limits,
		vms:      1,
		services: make(map[string]*usage),
	}
}

// Share sets the limits and among how many VMs the slack is divided.
func (b *Budget) Share(limits BudgetLimits, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.vms = max(vms, 1)
}

// Arrived counts a request for a service.
func (b *Budget) Arrived(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.at(service, now)
	u.first[u.slot%budgetSlots]++
}

// Take counts a further send to a service and reports whether the budget has room for it.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.at(service, now)
	if !b.room(u) {
		return false
	}
	u.further[u.slot%budgetSlots]++
	return true
}

// Room reports whether a further send would be allowed now.
func (b *Budget) Room(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(b.at(service, now))
}

func (b *Budget) room(u *usage) bool {
	var first, further float64
	for i := range budgetSlots {
		first += u.first[i]
		further += u.further[i]
	}
	return further+1 <= budgetUse*(b.limits.Ratio*first+b.limits.Slack/float64(b.vms))
}

// at returns the usage of a service with the slots that have left the window cleared.
func (b *Budget) at(service string, now time.Time) *usage {
	width := max(b.limits.Window/(budgetSlots-1), time.Millisecond)
	slot := int64(now.Sub(b.start) / width)
	u, ok := b.services[service]
	if !ok {
		u = &usage{slot: slot}
		b.services[service] = u
	}
	for steps := 0; u.slot < slot && steps < budgetSlots; steps++ {
		u.slot++
		u.first[u.slot%budgetSlots] = 0
		u.further[u.slot%budgetSlots] = 0
	}
	u.slot = max(u.slot, slot)
	return u
}
