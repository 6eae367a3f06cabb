package placement

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
)

// Runner is one model engine of the shard, with the memory of its accelerators as accounted for in the ledger.
type Runner struct {
	Name         string
	Slots        int
	Accelerators []ledger.AcceleratorMemory
	// Leaving is set for a runner that must get no loads and whose replicas don't count.
	Leaving bool
}

// Target is the shard's target for one model: its minimum replicas and its demand.
type Target struct {
	Model string
	Bytes int64
	// Floor is the minimum number of replicas on this shard.
	Floor int
	// KeepLast forbids unloading the shard's last replica: the shard is the model's anchor, or the model has no known anchor.
	KeepLast bool
	// ServedByOtherDomain reports whether another failure domain serves the model.
	ServedByOtherDomain bool
	// CallsPerSecond is the call rate in this failure domain.
	CallsPerSecond float64
	// AnswerTime is how long one call occupies a slot.
	AnswerTime time.Duration
}

// Input is the state and demand of a shard from which a plan is made.
type Input struct {
	Targets []Target
	Runners []Runner
	// MovePrice is how many more calls answered within their objective a move must gain to be worth making.
	MovePrice float64
	// MaxLoads is how many loads may start now without exceeding the shard's share of the weight store.
	MaxLoads int
	// LoadTime is how long a load takes until the model is ready.
	LoadTime time.Duration
}

// Move is one load or unload of a plan.
type Move struct {
	Action      endpoint.Action
	Model       string
	Bytes       int64
	Runner      string
	Accelerator int
	Why         string
}
