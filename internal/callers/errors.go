package callers

import "net/http"

// Reason says why a request was refused or a connection closed.
type Reason string

// The reasons.
const (
	// Memory: all requests together hold too much, and this one held the most or had not grown for long.
	Memory Reason = "Memory"
	// Connections: all connections together are too many.
	Connections Reason = "Connections"
	// HeadTooLarge: the head exceeds the limit.
	HeadTooLarge Reason = "HeadTooLarge"
	// HeadTooSlow: the head was not complete in time.
	HeadTooSlow Reason = "HeadTooSlow"
)

// RefusedError reports that a request was refused before it had been read completely; it has not run.
type RefusedError struct {
	Reason Reason
	// Bytes is what the request was charged for.
	Bytes int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request refused before it was read: " + string(e.Reason)
}

// Status returns the HTTP status that says so.
func (e *RefusedError) Status() int {
	switch e.Reason {
	case HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case HeadTooSlow:
		return http.StatusRequestTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
