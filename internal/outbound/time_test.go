package outbound_test

import "time"

// waitTimeout limits how long a test waits for a condition; pollInterval is the time between two checks of it.
const (
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
)

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
