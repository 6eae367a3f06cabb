package logservice

import (
	"context"
	"time"
)

// Log is the platform's log service: named streams of records in one total order each.
type Log interface {
	// Append adds a record and returns its offset; it fails with UnavailableError when the record
	// was certainly not added, and with AnswerLostError when it may have been.
	Append(ctx context.Context, stream string, payload []byte) (Offset, error)
	// Read returns the records from an offset on, waiting up to wait for the first one.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}
