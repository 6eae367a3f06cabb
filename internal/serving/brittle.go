package serving

import "github.com/cowsliparch/cowsliparch/internal/brittle"

// BrittlenessReceived implements cluster.BrittlenessKeeper.
func (s *Server) BrittlenessReceived() brittle.Statements {
	return s.tracker.BrittlenessReceived(s.Clock.Now())
}

// Brittleness implements cluster.BrittlenessKeeper.
func (s *Server) Brittleness() brittle.Statements { return s.tracker.Brittleness(s.Clock.Now()) }

// ReceiveBrittleness implements cluster.BrittlenessKeeper.
func (s *Server) ReceiveBrittleness(statements brittle.Statements) {
	s.tracker.ApplyBrittleness(statements, s.Clock.Now())
}
