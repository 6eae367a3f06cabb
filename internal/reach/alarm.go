package reach

import "time"

// settleTime is the time without a false alarm after which the wait is halved.
const settleTime = 10 * time.Second

// alarm is how long one kind of evidence must last, or not be probed again, which doubles with each false alarm up to a limit.
type alarm struct {
	base  time.Duration
	limit time.Duration
	level int
	// last is when the last false alarm was raised, settled when the level last changed.
	last    time.Time
	settled time.Time
}

// raise records a false alarm.
func (a *alarm) raise(now time.Time) {
	if a.wait(now) < a.limit {
		a.level++
	}
	a.last, a.settled = now, now
}

// wait returns the time as of now.
func (a *alarm) wait(now time.Time) time.Duration {
	for a.level > 0 && now.Sub(a.settled) >= settleTime {
		a.level--
		a.settled = a.settled.Add(settleTime)
	}
	return min(a.base<<a.level, a.limit)
}
