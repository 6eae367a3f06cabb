package quota_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/quota"
)

func (s *simulation) scheduleFaults() {
	at := func(when time.Duration, run func()) {
		if when > 0 {
			s.after(when, run)
		}
	}
	for _, begin := range s.hot {
		at(begin, s.heat)
	}
	at(s.partitionFrom, func() {
		for i, vm := range s.vms {
			vm.cut = i%3 == 1
		}
	})
	at(s.partitionTo, func() {
		for _, vm := range s.vms {
			vm.cut = false
		}
	})
	at(s.killHolderAt, func() { s.lose(s.holder) })
	at(s.loseAllAt, func() {
		for _, vm := range s.vms {
			s.lose(vm)
		}
	})
	at(s.lowerAt, s.lower)
	at(s.flapEvery, s.flap)
}

// startVM starts a new process of a VM.
func (s *simulation) startVM(vm *simVM) {
	vm.run++
	vm.id.Incarnation = fmt.Sprint(vm.run)
	vm.limiter = quota.NewLimiter()
	vm.down = false
	vm.linkedFrom = s.now + s.upTo(800*time.Millisecond)
	vm.accounts = slices.Clone(s.config)
	run := vm.run
	s.after(300*time.Millisecond, func() {
		if vm.run == run {
			vm.limiter.KnownVMs(s.recorded)
		}
	})
	s.after(s.upTo(reportInterval), func() { s.report(vm, run) })
}

// lose ends the process of a VM; a new one starts soon.
func (s *simulation) lose(vm *simVM) {
	vm.down = true
	vm.run++
	s.after(restartTime, func() { s.startVM(vm) })
	if vm == s.holder {
		s.holder = nil
		s.after(takeoverTime, s.takeOver)
	}
	for _, a := range s.accounts {
		for _, c := range a.clients {
			if c.vm == vm {
				s.connect(c)
			}
		}
	}
}

func (s *simulation) takeOver() {
	var able []*simVM
	for _, vm := range s.vms {
		if !vm.down && !vm.cut {
			able = append(able, vm)
		}
	}
	s.holder = able[s.random.IntN(len(able))]
	s.fence++
	s.allocator = quota.NewAllocator()
	for _, vm := range s.vms {
		vm.linkedFrom = max(vm.linkedFrom, s.now+s.upTo(800*time.Millisecond))
	}
}

func (s *simulation) flap() {
	vm := s.vms[s.random.IntN(len(s.vms))]
	vm.linkedFrom = s.now + 500*time.Millisecond + s.upTo(time.Second)
	s.after(s.upTo(2*s.flapEvery), s.flap)
}

// lower halves the quotas of all accounts; the VMs get the new version within 4 s.
func (s *simulation) lower() {
	for i := range s.config {
		s.config[i].Quota.Rate /= 2
		s.config[i].Quota.Burst /= 2
	}
	s.loweredBy = s.now + 4*time.Second
	for _, vm := range s.vms {
		s.after(s.upTo(4*time.Second), func() { vm.accounts = slices.Clone(s.config) })
	}
}

// heat makes some accounts hot, the smallest and the largest often among them.
func (s *simulation) heat() {
	order := s.random.Perm(len(s.accounts))
	order = append([]int{len(s.accounts) - 1, s.random.IntN(3)}, order...)
	for _, i := range order[:s.hotAccounts] {
		a := s.accounts[i]
		if s.now < a.hotUntil {
			continue
		}
		a.everHot = true
		a.factor = 4 + 4*s.random.Float64()
		a.hotFrom, a.hotUntil = s.now, s.now+5*time.Second+s.upTo(6*time.Second)
		a.hotQuota += s.config[i].Quota.Rate * (a.hotUntil - a.hotFrom).Seconds()
		if !s.spreadHot {
			continue
		}
		for range len(a.clients) {
			c := &client{weight: 3 * s.random.ExpFloat64()}
			a.clients = append(a.clients, c)
			s.connect(c)
		}
	}
}

// connect connects a client to a VM that runs.
func (s *simulation) connect(c *client) {
	for range 1000 {
		c.vm = s.vms[s.random.IntN(len(s.vms))]
		if !c.vm.down {
			break
		}
	}
	c.until = s.now + 10*time.Second + s.upTo(30*time.Second)
}
