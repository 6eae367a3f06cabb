package experiment

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// call is one simulated request.
type call struct {
	arrived        time.Duration
	model          configuration.Model
	objective      configuration.Objective
	caller         string
	promptTokens   int
	responseTokens int
	priority       int64
	arrivalOrder   int
	entryDomain    int

	vm            *vm
	load          *routing.Load
	predicted     time.Duration
	sentAt        time.Duration
	networkDelay  time.Duration
	firstTokenAt  time.Duration
	gotFirstToken bool
	finished      bool
	// retried is set once an engine has failed after the call was admitted.
	retried bool
}

// timeLeft returns the time left until the next token is due. A response that was interrupted by an engine failure gets the
// first-token objective again for the token at which it resumes.
func (c *call) timeLeft(now time.Duration) time.Duration {
	if c.firstTokenAt > 0 {
		return c.objective.FirstToken.Duration
	}
	return c.deadline() - now
}

func (c *call) deadline() time.Duration { return c.arrived + c.objective.FirstToken.Duration }
