package admission

import "time"

const (
	// costWeight is how much headroom a call needs for each bit of work that it brings.
	costWeight = 20
	// openShare is the part of the bound up to which the queue ahead keeps no call out, however long its prompt.
	openShare = 0.2
)

// Fits reports whether a call that takes the engine cost for its own prompt, and is predicted to have its first token
// after predicted, may be admitted under a bound. Under pressure the many that are quickly answered go before the few
// that hold them all up; while there is little ahead, only the bound counts.
func Fits(predicted, cost, bound time.Duration) bool {
	if predicted > bound {
		return false
	}
	ahead := predicted - cost
	return ahead <= max(bound-costWeight*cost, time.Duration(openShare*float64(bound)))
}
