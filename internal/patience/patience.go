package patience

import "time"

const (
	// toleratedObjectives is the expected wait for the first token, in objectives, up to which a request is sent: expectations are
	// based on old figures, and a late response is better than none.
	toleratedObjectives = 1.5
	// minRetryAfter is the shortest time after which a refused caller should come back.
	minRetryAfter = 300 * time.Millisecond
	// maxShareOfTime is the share of the time left that a caller is asked to wait at most, so that there is time to answer then.
	maxShareOfTime = 1.0 / 3
	// spread is the width of the range of Retry-After, relative to its mean.
	spread = 0.5
	// retryAfterUnit is the unit of Retry-After in responses, to which a shorter wait would be rounded.
	retryAfterUnit = 10 * time.Millisecond
)

// WorthSending reports whether a request should be sent to a runner that is expected to take a time until the first token.
func WorthSending(expected, objective time.Duration) bool {
	return objective <= 0 || float64(expected) <= toleratedObjectives*float64(objective)
}

// RetryAfter returns when a refused caller should come back, given when the request can probably be served and how long the
// caller will wait; random is in [0, 1).
func RetryAfter(servedIn, left time.Duration, random float64) time.Duration {
	mean := max(servedIn, minRetryAfter)
	if left > 0 {
		mean = max(min(mean, time.Duration(float64(left)*maxShareOfTime/(1+spread/2))), minRetryAfter/2)
	}
	return time.Duration(float64(mean) * (1 - spread/2 + spread*random))
}

// RetryAfterWait returns when a caller that can't be served before a wait has passed should come back: not before that, and spread, so
// that callers refused together don't return together. It is a multiple of retryAfterUnit; random is in [0, 1).
func RetryAfterWait(wait time.Duration, random float64) time.Duration {
	spreadWait := wait + time.Duration(float64(max(wait, minRetryAfter))*spread*random)
	return (spreadWait + retryAfterUnit - 1).Truncate(retryAfterUnit)
}
