package logservice

import (
	"context"
	"time"
)

// Log is the platform's log service, which stores named streams of records. The records of a stream are totally ordered.
type Log interface {
	// Append appends a record and returns its offset. It fails with UnavailableError if the record was definitely not
	// appended, and with ResponseLostError if it may have been.
	Append(ctx context.Context, stream string, payload []byte) (Offset, error)
	// Read returns up to limit records starting at an offset and waits up to wait for the first one.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
