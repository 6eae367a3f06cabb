package ledger

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// maxSettled limits the settled orders kept for an endpoint; readers whose report is older still need them.
const maxSettled = 128

// SettledOrder is an order that has had its effect or will never have one.
type SettledOrder struct {
	Intent     Intent
	Settlement Settlement
}

// EndpointOrders is the immutable order history of one endpoint.
type EndpointOrders struct {
	Endpoint string
	// Last is the offset of the last intent, which a new intent must name as its base.
	Last    logservice.Offset
	Open    []OpenOrder
	Settled []SettledOrder
}

// mayBeUnreported reports whether a settled load may be on the engine although the report, being older, doesn't show it.
// ended reports whether an incarnation of the engine is known to have ended.
func (s SettledOrder) mayBeUnreported(report endpoint.Report, ended func(incarnation string) bool) bool {
	if s.Intent.Action != endpoint.Load || s.Settlement.Reason == Refused || s.Settlement.Reason == NeverSent {
		return false
	}
	if s.Settlement.Incarnation == report.Incarnation {
		return s.Settlement.Sequence > report.Sequence
	}
	return !ended(s.Settlement.Incarnation)
}

func (h EndpointOrders) withOpen(o OpenOrder) EndpointOrders {
	h.Open = append(slices.Clip(h.Open), o)
	return h
}

// withSettlement closes the open intent at index i; of the settlements of one model on one accelerator only the last is
// kept.
func (h EndpointOrders) withSettlement(i int, s Settlement) EndpointOrders {
	intent := h.Open[i].Intent
	h.Open = slices.Delete(slices.Clone(h.Open), i, i+1)
	h.Settled = slices.DeleteFunc(slices.Clone(h.Settled), func(other SettledOrder) bool {
		return other.Intent.ReplicaKey() == intent.ReplicaKey()
	})
	h.Settled = append(h.Settled, SettledOrder{
		Intent:     intent,
		Settlement: s,
	})
	if len(h.Settled) > maxSettled {
		h.Settled = h.Settled[len(h.Settled)-maxSettled:]
	}
	return h
}

// withAbandonment marks the open intent at index i as abandoned.
func (h EndpointOrders) withAbandonment(i int) EndpointOrders {
	h.Open = slices.Clone(h.Open)
	h.Open[i].Abandoned = true
	return h
}

// openIndex returns the index of an open intent.
func (h EndpointOrders) openIndex(intent string) int {
	return slices.IndexFunc(h.Open, func(o OpenOrder) bool { return o.Intent.ID == intent })
}
