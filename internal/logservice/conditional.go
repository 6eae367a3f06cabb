package logservice

import (
	"context"
	"fmt"
	"time"
)

// ConditionalLog is a log whose append only succeeds at the expected offset, so that only the first of several concurrent
// writers wins.
type ConditionalLog interface {
	// AppendAt appends a record if the stream ends at the given position. It fails with EndMismatchError if the stream ends at
	// another offset, with UnavailableError if the record was definitely not appended, and with ResponseLostError if it may
	// have been. It fails with EraChangedError if the response is of a later era; the record may have been appended in it.
	AppendAt(ctx context.Context, stream string, at Position, payload []byte) error
	// Read returns records starting at a position and waits up to wait for the first one. If First of the page is greater than
	// the offset, the records in between are no longer retained. It fails with EraChangedError if the response is of a later era,
	// unless it was read from offset 0.
	Read(ctx context.Context, stream string, from Position, wait time.Duration) (Page, error)
}

// EndMismatchError reports that a stream did not end at the offset that an append expected.
type EndMismatchError struct {
	Stream string
	End    Offset
}

// Error implements error.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("log stream %q ends at %d", e.Stream, e.End)
}

// ExpiredError reports that the records starting at an offset are no longer retained.
type ExpiredError struct {
	Stream string
	From   Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log stream %q no longer has records from %d on", e.Stream, e.From)
}
