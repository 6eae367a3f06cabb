package placement

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
)

// Runner is an engine as its ledger accounts for it.
type Runner struct {
	Name     string
	Slots    int
	Accounts []ledger.Account
	// Leaving runners get no loads, and their replicas don't count.
	Leaving bool
}

// Want is what a shard should have of one model.
type Want struct {
	Model string
	Bytes int64
	// Floor is the least number of replicas here.
	Floor int
	// Keep tells that the last replica here must stay: the shard is the model's anchor, or none is known.
	Keep bool
	// Elsewhere tells that another failure domain serves the model.
	Elsewhere bool
	// CallsPerSecond is the demand on this failure domain.
	CallsPerSecond float64
	// AnswerTime is how long one call takes a slot.
	AnswerTime time.Duration
}

// Input is what a plan is made from.
type Input struct {
	Wants   []Want
	Runners []Runner
	// MovePrice is the attained answers that a move must gain to be worth it.
	MovePrice float64
	// MaxLoads is how many loads may be begun now without overrunning the weight store.
	MaxLoads int
	// LoadTime is how long a load takes until the model serves.
	LoadTime time.Duration
}

// Move is one order that the plan asks for.
type Move struct {
	Action      endpoint.Action
	Model       string
	Bytes       int64
	Runner      string
	Accelerator int
	Why         string
}
