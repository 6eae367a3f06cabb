package fold

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// SnapshotKind is the kind of record that repeats a folded state in any stream.
const SnapshotKind record.Kind = "Snapshot"

// State is an immutable value folded from the records of a stream.
type State[S any] interface {
	// With returns the state after a record; a non-nil error says why the record was skipped,
	// and the returned state is valid all the same.
	With(r logservice.Record) (S, error)
	// Through returns the offset of the last record folded.
	Through() logservice.Offset
	// Snapshot returns the record that repeats the state, or false for a state that needs no record older than
	// what the log retains.
	Snapshot() (record.Envelope, bool)
	// Restore returns the state that a snapshot repeats.
	Restore(snapshot record.Envelope) (S, error)
}
