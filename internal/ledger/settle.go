package ledger

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// Facts is what a holder knows when it tries to settle an open intent.
type Facts struct {
	Report endpoint.Report
	// FencePersists tells that the engine enforces fencing and keeps its number over restarts.
	FencePersists bool
	// SenderGone tells that the VM list no longer has the sender.
	SenderGone bool
	// Waited is for how long the holder has seen the intent abandoned, or its sender gone.
	Waited        time.Duration
	DeliveryBound time.Duration
}

// Settle returns why an open intent's order can have no further effect, or false while it may.
//
// A restart of the engine settles nothing: a sender paused between its last check and the send would reach the new
// incarnation, and an engine that forgets its fencing number in a restart would carry out what it refused before.
func Settle(o Open, f Facts) (Settlement, bool) {
	reason, ok := reasonFor(o, f)
	return Settlement{
		Intent:      o.Intent.ID,
		Reason:      reason,
		Incarnation: f.Report.Incarnation,
		Sequence:    f.Report.Sequence,
	}, ok
}

func reasonFor(o Open, f Facts) (Reason, bool) {
	sameRun := f.Report.Incarnation == o.Intent.Incarnation
	newer := sameRun && f.Report.Sequence > o.Intent.Sequence
	gone := o.Abandoned || f.SenderGone
	switch {
	case newer && shows(f.Report, o.Intent) == (o.Intent.Action == endpoint.Load):
		return Seen, true
	case f.FencePersists && f.Report.Fence > o.Intent.OrderFence():
		return Fenced, true
	case gone && f.Waited > f.DeliveryBound:
		return Expired, true
	default:
		return "", false
	}
}

// shows reports whether the model of an intent is on its accelerator.
func shows(report endpoint.Report, intent Intent) bool {
	if intent.Accelerator < 0 || intent.Accelerator >= len(report.Accelerators) {
		return false
	}
	for _, loaded := range report.Accelerators[intent.Accelerator].Loaded {
		if loaded.Model == intent.Model {
			return true
		}
	}
	return false
}

// OrderFence returns the fencing number of the order; the low bits are left for orders during a log outage.
func (i Intent) OrderFence() uint64 { return uint64(i.Fence) << 16 }

// Order returns the order that the intent announces.
func (i Intent) Order() endpoint.Order {
	return endpoint.Order{
		ID:          i.ID,
		Action:      i.Action,
		Model:       i.Model,
		Accelerator: i.Accelerator,
		Bytes:       i.Bytes,
		Fence:       i.OrderFence(),
	}
}
