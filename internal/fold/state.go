package fold

import "github.com/cowsliparch/cowsliparch/internal/logservice"

// State is an immutable value folded from the records of a stream.
type State[S any] interface {
	// With returns the state after a record; a non-nil error says why the record was skipped,
	// and the returned state is valid all the same.
	With(r logservice.Record) (S, error)
	// Through returns the offset of the last record folded.
	Through() logservice.Offset
}
