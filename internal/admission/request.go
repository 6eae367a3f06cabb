package admission

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Request holds the inputs of an admission decision.
type Request struct {
	Caller string
	Class  configuration.Class
	// Bound is the time left until the first token is due.
	Bound time.Duration
	// AlreadyAdmitted is set if the call was admitted before and its endpoint failed; such calls go before new ones.
	AlreadyAdmitted bool
	// PrefillTime is the time that the engine needs for the call's own prompt.
	PrefillTime time.Duration
	// Predicted is the expected time to the first token at the best endpoint.
	Predicted time.Duration
}

// Decision is the result of an admission request.
type Decision struct {
	Admit bool
	// OverShare is set if a caller with fewer calls in flight would have been admitted.
	OverShare bool
	// RetryAfter is how long to wait before a retry may succeed.
	RetryAfter time.Duration
}
