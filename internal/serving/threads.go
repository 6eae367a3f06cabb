package serving

import (
	"context"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/mesh"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// housekeepingInterval is the pause between two rounds of housekeeping.
const housekeepingInterval = time.Second

const (
	// aloneTime is for how long a holder of the lease without links keeps it.
	aloneTime = time.Second
	// aloneRest is for how long it then leaves the lease to others.
	aloneRest = 6 * time.Second
)

// fewestVMs is how many entry VMs are assumed while the holder of the lease is not known.
const fewestVMs = 4

const (
	// slowMbit is what a link carries at least for its VM to hold the lease gladly: the holder of a hundred links sends about
	// 25 Mbit/s in its busiest second.
	slowMbit = 50
	// slowReluctance is by how much later a VM with a slow link claims the lease: longer than two others need to agree.
	slowReluctance = 600 * time.Millisecond
	// slowTenure is after how long such a VM gives it up to one with a faster link, and slowRest for how long it then leaves it.
	slowTenure = 10 * time.Second
	slowRest   = 5 * time.Second
)

// slowLink reports whether a VM's link can hardly carry what the holder of the lease sends.
func slowLink(vm settings.ServingVM) bool { return vm.LinkMbit > 0 && vm.LinkMbit < slowMbit }

// threads returns the control threads of the process.
func (s *Server) threads() []func(context.Context) error {
	return []func(context.Context) error{
		s.watcher.RunConfiguration,
		s.watcher.RunRunners,
		s.tenure.Run,
		s.steward.Run,
		s.spoke.Run,
		s.announcer.Run,
		s.census.Run,
		s.housekeep,
		s.watchSettings,
	}
}

// housekeep closes idle connections past their time and keeps the budget's share current.
func (s *Server) housekeep(ctx context.Context) error {
	for {
		if !pause.For(ctx, s.Clock, housekeepingInterval) {
			return nil
		}
		s.Pool.Prune()
		s.tracker.Keep(s.roster.View(), s.Clock.Now())
		s.leaveIfAlone(ctx)
		s.leaveIfSlow(ctx)
		s.budget.Share(budgetLimits(s.current()), s.vms())
	}
}

// leaveIfAlone gives the lease up when every link to this VM is gone: it may be cut off from the others, which see demand
// that it does not.
func (s *Server) leaveIfAlone(ctx context.Context) {
	if !s.Holds() {
		s.linkedOnce = false
		return
	}
	now := s.Clock.Now()
	if s.host.Size() > 1 {
		s.linkedOnce, s.alone = true, now
		return
	}
	if s.linkedOnce && now.Sub(s.alone) >= aloneTime {
		s.tenure.StepDown(ctx, aloneRest)
	}
}

// leaveIfSlow gives the lease up when this VM's link is slow and one with a faster link could hold it.
func (s *Server) leaveIfSlow(ctx context.Context) {
	now := s.Clock.Now()
	if !s.Holds() {
		s.held = now
		return
	}
	if !slowLink(s.Settings.VM) || now.Sub(s.held) < slowTenure {
		return
	}
	faster := func(m mesh.Member) bool { return !m.SlowLink }
	if slices.ContainsFunc(s.host.Members(), faster) {
		s.tenure.StepDown(ctx, slowRest)
	}
}

// vms returns how many entry VMs share the limits, as far as the holder of the lease knows.
func (s *Server) vms() int {
	if s.Holds() {
		return max(s.host.Size(), fewestVMs)
	}
	return max(len(s.spoke.Members()), fewestVMs)
}
