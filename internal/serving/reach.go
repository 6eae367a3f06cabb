package serving

import "github.com/cowsliparch/cowsliparch/internal/reach"

// newReach returns what watches whether this VM reaches the runners.
func (s *Server) newReach() *reach.Monitor {
	return reach.New(reach.Dependencies{
		Roster:  s.roster.View,
		VMs:     s.vmCount,
		Silence: s.tracker.Silence,
		Opener:  s.Pool,
		Clock:   s.Clock,
		Logger:  s.Logger,
	})
}
