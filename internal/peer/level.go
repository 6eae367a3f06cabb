package peer

import (
	"math"
	"time"
)

// NotServed is the level of a model that no endpoint of a failure domain serves.
const NotServed int8 = -1

const levelStep = 25 * time.Millisecond

// LevelOf rounds a wait up to a power of two of steps, so that digests change only when it matters.
func LevelOf(wait time.Duration) int8 {
	if wait <= levelStep {
		return 0
	}
	return int8(math.Ceil(math.Log2(float64(wait) / float64(levelStep))))
}

// WaitOf returns the longest wait that a level stands for.
func WaitOf(level int8) time.Duration {
	if level <= 0 {
		return levelStep
	}
	return levelStep << level
}
