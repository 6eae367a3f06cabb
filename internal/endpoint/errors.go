package endpoint

import "fmt"

// UnsentError reports a call of which no byte can have reached the endpoint.
type UnsentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("endpoint %s not reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// UnansweredError reports a call that was sent and not answered.
type UnansweredError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("endpoint %s did not answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP status by which an endpoint declined a call.
type StatusError struct {
	Address string
	Status  int
	Body    []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint %s answered with HTTP status %d", e.Address, e.Status)
}

// TruncatedError reports a streamed answer that ended before its end mark.
type TruncatedError struct {
	Cause error
}

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// ForeignError reports an answer that belongs to another call.
type ForeignError struct {
	Want string
	Got  string
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("answer to call %q came for %q", e.Got, e.Want)
}
