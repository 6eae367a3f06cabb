package serving

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

// quarantineWait bounds how long a starting VM waits for the stored quarantine before it is ready.
const quarantineWait = 3 * time.Second

// quarantineKnown reports whether the stored quarantine has been read, or can't be waited for any longer.
func (s *Server) quarantineKnown() bool {
	return s.guard.Loaded() || s.Clock.Since(s.startedAt) >= quarantineWait
}

// Evidence implements cluster.LocalVM.
func (s *Server) Evidence() quarantine.Evidence { return s.guard.Evidence() }

// ReceiveEvidence implements cluster.LocalVM.
func (s *Server) ReceiveEvidence(e quarantine.Evidence) { s.guard.ReceiveEvidence(e) }

// QuarantineStatus implements cluster.LocalVM.
func (s *Server) QuarantineStatus() quarantine.Status { return s.guard.Status() }

// ReceiveQuarantineStatus implements cluster.LocalVM.
func (s *Server) ReceiveQuarantineStatus(status quarantine.Status) { s.guard.ReceiveStatus(status) }

// guardPeers connects the guard to the other VMs.
type guardPeers struct {
	server *Server
}

// HoldsLease implements promptguard.Peers.
func (p *guardPeers) HoldsLease() bool { return p.server.HoldsLease() }

// Tenure implements promptguard.Peers.
func (p *guardPeers) Tenure() uint64 { return p.server.HeldFence() }

// LinkedToHolder implements promptguard.Peers.
func (p *guardPeers) LinkedToHolder() (link uint64, ok bool) {
	return p.server.spoke.LinksOpened(), !p.server.HoldsLease() && p.server.lease.HolderSeenRecently()
}

// SendEvidence implements promptguard.Peers.
func (p *guardPeers) SendEvidence(e quarantine.Evidence) { p.server.spoke.SendEvidence(e) }

// BroadcastQuarantine implements promptguard.Peers.
func (p *guardPeers) BroadcastQuarantine(s quarantine.Status) { p.server.hub.BroadcastQuarantine(s) }
