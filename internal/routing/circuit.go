package routing

import "time"

const (
	// circuitFailures is the number of consecutive failures that open a circuit. It then blocks calls for circuitMinOpen, and
	// for twice as long after each further failure, up to circuitMaxOpen.
	circuitFailures = 3
	circuitMinOpen  = 500 * time.Millisecond
	circuitMaxOpen  = 10 * time.Second
)

// circuit is a circuit breaker: it keeps calls off an endpoint that fails repeatedly, and allows one probe after each
// wait.
type circuit struct {
	failures int
	// wait is how long an open circuit blocks calls before the next probe; it is 0 while the circuit is closed.
	wait      time.Duration
	nextProbe time.Time
}

func (c *circuit) failed(now time.Time) bool {
	c.failures++
	if c.failures < circuitFailures {
		return false
	}
	opened := c.wait == 0
	c.wait = min(max(2*c.wait, circuitMinOpen), circuitMaxOpen)
	c.nextProbe = now.Add(c.wait)
	return opened
}

func (c *circuit) succeeded() bool {
	wasOpen := c.wait > 0
	*c = circuit{}
	return wasOpen
}

// allowed reports whether a call may pass: always while the circuit is closed, and as the single probe after each wait
// otherwise.
func (c *circuit) allowed(now time.Time) bool {
	if c.wait == 0 {
		return true
	}
	if now.Before(c.nextProbe) {
		return false
	}
	c.nextProbe = now.Add(c.wait)
	return true
}
