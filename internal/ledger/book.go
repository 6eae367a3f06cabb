package ledger

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// maxSettled limits the settled orders kept for an endpoint; readers whose report is older still need them.
const maxSettled = 128

// Settled is an order that has had its effect or will never have one.
type Settled struct {
	Intent     Intent
	Settlement Settlement
}

// Book is the immutable order history of one endpoint.
type Book struct {
	Endpoint string
	// Last is the offset of the last intent, which a new intent must name as its base.
	Last    logservice.Offset
	Open    []Open
	Settled []Settled
}

// mayBeUnreported reports whether a settled load may be on the engine although the report, being older, doesn't show it.
// ended reports whether an incarnation of the engine is known to have ended.
func (s Settled) mayBeUnreported(report endpoint.Report, ended func(incarnation string) bool) bool {
	if s.Intent.Action != endpoint.Load || s.Settlement.Reason == Refused || s.Settlement.Reason == NeverSent {
		return false
	}
	if s.Settlement.Incarnation == report.Incarnation {
		return s.Settlement.Sequence > report.Sequence
	}
	return !ended(s.Settlement.Incarnation)
}

func (b Book) withOpen(o Open) Book {
	b.Open = append(slices.Clip(b.Open), o)
	return b
}

// withSettlement closes the open intent at index i; of the settlements of one model on one accelerator only the last is
// kept.
func (b Book) withSettlement(i int, s Settlement) Book {
	intent := b.Open[i].Intent
	b.Open = slices.Delete(slices.Clone(b.Open), i, i+1)
	b.Settled = slices.DeleteFunc(slices.Clone(b.Settled), func(other Settled) bool {
		return other.Intent.ReplicaKey() == intent.ReplicaKey()
	})
	b.Settled = append(b.Settled, Settled{
		Intent:     intent,
		Settlement: s,
	})
	if len(b.Settled) > maxSettled {
		b.Settled = b.Settled[len(b.Settled)-maxSettled:]
	}
	return b
}

// withAbandonment marks the open intent at index i as abandoned.
func (b Book) withAbandonment(i int) Book {
	b.Open = slices.Clone(b.Open)
	b.Open[i].Abandoned = true
	return b
}

// openIndex returns the index of an open intent.
func (b Book) openIndex(intent string) int {
	return slices.IndexFunc(b.Open, func(o Open) bool { return o.Intent.ID == intent })
}
