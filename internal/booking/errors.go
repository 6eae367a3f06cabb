package booking

import "fmt"

// UnavailableError reports a claim that was not recorded, or given up before anything was sent.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("claim not recorded: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// FullError reports that too many claims wait to be recorded.
type FullError struct{}

// Error implements error.
func (e *FullError) Error() string { return "too many claims are waiting" }
