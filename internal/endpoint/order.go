package endpoint

// Action is the operation that an order requests.
type Action string

// The actions.
const (
	Load   Action = "Load"
	Unload Action = "Unload"
	// RaiseFence only raises the fencing number, for engines that enforce fencing.
	RaiseFence Action = "Raise"
)

// Order is a command to an engine to load or unload a model, or to raise its fencing number.
type Order struct {
	ID          string
	Action      Action
	Model       string
	Accelerator int
	Bytes       int64
	Fence       uint64
}

// Result is the result of an order at an engine.
type Result string

// The results.
const (
	Done    Result = "Done"
	Refused Result = "Refused"
	Failed  Result = "Failed"
)

// OrderResponse is the response of an engine to an order.
type OrderResponse struct {
	Result      Result
	Incarnation string
	Sequence    uint64
	Fence       uint64
}
