package ledger

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// keptSettled bounds how many settled orders of an endpoint are kept for readers whose report is older.
const keptSettled = 128

// Settled is an order known to have had its effect, or to have none.
type Settled struct {
	Intent     Intent
	Settlement Settlement
}

// Book is the immutable account of one endpoint.
type Book struct {
	Endpoint string
	// Last is the offset of the last intent, which a new intent must name as its base.
	Last    logservice.Offset
	Open    []Open
	Settled []Settled
}

// mayHide reports whether a settled load may be on the engine although a report, being older, does not show it. past
// tells whether an incarnation of the engine is known to be over.
func (s Settled) mayHide(report endpoint.Report, past func(incarnation string) bool) bool {
	if s.Intent.Action != endpoint.Load || s.Settlement.Reason == Refused || s.Settlement.Reason == NeverSent {
		return false
	}
	if s.Settlement.Incarnation == report.Incarnation {
		return s.Settlement.Sequence > report.Sequence
	}
	return !past(s.Settlement.Incarnation)
}

func (b Book) withOpen(o Open) Book {
	b.Open = append(slices.Clip(b.Open), o)
	return b
}

// withSettlement closes the open intent at an index; only the last settlement of each place is kept.
func (b Book) withSettlement(i int, s Settlement) Book {
	intent := b.Open[i].Intent
	b.Open = slices.Delete(slices.Clone(b.Open), i, i+1)
	b.Settled = slices.DeleteFunc(slices.Clone(b.Settled), func(other Settled) bool {
		return other.Intent.Place() == intent.Place()
	})
	b.Settled = append(b.Settled, Settled{
		Intent:     intent,
		Settlement: s,
	})
	if len(b.Settled) > keptSettled {
		b.Settled = b.Settled[len(b.Settled)-keptSettled:]
	}
	return b
}

func (b Book) withAbandonment(i int) Book {
	b.Open = slices.Clone(b.Open)
	b.Open[i].Abandoned = true
	return b
}

func (b Book) find(intent string) int {
	return slices.IndexFunc(b.Open, func(o Open) bool { return o.Intent.ID == intent })
}
