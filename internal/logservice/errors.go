package logservice

import "fmt"

// UnavailableError reports that the log service refused or was not reached, so that nothing was added.
type UnavailableError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log stream %q is unavailable: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AnswerLostError reports that an append may have taken effect without its answer arriving.
type AnswerLostError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("answer to an append to log stream %q was lost: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP status that a platform service should not have sent.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }
