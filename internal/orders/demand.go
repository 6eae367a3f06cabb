package orders

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
)

// reportFresh is for how long the rates that a VM told count; VMs tell theirs about twice a second.
const reportFresh = 2 * time.Second

// reports keeps the newest rates of each VM.
type reports struct {
	mu   sync.Mutex
	byVM map[string]report
}

type report struct {
	rates []Rate
	at    time.Time
}

func newReports() *reports {
	return &reports{
		byVM: make(map[string]report),
	}
}

func (r *reports) take(vm string, rates []Rate, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byVM[vm] = report{
		rates: rates,
		at:    now,
	}
}

// demand sums up the fresh rates for a service, and tells of how many VMs.
func (r *reports) demand(service string, now time.Time) (layout.Demand, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := layout.Demand{
		Work:     make(map[string]float64),
		Requests: make(map[string]float64),
		Adapters: make(map[string]map[string]float64),
	}
	for vm, told := range r.byVM {
		if now.Sub(told.at) > reportFresh {
			delete(r.byVM, vm)
			continue
		}
		for _, rate := range told.rates {
			if rate.Service == service {
				add(d, rate)
			}
		}
	}
	return d, len(r.byVM)
}

func add(d layout.Demand, rate Rate) {
	if rate.Adapter == "" {
		d.Work[rate.Model] += rate.Work
		d.Requests[rate.Model] += rate.Requests
		return
	}
	if d.Adapters[rate.Model] == nil {
		d.Adapters[rate.Model] = make(map[string]float64)
	}
	d.Adapters[rate.Model][rate.Adapter] += rate.Requests
}
