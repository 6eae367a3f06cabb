package cluster

import "github.com/cowsliparch/cowsliparch/internal/brittle"

// BrittlenessKeeper keeps what runners state on how many requests they can reject.
type BrittlenessKeeper interface {
	// BrittlenessReceived returns what runners stated to this VM, or nil if none did.
	BrittlenessReceived() brittle.Statements
	// Brittleness returns all statements known here, or nil.
	Brittleness() brittle.Statements
	// ReceiveBrittleness handles statements that another VM knows.
	ReceiveBrittleness(statements brittle.Statements)
}

// recordBrittleness records the statements of a usage report.
func (h *Hub) recordBrittleness(report *usageReport) {
	if len(report.Brittle) > 0 {
		h.local.ReceiveBrittleness(report.Brittle)
	}
}

// broadcastBrittleness sends every linked VM the statements of runners, if there are any.
func (h *Hub) broadcastBrittleness() {
	if statements := h.local.Brittleness(); len(statements) > 0 {
		h.broadcast(frame{Brittle: statements})
	}
}
