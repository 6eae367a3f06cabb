package capacity

import "time"

// The target size.
const (
	Nodes            = 340
	Runners          = 600
	Accelerators     = 4800
	CallsPerSecond   = 13000
	TokensPerSecond  = 2.8e6
	Models           = 1800
	FailureDomains   = 6
	ChangesPerDay    = 680
	TokenInterval    = 33 * time.Millisecond
	ReplicasOfAModel = 4

	// The budgets of control for each node.
	CoreShare      = 0.032
	MemoryBytes    = 64 << 20
	BytesPerSecond = 2 << 10
	// LogAppends is how many appends a second the log service is asked for at most.
	LogAppends = 200

	// KeyedCalls is how many keyed calls a second the target is taken to have.
	KeyedCalls = 500

	shardRunners = 10
	day          = 24 * time.Hour
)
