package serving

import (
	"context"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// ReceiveStarts implements cluster.LocalVM.
func (s *Server) ReceiveStarts(batches []origin.Batch) { s.origins.ReceiveStarts(batches) }

// ReceiveLogged implements cluster.LocalVM.
func (s *Server) ReceiveLogged(batches []origin.Batch) { s.origins.ReceiveLogged(batches) }

// Count implements cluster.LocalVM.
func (s *Server) Count(ctx context.Context) origin.Census { return s.origins.Count(ctx) }

func (s *Server) newOrigins() *origin.Tracker {
	return origin.New(origin.Dependencies{
		Log:           s.Origins,
		Registrations: s.readRegistrations,
		Peers:         &originPeers{server: s},
		Roster:        s.roster.View,
		Clock:         s.Clock,
		BootClock:     s.BootClock,
		Logger:        s.Logger,
	})
}

// readRegistrations implements origin.Registrations.
func (s *Server) readRegistrations(ctx context.Context) ([]*roster.Runner, error) {
	read, err := s.Source.Runners(ctx)
	if err != nil {
		return nil, err
	}
	var runners []*roster.Runner
	for _, change := range read.Changes {
		if change.Runner != nil {
			runners = append(runners, change.Runner)
		}
	}
	return runners, nil
}

// ReceiveOrigins implements cluster.LocalVM.
func (s *Server) ReceiveOrigins(batches []origin.Batch) { s.origins.Receive(batches) }

// originPeers connects the tracker of origins to the other VMs.
type originPeers struct {
	server *Server
}

// HoldsLease implements origin.Peers.
func (p *originPeers) HoldsLease() bool { return p.server.HoldsLease() }

// SendOrigins implements origin.Peers.
func (p *originPeers) SendOrigins(batches []origin.Batch) bool {
	return p.server.spoke.SendOrigins(batches)
}

// SendStarts implements origin.Peers.
func (p *originPeers) SendStarts(batches []origin.Batch) {
	if p.server.HoldsLease() {
		p.server.hub.SendStarts(batches)
		return
	}
	p.server.spoke.SendStarts(batches)
}

// SendLogged implements origin.Peers.
func (p *originPeers) SendLogged(batches []origin.Batch) {
	if p.server.HoldsLease() {
		p.server.hub.SendLogged(batches)
	}
}

// Links implements origin.Peers.
func (p *originPeers) Links() uint64 { return p.server.spoke.LinksOpened() }

// Informed implements origin.Peers.
func (p *originPeers) Informed() bool { return !p.server.StoreUnavailable() || p.server.spoke.Linked() }

// Census implements origin.Peers.
func (p *originPeers) Census(ctx context.Context) (origin.Census, bool) {
	if p.server.HoldsLease() {
		return origin.Census{}, false
	}
	return p.server.spoke.Census(ctx)
}

// VMs implements origin.Peers.
func (p *originPeers) VMs() int { return p.server.vmCount() }

// LogRestored implements origin.Peers.
func (p *originPeers) LogRestored() bool { return p.server.lease.Unclaimed() }

// LogEra implements origin.Peers.
func (p *originPeers) LogEra() logservice.Era {
	next, _ := p.server.lease.ReadPosition()
	return next.Era
}
