package logservice

import "fmt"

// Era numbers the histories of a log service. It rises when the service comes back from an older copy, after which offsets are given
// out again; 0 stands for a service that states none.
type Era uint64

// Position is an offset in one era. The offset 0 is the start of a stream in any era.
type Position struct {
	Era    Era
	Offset Offset
}

// WithOffset returns the position at another offset of the same era.
func (p Position) WithOffset(offset Offset) Position {
	return Position{
		Era:    p.Era,
		Offset: offset,
	}
}

// EraChangedError reports that the log service came back from an older copy since a position was read, so that the position means
// nothing any more. What was appended at it may be lost, or may have been appended in the new era.
type EraChangedError struct {
	Stream string
	Era    Era
}

// Error implements error.
func (e *EraChangedError) Error() string {
	return fmt.Sprintf("log stream %q was restored from a copy, in era %d", e.Stream, e.Era)
}
