package ledger

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// Observations has what a lease holder has observed when it tries to settle an open intent.
type Observations struct {
	Report endpoint.Report
	// FencePersists reports whether the engine enforces fencing and keeps its fencing number over restarts.
	FencePersists bool
	// SenderGone reports whether the VM incarnation that sends the order is known to be gone.
	SenderGone bool
	// SenderInactiveFor is how long the holder has known that the sender abandoned the intent or is gone.
	SenderInactiveFor time.Duration
	// DeliveryBound is the longest time that the network can delay an order.
	DeliveryBound time.Duration
}

// Settle returns why an open intent's order can have no further effect, or false while it still may have one.
//
// A restart of the engine settles nothing: a sender that is paused between its last check and the send reaches the new
// incarnation, and an engine that forgets its fencing number in a restart carries out orders that it refused before.
func Settle(o OpenOrder, obs Observations) (Settlement, bool) {
	reason, ok := settlementReason(o, obs)
	return Settlement{
		Intent:      o.Intent.ID,
		Reason:      reason,
		Incarnation: obs.Report.Incarnation,
		Sequence:    obs.Report.Sequence,
	}, ok
}

func settlementReason(o OpenOrder, obs Observations) (Reason, bool) {
	sameIncarnation := obs.Report.Incarnation == o.Intent.Incarnation
	newer := sameIncarnation && obs.Report.Sequence > o.Intent.Sequence
	senderInactive := o.Abandoned || obs.SenderGone
	switch {
	case newer && isLoaded(obs.Report, o.Intent) == (o.Intent.Action == endpoint.Load):
		return Seen, true
	case obs.FencePersists && obs.Report.Fence > o.Intent.OrderFence():
		return Fenced, true
	case senderInactive && obs.SenderInactiveFor > obs.DeliveryBound:
		return Expired, true
	default:
		return "", false
	}
}

// isLoaded reports whether the model of an intent is on its accelerator.
func isLoaded(report endpoint.Report, intent Intent) bool {
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

// OrderFence returns the fencing number of the order; the low bits are reserved for orders during a log outage.
func (i Intent) OrderFence() uint64 { return uint64(i.Fence) << 16 }

// Order returns the order to send.
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
