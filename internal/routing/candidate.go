package routing

import "time"

// Candidate is an endpoint, or a peer VM that stands for a whole failure domain, to which a call could go.
type Candidate interface {
	comparable
	// Predict returns the expected time to the first token of a call, crossing included, and false if the
	// candidate must not get one now.
	Predict(prefill int, now time.Time) (time.Duration, bool)
}
