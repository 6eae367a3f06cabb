package ledger

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// StaleError reports an intent that was decided without knowing of a newer one for the same endpoint.
type StaleError struct {
	Endpoint string
	Base     logservice.Offset
	Last     logservice.Offset
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("intent for endpoint %s is based on offset %d, but the last intent is at offset %d", e.Endpoint,
		e.Base, e.Last)
}

// BusyError reports an intent for a model that an open order may still load or unload on the same accelerator.
type BusyError struct {
	Replica ReplicaKey
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("model %s on accelerator %d of endpoint %s has an open order",
		e.Replica.Model, e.Replica.Accelerator, e.Replica.Endpoint)
}

// UnknownIntentError reports a settlement or abandonment of an intent that isn't open.
type UnknownIntentError struct {
	Intent string
}

// Error implements error.
func (e *UnknownIntentError) Error() string { return fmt.Sprintf("intent %s is not open", e.Intent) }
