package admission

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Request is what a decision is made on.
type Request struct {
	Caller string
	Class  configuration.Class
	// Bound is the time left until the first token is due.
	Bound time.Duration
	// Begun tells that the call was admitted before, and its endpoint failed: it goes before calls that are new.
	Begun bool
	// Cost is the engine's time for the call's own prompt.
	Cost time.Duration
	// Predicted is the expected time to the first token at the best endpoint.
	Predicted time.Duration
}

// Decision is the answer to a request.
type Decision struct {
	Admit bool
	// OverShare tells that a caller with fewer calls in flight would have been admitted.
	OverShare bool
	// RetryAfter is when the call may be worth repeating.
	RetryAfter time.Duration
}
