package seeded

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	calm  = 4 * time.Second
	storm = 25 * time.Second
)

// Disturb brings about faults in pairs, with calm times between, until length has passed; fault draws one, brings it about
// and returns how to undo it.
func Disturb(random *rand.Rand, clock clockwork.Clock, length time.Duration, fault func() (undo func())) {
	end := clock.Now().Add(length)
	for clock.Now().Before(end) {
		clock.Sleep(time.Duration(random.Int64N(int64(calm))))
		undo := []func(){
			fault(),
			fault(),
		}
		clock.Sleep(time.Duration(random.Int64N(int64(storm))))
		for _, f := range undo {
			f()
		}
	}
}
