package load

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Options configures a run.
type Options struct {
	// Addresses are the addresses at which the entry VMs serve callers, used round-robin as by a load balancer.
	Addresses []string
	// Configuration names the models and services to call.
	Configuration configuration.Configuration
	Duration      time.Duration
	// Rate is the calls per second after the first second.
	Rate float64
	// StartFactor multiplies the rate during the first second; values below 1 count as 1.
	StartFactor float64
	Seed        uint64
	// Tokens is the number of tokens of each model answer.
	Tokens int
	// ServiceShare is the share of the calls that go to plain services; about half of them carry a key.
	ServiceShare float64
	// Verify reports whether the text of a complete answer is correct; nil accepts any text.
	Verify func(model, prompt, text string, tokens int) bool
	// Progress is called regularly with the number of completed calls; it may be nil.
	Progress func(completed int)
}
