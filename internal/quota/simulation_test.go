package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/quota"
)

const (
	reportInterval   = 200 * time.Millisecond
	allocateInterval = 334 * time.Millisecond
	maxDelay         = 400 * time.Millisecond
	restartTime      = 2 * time.Second
	takeoverTime     = 3500 * time.Millisecond
	meanCost         = 1100
	usualPart        = 1 / 1.8
)

// scenario describes one simulated run.
type scenario struct {
	seed   uint64
	vms    int
	length time.Duration
	// burst is the burst of all accounts, in seconds of their rate.
	burst float64
	// hot lists the times at which hot phases begin, hotAccounts how many accounts are hot then.
	hot         []time.Duration
	hotAccounts int
	// spreadHot sends the additional requests of hot accounts over as many new connections as there are usual ones.
	spreadHot bool
	// The faults and when they happen; 0 if they don't.
	partitionFrom, partitionTo time.Duration
	killHolderAt               time.Duration
	loseAllAt                  time.Duration
	lowerAt                    time.Duration
	// flapEvery is the mean time between two losses of a random link.
	flapEvery time.Duration
	// lossRate is the part of the reports and grants that is lost.
	lossRate float64
}

// simVM is a VM; its process is replaced when it restarts.
type simVM struct {
	id      quota.VM
	limiter *quota.Limiter
	run     int
	down    bool
	// cut is set while the VM is partitioned from the holder, linkedFrom is when its link is usable again.
	cut        bool
	linkedFrom time.Duration
	// accounts is the configuration in force.
	accounts []catalog.Account
}

// client is a connection of an account's client to a VM.
type client struct {
	vm     *simVM
	weight float64
	until  time.Duration
}

// admission is an admitted request.
type admission struct {
	at   time.Duration
	cost float64
}

// simAccount is an account with its clients and what became of its requests.
type simAccount struct {
	index             int
	clients           []*client
	hotFrom, hotUntil time.Duration
	factor            float64
	admitted          []admission
	// reference is the bucket of a single VM that serves all requests; wronged are the requests that it admits and the VMs refuse.
	reference   float64
	referenceAt time.Duration
	wronged     int
	offered     int
	everHot     bool
	// hotUnits and hotQuota are the units admitted in hot phases and the quota for them.
	hotUnits, hotQuota float64
}

// simulation runs a scenario.
type simulation struct {
	scenario
	random    *rand.Rand
	now       time.Duration
	agenda    agenda
	steps     int
	vms       []*simVM
	config    []catalog.Account
	accounts  []*simAccount
	holder    *simVM
	fence     uint64
	allocator *quota.Allocator
	recorded  int
	loweredBy time.Duration
}

func rates() []float64 {
	return []float64{110e3, 70e3, 40e3, 24e3, 16e3, 12e3, 9e3, 7.5e3, 6e3, 5e3, 4.2e3, 3.6e3, 3e3, 2.5e3, 2.2e3, 1.9e3}
}

func simulate(s scenario) *simulation {
	sim := &simulation{
		scenario:  s,
		random:    rand.New(rand.NewPCG(s.seed, 11)),
		allocator: quota.NewAllocator(),
		fence:     1,
	}
	for i, rate := range rates() {
		sim.config = append(sim.config, catalog.Account{
			Name: fmt.Sprintf("a%02d", i),
			Quota: catalog.Quota{
				Rate:         rate,
				Burst:        rate * s.burst,
				CountsTokens: true,
				PlainTokens:  1000,
			},
		})
	}
	for i := range s.vms {
		vm := &simVM{id: quota.VM{Name: fmt.Sprintf("vm%02d", i)}}
		sim.vms = append(sim.vms, vm)
		sim.startVM(vm)
	}
	sim.holder = sim.vms[0]
	for i := range sim.config {
		a := &simAccount{
			index:     i,
			reference: sim.config[i].Quota.Burst,
			factor:    1,
		}
		sim.accounts = append(sim.accounts, a)
		for range min(max(int(sim.config[i].Quota.Rate/1500), 3), 30) {
			c := &client{weight: 0.3 + sim.random.ExpFloat64()}
			a.clients = append(a.clients, c)
			sim.connect(c)
		}
		sim.after(0, func() { sim.arrive(a) })
	}
	sim.after(allocateInterval, sim.allocate)
	sim.scheduleFaults()
	for len(sim.agenda) > 0 && sim.agenda[0].at < s.length {
		next := heap.Pop(&sim.agenda).(step)
		sim.now = next.at
		next.run()
	}
	return sim
}

func (s *simulation) report(vm *simVM, run int) {
	if vm.run != run {
		return
	}
	s.after(reportInterval, func() { s.report(vm, run) })
	if vm == s.holder {
		return
	}
	report := vm.limiter.Report(vm.accounts, s.now)
	id, fence := vm.id, s.fence
	s.deliver(vm, func() {
		if s.fence == fence && s.holder != nil {
			s.record(id, report)
		}
	})
}

func (s *simulation) record(id quota.VM, report *quota.Report) {
	s.allocator.Start(s.fence, s.recorded, s.now)
	s.allocator.Record(id, report, s.now)
}

// deliver delivers a frame on the link of a VM after a delay, unless it is lost.
func (s *simulation) deliver(vm *simVM, arrive func()) {
	linked := func() bool { return s.holder != nil && !vm.cut && !vm.down && s.now >= vm.linkedFrom }
	if !linked() || s.random.Float64() < s.lossRate {
		return
	}
	run, from := vm.run, vm.linkedFrom
	s.after(s.upTo(maxDelay), func() {
		if linked() && vm.run == run && vm.linkedFrom == from {
			arrive()
		}
	})
}

func (s *simulation) allocate() {
	s.after(allocateInterval, s.allocate)
	if s.holder == nil {
		return
	}
	s.record(s.holder.id, s.holder.limiter.Report(s.holder.accounts, s.now))
	if n := s.allocator.VMCount(s.fence, s.now); n > 0 {
		s.recorded = n
	}
	if s.recorded == 0 {
		return
	}
	for _, out := range s.allocator.Allocate(s.holder.accounts, s.now) {
		for _, vm := range s.vms {
			switch {
			case vm.id != out.VM:
			case vm == s.holder:
				vm.limiter.Receive(out.Grant, vm.accounts, s.now)
			default:
				s.deliver(vm, func() { vm.limiter.Receive(out.Grant, vm.accounts, s.now) })
			}
		}
	}
}
