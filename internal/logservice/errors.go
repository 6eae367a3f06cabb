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

// ResponseLostError reports an append whose response was lost, so that the record may have been appended or not.
type ResponseLostError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *ResponseLostError) Error() string {
	return fmt.Sprintf("response to an append to log stream %q was lost: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected HTTP status in a response of a platform service.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }
