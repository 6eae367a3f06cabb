package orders

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
)

// demandReportTTL is how long the rates reported by a VM count; VMs report about twice a second.
const demandReportTTL = 2 * time.Second

// demandReports keeps the newest rates reported by each VM.
type demandReports struct {
	mu   sync.Mutex
	byVM map[string]demandReport
}

type demandReport struct {
	rates      []Rate
	receivedAt time.Time
}

func newDemandReports() *demandReports {
	return &demandReports{
		byVM: make(map[string]demandReport),
	}
}

func (r *demandReports) store(vm string, rates []Rate, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byVM[vm] = demandReport{
		rates:      rates,
		receivedAt: now,
	}
}

// demand sums the rates for a service from unexpired reports, and returns how many VMs have one.
func (r *demandReports) demand(service string, now time.Time) (layout.Demand, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := layout.Demand{
		Work:     make(map[string]float64),
		Requests: make(map[string]float64),
		Adapters: make(map[string]map[string]float64),
	}
	for vm, report := range r.byVM {
		if now.Sub(report.receivedAt) > demandReportTTL {
			delete(r.byVM, vm)
			continue
		}
		for _, rate := range report.rates {
			if rate.Service == service {
				addRate(d, rate)
			}
		}
	}
	return d, len(r.byVM)
}

// requestTotals returns the requests per second to each model over all VMs, as far as they are at least minimum.
func (r *demandReports) requestTotals(now time.Time, minimum float64) []RequestRate {
	type key struct{ service, model string }
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[key]float64)
	for _, report := range r.byVM {
		if now.Sub(report.receivedAt) > demandReportTTL {
			continue
		}
		for _, rate := range report.rates {
			if rate.Adapter == "" {
				sums[key{service: rate.Service, model: rate.Model}] += rate.Requests
			}
		}
	}
	var totals []RequestRate
	for k, requests := range sums {
		if requests >= minimum {
			totals = append(totals, RequestRate{
				Service:  k.service,
				Model:    k.model,
				Requests: float32(requests),
			})
		}
	}
	return totals
}

func addRate(d layout.Demand, rate Rate) {
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
