package serving

import (
	"context"
	"time"
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
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(housekeepingInterval):
		}
		s.Pool.Prune()
		s.leaveIfAlone(ctx)
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
	if len(s.host.Members()) > 1 {
		s.linkedOnce, s.alone = true, now
		return
	}
	if s.linkedOnce && now.Sub(s.alone) >= aloneTime {
		s.tenure.StepDown(ctx, aloneRest)
	}
}

// vms returns how many entry VMs share the limits, as far as the holder of the lease knows.
func (s *Server) vms() int {
	members := s.spoke.Members()
	if s.Holds() {
		members = s.host.Members()
	}
	return max(len(members), fewestVMs)
}
