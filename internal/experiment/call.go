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
}

func (c *call) due() time.Duration { return c.arrived + c.objective.FirstToken.Duration }
