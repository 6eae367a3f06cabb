package outbound_test

import "time"

// waitLimit bounds how long a test waits for something that must happen; tick is the pause between two looks.
const (
	waitLimit = 20 * time.Second
	tick      = 2 * time.Millisecond
)

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
