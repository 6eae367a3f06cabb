package shedding

import "time"

// Request is a request to a model on which a decision is due.
type Request struct {
	Service string
	Model   string
	// Rank is the urgency, 0 is the highest. First is set if no request of the service is more urgent and some are less.
	Rank  int
	First bool
	// Objective is the target time from the arrival to the first event, 0 if there is none.
	Objective time.Duration
	// Left is the time until the deadline, Waited how long the request has been delayed.
	Left   time.Duration
	Waited time.Duration
	// Work is the estimated work in tokens, see Work.
	Work float64
}

// Work returns the estimated work of a request in tokens. A maximum counts as if it were used up: the time that a token takes is
// learned from the same estimate, so that the usual ratio is included there.
func Work(promptTokens, maxTokens int) float64 {
	return float64(max(promptTokens, 0) + max(maxTokens, 0) + 1)
}

// Supply is the state of the runners that can take requests to a model, all numbers over all VMs.
type Supply struct {
	// Wait is the expected time to the first event of the next request.
	Wait time.Duration
	// Throughput is how many requests per second the runners end with all slots in use, infinite if that isn't known.
	Throughput float64
	// Occupied is the number of requests at the runners, Capacity the number at which the next one is still answered within the
	// shortest objective.
	Occupied float64
	Capacity float64
	// Slots is how many requests the runners process at once.
	Slots float64
	// Relief is how long it takes until one more runner can have the model.
	Relief time.Duration
	// Demand is the number of requests per second to the model, 0 if it isn't known.
	Demand float64
}

// Action is what to do with a request.
type Action string

// The actions.
const (
	Send   Action = "Send"
	Delay  Action = "Delay"
	Refuse Action = "Refuse"
)

// Reason is why a request is delayed or refused.
type Reason string

// The reasons.
const (
	// Capacity means that more urgent or smaller requests use up the capacity.
	Capacity Reason = "Capacity"
	// Wait means that the expected wait is too long for the objective.
	Wait Reason = "Wait"
	// Deadline means that the response would not end before the deadline.
	Deadline Reason = "Deadline"
	// Order means that more urgent requests were refused more often than those of this rank.
	Order Reason = "Order"
)

// Decision is the decision on a request.
type Decision struct {
	Action Action
	Reason Reason
	// For is the time after which to ask again if the action is Delay, or the Retry-After if it is Refuse.
	For time.Duration
}
