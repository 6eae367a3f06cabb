package cluster

import "github.com/cowsliparch/cowsliparch/internal/pacing"

// PaceKeeper keeps the paces of runners as this VM knows them.
type PaceKeeper interface {
	// TakeSeenPaces returns the lowest figure of each runner that reported one to this VM since the last call, or nil.
	TakeSeenPaces() pacing.Paces
	// RecordPaces handles figures that another VM has seen, while this VM holds the lease.
	RecordPaces(seen pacing.Paces)
	// TakeChangedPaces returns the paces that changed here since the last call, or nil, while this VM holds the lease.
	TakeChangedPaces() pacing.Paces
	// Paces returns all paces known here, or nil.
	Paces() pacing.Paces
	// ReceivePaces handles paces that the lease holder sent.
	ReceivePaces(paces pacing.Paces)
}

// recordPaces records the figures of a usage report.
func (h *Hub) recordPaces(report *usageReport) {
	if len(report.Paces) > 0 && h.local.HoldsLease() {
		h.local.RecordPaces(report.Paces)
	}
}

// sendPaces sends all paces to a VM that was just linked.
func (h *Hub) sendPaces(s *session) {
	if !h.local.HoldsLease() {
		return
	}
	h.sendingPaces.Lock()
	defer h.sendingPaces.Unlock()
	if paces := h.local.Paces(); len(paces) > 0 {
		_ = s.link.TrySend(frame{Paces: paces})
	}
}

// broadcastPaces sends every linked VM the paces that changed.
func (h *Hub) broadcastPaces() {
	h.sendingPaces.Lock()
	defer h.sendingPaces.Unlock()
	if changed := h.local.TakeChangedPaces(); len(changed) > 0 {
		h.broadcast(frame{Paces: changed})
	}
}
