package routing

import "time"

const (
	circuitFailures = 3
	circuitMinOpen  = 500 * time.Millisecond
	circuitMaxOpen  = 10 * time.Second
)

// circuit keeps calls off an endpoint that keeps failing, and lets one probe pass after each wait.
type circuit struct {
	failures int
	open     time.Duration
	until    time.Time
}

func (c *circuit) failed(now time.Time) bool {
	c.failures++
	if c.failures < circuitFailures {
		return false
	}
	opened := c.open == 0
	c.open = min(max(2*c.open, circuitMinOpen), circuitMaxOpen)
	c.until = now.Add(c.open)
	return opened
}

func (c *circuit) succeeded() bool {
	wasOpen := c.open > 0
	*c = circuit{}
	return wasOpen
}

// allowed lets a call pass when the circuit is closed, or as the one probe of its wait.
func (c *circuit) allowed(now time.Time) bool {
	if c.open == 0 {
		return true
	}
	if now.Before(c.until) {
		return false
	}
	c.until = now.Add(c.open)
	return true
}
