package fakelog

import "time"

// Faults configures the faults that the log injects.
type Faults struct {
	// Outage fails every request.
	Outage bool
	// Delay is added to every append and read.
	Delay time.Duration
	// LostAnswer is the share of appends whose answer is dropped after the record was added.
	LostAnswer float64
	// RefusedAppend is the share of appends that are refused without adding the record.
	RefusedAppend float64
}
