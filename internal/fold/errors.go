package fold

import "fmt"

// UnknownYetError reports an append whose effect isn't known yet; ask again by ID.
type UnknownYetError struct {
	ID    string
	Cause error
}

// Error implements error.
func (e *UnknownYetError) Error() string {
	return fmt.Sprintf("outcome of record %s is unknown yet: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownYetError) Unwrap() error { return e.Cause }
