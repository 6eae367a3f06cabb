package experiment

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// call is one request on its way through the model.
type call struct {
	arrived   time.Duration
	model     configuration.Model
	objective configuration.Objective
	caller    string
	prompt    int
	tokens    int
	priority  int64
	order     int
	domain    int

	vm        *vm
	load      *routing.Load
	predicted time.Duration
	sent      time.Duration
	crossing  time.Duration
	first     time.Duration
	started   bool
	over      bool
	// begun tells that the call was admitted before, and its engine failed.
	begun bool
}

// bound is the time left for the next token: the first one, or the one at which a broken answer goes on.
func (c *call) bound(now time.Duration) time.Duration {
	if c.first > 0 {
		return c.objective.FirstToken.Duration
	}
	return c.due() - now
}

func (c *call) due() time.Duration { return c.arrived + c.objective.FirstToken.Duration }
