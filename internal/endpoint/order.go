package endpoint

// Action is what an order asks for.
type Action string

// The actions.
const (
	Load   Action = "Load"
	Unload Action = "Unload"
	// Raise only raises the fencing number, at engines that enforce it.
	Raise Action = "Raise"
)

// Order asks an engine to change what it has loaded.
type Order struct {
	ID          string
	Action      Action
	Model       string
	Accelerator int
	Bytes       int64
	Fence       uint64
}

// Result is what an engine made of an order.
type Result string

// The results.
const (
	Done    Result = "Done"
	Refused Result = "Refused"
	Failed  Result = "Failed"
)

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	Result      Result
	Incarnation string
	Sequence    uint64
	Fence       uint64
}
