package admission

import "time"

const (
	// headroomPerCost is the headroom that a call needs under the bound, as a multiple of its cost.
	headroomPerCost = 20
	// lightLoadShare is the fraction of the bound that the wait for calls ahead may take before any headroom is needed,
	// however long the call's own prompt is.
	lightLoadShare = 0.2
)

// Fits reports whether a call may be admitted: its first token is expected after predicted and must come within bound, and
// the engine takes cost for its prompt. Under load, the many calls that are answered quickly go before the few that delay
// all others; while there is little ahead, only the bound counts.
func Fits(predicted, cost, bound time.Duration) bool {
	if predicted > bound {
		return false
	}
	ahead := predicted - cost
	return ahead <= max(bound-headroomPerCost*cost, time.Duration(lightLoadShare*float64(bound)))
}
