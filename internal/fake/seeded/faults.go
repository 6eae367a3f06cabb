package seeded

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Upper bounds of the random times without and with faults.
const (
	maxPause     = 4 * time.Second
	maxFaultTime = 25 * time.Second
)

// InjectFaults injects faults in pairs, with pauses between the pairs, until duration has passed; fault injects one random
// fault and returns the function that undoes it.
func InjectFaults(random *rand.Rand, clock clockwork.Clock, duration time.Duration, fault func() (undo func())) {
	end := clock.Now().Add(duration)
	for clock.Now().Before(end) {
		clock.Sleep(time.Duration(random.Int64N(int64(maxPause))))
		undo := []func(){
			fault(),
			fault(),
		}
		clock.Sleep(time.Duration(random.Int64N(int64(maxFaultTime))))
		for _, f := range undo {
			f()
		}
	}
}
