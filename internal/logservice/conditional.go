package logservice

import (
	"context"
	"fmt"
	"time"
)

// Conditional is a log whose records can be appended at an expected offset only, which makes the first of several
// writers win.
type Conditional interface {
	// AppendAt adds a record if the stream ends at the offset; it fails with MovedError when it ends elsewhere, with
	// UnavailableError when the record was certainly not added, and with AnswerLostError when it may have been.
	AppendAt(ctx context.Context, stream string, at Offset, payload []byte) error
	// Read returns the records from an offset on, waiting up to wait for the first one; a page whose First is greater
	// than the offset starts after records that are gone.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// MovedError reports that a stream did not end where an append expected.
type MovedError struct {
	Stream string
	End    Offset
}

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("log stream %q ends at %d", e.Stream, e.End)
}

// ExpiredError reports that the records after an offset are no longer retained.
type ExpiredError struct {
	Stream string
	From   Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log stream %q no longer has records from %d on", e.Stream, e.From)
}
