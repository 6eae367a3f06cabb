package routing

import "time"

// Candidate is a destination that a call could be sent to: an endpoint, or a peer VM that represents a whole failure
// domain.
type Candidate interface {
	comparable
	// Predict returns the expected time to the call's first token, including the network time to another failure
	// domain, and false if the candidate must not get a call now. The prompt of the call has prefill tokens.
	Predict(prefill int, now time.Time) (time.Duration, bool)
}
