package entry

import "fmt"

// ListenError reports an address on which the process can't listen.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// StopError reports calls that were cut off because the stop timeout expired.
type StopError struct {
	Calls int
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("stop timeout expired: %d calls in flight were cut off", e.Calls)
}
