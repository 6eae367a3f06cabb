package load

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Options bounds a run.
type Options struct {
	// Addresses are the callers' addresses of the entry VMs, taken in turn as a balancer would.
	Addresses []string
	// Configuration names the models and services to call.
	Configuration configuration.Configuration
	Duration      time.Duration
	// Rate is calls a second after the wake-up second.
	Rate float64
	// WakeUp is how many times the rate arrives in the first second.
	WakeUp float64
	Seed   uint64
	Tokens int
	// ServiceShare is the part of the calls that go to plain services; half of them carry a key.
	ServiceShare float64
	// Verify checks the text of a whole answer; nil takes any.
	Verify func(model, prompt, text string, tokens int) bool
	// Progress is told now and then how many calls ended; nil is not.
	Progress func(ended int)
}
