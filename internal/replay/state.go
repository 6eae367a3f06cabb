package replay

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// SnapshotKind is the kind of a record that holds a whole state, in any stream.
const SnapshotKind record.Kind = "Snapshot"

// State is an immutable value built from the records of a stream.
type State[S any] interface {
	// Apply returns the state after a record. A non-nil error says why the record was skipped; the returned state is valid
	// all the same.
	Apply(r logservice.Record) (S, error)
	// LastOffset returns the offset of the last applied record.
	LastOffset() logservice.Offset
	// Snapshot returns a record that holds the state, or false if the state needs no record that is past retention.
	Snapshot() (record.Envelope, bool)
	// Restore returns the state that a snapshot holds.
	Restore(snapshot record.Envelope) (S, error)
}
