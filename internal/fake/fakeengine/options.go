package fakeengine

import "time"

// Options sizes an engine.
type Options struct {
	Name             string
	Service          string
	Accelerators     int
	AcceleratorBytes int64
	Slots            int
	PrefillPerSecond float64
	TokenInterval    time.Duration
	EnforcesFencing  bool
	// PersistsFence keeps the highest fencing number over a restart.
	PersistsFence bool
	// LoadTime is how long the engine takes to load a model once the store has handed it over.
	LoadTime time.Duration
}

// Faults says how an engine misbehaves.
type Faults struct {
	// LostOrder is the share of orders dropped before they run.
	LostOrder float64
	// LostAnswer is the share of orders that run and whose answer is dropped.
	LostAnswer float64
	// LateOrder is the share of orders whose answer is dropped and that run after LateBy.
	LateOrder float64
	LateBy    time.Duration
	// DieAfterTokens breaks every answer after so many tokens; 0 never does.
	DieAfterTokens int
	// Foreign tags answers with another call's ID.
	Foreign bool
	// ReportAge freezes the report for this long.
	ReportAge time.Duration
}
