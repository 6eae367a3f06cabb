package booking

import "fmt"

// UnavailableError reports that a claim or an outcome was not recorded, or could not be confirmed in time.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("claim not recorded: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// QueueFullError reports that the queue of claims and outcomes is full.
type QueueFullError struct{}

// Error implements error.
func (e *QueueFullError) Error() string { return "too many claims are waiting" }
