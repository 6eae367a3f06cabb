package serving

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// learnedFor is for how long the holder's word goes before a runner's registration, which lags by about two seconds.
	learnedFor = 3 * time.Second
	// goneFor is the same for the word that a runner gives something up: it declines requests for it at once, and keeps it in its
	// registration until the last of them has ended, ten seconds at most.
	goneFor = 12 * time.Second
)

// Holds implements mesh.Local.
func (s *Server) Holds() bool {
	_, ok := s.tenure.Fence()
	return ok
}

// HolderAddress implements mesh.Local.
func (s *Server) HolderAddress() (string, bool) {
	claim, ok := s.tenure.Holder()
	return claim.Address, ok && claim.Incarnation != s.incarnation
}

// Lease implements mesh.Local.
func (s *Server) Lease() (next logservice.Offset, resigned uint64) { return s.tenure.Position() }

// HolderSpoke implements mesh.Local.
func (s *Server) HolderSpoke(next logservice.Offset) { s.tenure.Linked(next) }

// HolderResigned implements mesh.Local.
func (s *Server) HolderResigned(fence uint64) { s.tenure.Resigned(fence) }

// Version implements mesh.Local.
func (s *Server) Version() uint64 { return s.inForce.Version() }

// Configuration implements mesh.Local.
func (s *Server) Configuration() []byte {
	if newest := s.watcher.Newest(); newest != nil {
		return newest.Encoded
	}
	return nil
}

// Runners implements mesh.Local.
func (s *Server) Runners() []roster.Runner {
	all := s.roster.View().All()
	out := make([]roster.Runner, 0, len(all))
	for _, r := range all {
		out = append(out, *r)
	}
	return out
}

// StoreOut implements mesh.Local.
func (s *Server) StoreOut() bool { return s.watcher.Out() }

// TakeConfiguration implements mesh.Local.
func (s *Server) TakeConfiguration(encoded []byte) {
	if err := s.watcher.Adopt(encoded); err != nil {
		event.RecordSkipped.Log(s.Logger, event.Error(err))
	}
}

// TakeRunners implements mesh.Local.
func (s *Server) TakeRunners(runners []roster.Runner) { s.watcher.TakeRunners(runners) }

// Learn implements mesh.Local.
func (s *Server) Learn(facts []orders.Holding) {
	now := s.Clock.Now()
	for _, f := range facts {
		lasts := learnedFor
		if !f.Held {
			lasts = goneFor
		}
		s.tracker.Learn(f.Runner, f.Model, f.Adapter, f.Held, now, lasts)
	}
}

// TakeChanges implements mesh.Local.
func (s *Server) TakeChanges(changes []roster.Change) { s.watcher.TakeChanges(changes) }

// Occupancy implements mesh.Local.
func (s *Server) Occupancy() roster.Occupancy { return s.tracker.Occupancy() }

// Uses implements mesh.Local.
func (s *Server) Uses() []roster.Use { return s.tracker.Uses() }

// TakeOccupancy implements mesh.Local.
func (s *Server) TakeOccupancy(sum roster.Occupancy) { s.tracker.TakeOccupancy(sum, s.Clock.Now()) }

// Rates implements mesh.Local.
func (s *Server) Rates() []orders.Rate { return s.meter.Rates(s.Clock.Now()) }

// Demand implements mesh.Local.
func (s *Server) Demand(vm string, rates []orders.Rate) { s.steward.Demand(vm, rates) }

// Missing implements mesh.Local.
func (s *Server) Missing(service, model, adapter string) { s.steward.Missing(service, model, adapter) }

// announce tells this VM and all others facts about runners.
func (s *Server) announce(facts []orders.Holding) {
	s.Learn(facts)
	s.announcer.Announce(facts)
}

// Forward implements registry.Peers: the holder tells all other VMs what it read, so that they need to read less often.
func (s *Server) Forward(changes []roster.Change) {
	if s.Holds() {
		s.host.Forward(changes)
	}
}

// Linked implements registry.Peers.
func (s *Server) Linked() (link uint64, ok bool) {
	return s.spoke.Links(), !s.Holds() && s.tenure.Heard() && !s.spoke.HolderOut()
}

// wants forwards what callers ask for.
type wants struct {
	server *Server
}

// Asked implements dispatch.Wants.
func (w *wants) Asked(service, model, adapter string) {
	w.server.meter.Add(service, model, adapter, w.server.Clock.Now())
}

// Took implements dispatch.Wants.
func (w *wants) Took(service, model string, took time.Duration, late bool) {
	w.server.meter.Took(service, model, took, late)
}

// Missing implements dispatch.Wants.
func (w *wants) Missing(service, model, adapter string) {
	w.server.spoke.Missing(service, model, adapter)
}
