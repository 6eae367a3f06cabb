package orders

import (
	"context"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Order tells a runner to load or unload a model or one of its adapters.
type Order struct {
	Unload  bool
	Model   string
	Adapter string
	// Expect is how many orders the runner must have accepted before; the runner checks it when it carries the order out.
	Expect uint64
	Holder string
	Fence  uint64
}

// Result is a runner's answer to an order.
type Result string

// The results.
const (
	// Accepted orders are being carried out.
	Accepted Result = "Accepted"
	// Holds means that what was ordered is already so.
	Holds Result = "Holds"
	// Conflict means that another order is under way or the count of orders differs.
	Conflict Result = "Conflict"
	// Fenced means that a higher fencing number was seen.
	Fenced Result = "Fenced"
	// Misdirected means that the runner is another one or lacks the model.
	Misdirected Result = "Misdirected"
	// Invalid means that the runner can't make sense of the order.
	Invalid Result = "Invalid"
)

// State is a runner's report, some hundred milliseconds old.
type State struct {
	Models []roster.Holding
	// Busy tells that an order is being carried out.
	Busy bool
	// Orders is how many orders the runner has accepted.
	Orders uint64
	// Coming is the adapters on their way, which have their places already and are not yet listed with their models.
	Coming []layout.Adapter
}

// Client speaks to runners; it fails like dispatch.Sender.
type Client interface {
	Order(ctx context.Context, to *roster.Runner, o Order) (Result, error)
	Report(ctx context.Context, to *roster.Runner) (State, error)
}
