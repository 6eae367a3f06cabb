package endpoint

import (
	"fmt"
	"net/http"
)

// NotSentError reports a call that failed before any byte of it can have reached the endpoint.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("could not reach endpoint %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError reports a call that may have reached the endpoint but got no complete response.
type NoResponseError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response from endpoint %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP error status in the response of an endpoint.
type StatusError struct {
	Address string
	Status  int
	Body    []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint %s answered with HTTP status %d", e.Address, e.Status)
}

// TruncatedError reports a response that ended before it was complete.
type TruncatedError struct {
	Cause error
}

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// RestartedError reports an endpoint that is not the incarnation that was called.
type RestartedError struct {
	Address string
}

// Error implements error.
func (e *RestartedError) Error() string { return "endpoint " + e.Address + " has restarted" }

// RequestIDMismatchError reports a response whose request ID is not that of the call.
type RequestIDMismatchError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("received the response to %q instead of %q", e.Got, e.Want)
}

// InvalidStatusError reports a final response with a status that HTTP does not define, which is no response to the call.
type InvalidStatusError struct {
	Status int
}

// Error implements error.
func (e *InvalidStatusError) Error() string { return fmt.Sprintf("invalid status %d", e.Status) }

// maxStatus is the greatest status of HTTP.
const maxStatus = 599

// CheckStatus fails with InvalidStatusError unless a status is one of a final response. Calls never ask for another protocol, so that
// the status which changes it is none.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &InvalidStatusError{Status: status}
	}
	return nil
}
