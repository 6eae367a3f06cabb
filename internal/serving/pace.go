package serving

import "github.com/cowsliparch/cowsliparch/internal/pacing"

// TakeSeenPaces implements cluster.PaceKeeper.
func (s *Server) TakeSeenPaces() pacing.Paces { return s.tracker.TakeSeenPaces(s.Clock.Now()) }

// RecordPaces implements cluster.PaceKeeper.
func (s *Server) RecordPaces(seen pacing.Paces) { s.tracker.RecordPaces(seen, s.Clock.Now()) }

// TakeChangedPaces implements cluster.PaceKeeper.
func (s *Server) TakeChangedPaces() pacing.Paces { return s.tracker.TakeChangedPaces(s.Clock.Now()) }

// Paces implements cluster.PaceKeeper.
func (s *Server) Paces() pacing.Paces { return s.tracker.Paces() }

// ReceivePaces implements cluster.PaceKeeper.
func (s *Server) ReceivePaces(paces pacing.Paces) { s.tracker.ApplyPaces(paces) }
