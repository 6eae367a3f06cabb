package fakelog

import "time"

// Faults says how the log misbehaves.
type Faults struct {
	// Outage refuses every request.
	Outage bool
	// Delay is added to every append and read.
	Delay time.Duration
	// LostAnswer is the share of appends whose answer is dropped after they took effect.
	LostAnswer float64
	// Refused is the share of appends refused before they take effect.
	Refused float64
}
