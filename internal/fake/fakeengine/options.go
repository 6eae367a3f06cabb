package fakeengine

import "time"

// Options configures an engine.
type Options struct {
	Name             string
	Service          string
	Accelerators     int
	AcceleratorBytes int64
	Slots            int
	PrefillPerSecond float64
	TokenInterval    time.Duration
	// EnforcesFencing refuses orders whose fencing token is below the highest one seen.
	EnforcesFencing bool
	// PersistsFence keeps the highest fencing token across a restart.
	PersistsFence bool
	// LoadTime is how long the engine takes to load a model after it has fetched the weights from the store.
	LoadTime time.Duration
}

// Faults configures the faults that an engine injects.
type Faults struct {
	// LostOrder is the share of orders that are dropped without being executed.
	LostOrder float64
	// LostAnswer is the share of orders that are executed but whose response is dropped.
	LostAnswer float64
	// LateOrder is the share of orders that are executed after LateBy and whose response is dropped.
	LateOrder float64
	LateBy    time.Duration
	// AbortAfterTokens aborts every streamed response after this many tokens, and every other response before it is sent; 0
	// disables the fault.
	AbortAfterTokens int
	// WrongRequestID sends responses with a request ID other than the call's.
	WrongRequestID bool
	// ReportAge is how long the engine keeps returning the same report.
	ReportAge time.Duration
}
