package logservice

import "fmt"

// UnavailableError reports that the log service refused a request or could not be reached, so that nothing was appended.
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

// AnswerLostError reports an append whose response was lost, so that the record may have been appended or not.
type AnswerLostError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("response to an append to log stream %q was lost: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected HTTP status in a response of a platform service.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }
