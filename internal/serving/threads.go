package serving

import (
	"context"
	"time"
)

// housekeepingInterval is the pause between two rounds of housekeeping.
const housekeepingInterval = time.Second

// threads returns the control threads of the process.
func (s *Server) threads() []func(context.Context) error {
	return []func(context.Context) error{
		s.watcher.RunConfiguration,
		s.watcher.RunRunners,
		s.housekeep,
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
		s.budget.Share(budgetLimits(s.Settings), s.vms())
	}
}

// vms returns how many entry VMs are thought to share the limits.
func (s *Server) vms() int { return 9 }

// Asked implements dispatch.Wants.
func (s *Server) Asked(_, _, _ string, _ int) {}

// Missing implements dispatch.Wants.
func (s *Server) Missing(_, _, _ string) {}
