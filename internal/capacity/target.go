package capacity

import "time"

// Target size of the system.
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
	ReplicasPerModel = 4

	// Control-plane budgets of each node: the fraction of a core, bytes of memory, and network traffic.
	CoreBudget    = 0.032
	MemoryBudget  = 64 << 20
	TrafficBudget = 2 << 10
	// LogAppendBudget is the highest allowed rate of appends to the log service, per second.
	LogAppendBudget = 200

	// KeyedCallsPerSecond is the assumed rate of keyed calls at the target size, per second.
	KeyedCallsPerSecond = 500

	runnersPerShard = 10
	day             = 24 * time.Hour
)
