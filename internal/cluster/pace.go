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

// broadcastPaces sends every linked VM the paces that changed, and all of them to one that got none on its link yet.
func (h *Hub) broadcastPaces() {
	changed := h.local.TakeChangedPaces()
	var all pacing.Paces
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		paces := changed
		if !s.sentPaces {
			if all == nil {
				all = h.local.Paces()
			}
			paces, s.sentPaces = all, true
		}
		if len(paces) > 0 && !s.link.TrySend(frame{Paces: paces}) {
			s.link.Close()
		}
	}
}
