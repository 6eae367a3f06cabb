package serving

import "github.com/cowsliparch/cowsliparch/internal/origin"

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

// Links implements origin.Peers.
func (p *originPeers) Links() uint64 { return p.server.spoke.LinksOpened() }

// Informed implements origin.Peers.
func (p *originPeers) Informed() bool { return !p.server.StoreUnavailable() || p.server.spoke.Linked() }

// VMs implements origin.Peers.
func (p *originPeers) VMs() int { return p.server.vmCount() }
