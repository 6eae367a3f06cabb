package peer

import (
	"math"
	"time"
)

// NotServed is the wait level of a model that no endpoint of a failure domain serves.
const NotServed int8 = -1

const levelStep = 25 * time.Millisecond

// WaitLevel returns the wait level of a wait: the wait is rounded up to a power of two of levelStep, so that heartbeat
// replies carry only changes that matter.
func WaitLevel(wait time.Duration) int8 {
	if wait <= levelStep {
		return 0
	}
	return int8(math.Ceil(math.Log2(float64(wait) / float64(levelStep))))
}

// MaxWait returns the longest wait of a level.
func MaxWait(level int8) time.Duration {
	if level <= 0 {
		return levelStep
	}
	return levelStep << level
}
