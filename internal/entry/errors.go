package entry

import "fmt"

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// StopError reports calls that were cut because the stop deadline passed.
type StopError struct {
	Calls int
}

// Error implements error.
func (e *StopError) Error() string { return fmt.Sprintf("the stop deadline cut %d calls", e.Calls) }
