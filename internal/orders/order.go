package orders

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Order tells a runner to load or unload a model or one of its adapters.
type Order struct {
	Unload  bool
	Model   string
	Adapter string
	// ExpectedOrders is how many orders the runner must have accepted before; otherwise it declines the order with Conflict.
	ExpectedOrders uint64
	Holder         string
	Fence          uint64
}

// Result is a runner's response to an order.
type Result string

// Results of an order.
const (
	// Accepted means that the runner is carrying out the order.
	Accepted Result = "Accepted"
	// AlreadyInState means that the runner is already in the ordered state.
	AlreadyInState Result = "Holds"
	// Conflict means that another order is in progress or the order count differs.
	Conflict Result = "Conflict"
	// Fenced means that the runner has seen a higher fencing token.
	Fenced Result = "Fenced"
	// Misdirected means that a different runner answered or that the runner lacks the model.
	Misdirected Result = "Misdirected"
	// Invalid means that the runner can't interpret the order.
	Invalid Result = "Invalid"
)

// Answer is a runner's answer to an order.
type Answer struct {
	Result Result
	// Leaving is set if the runner states that it is about to stop.
	Leaving bool
}

// Report is a runner's report; its models may be a few hundred milliseconds older than its order count.
type Report struct {
	// Incarnation is that of the reporting runner, or 0 if it does not tell.
	Incarnation int64
	Models      []roster.LoadedModel
	// Busy is set while an order is being carried out.
	Busy bool
	// Orders is how many orders the runner has accepted.
	Orders uint64
	// AdaptersLoading lists the adapters being loaded, which already occupy their slots but are not yet listed with their
	// models.
	AdaptersLoading []layout.Adapter
	// Leaving is set if the runner states that it is about to stop.
	Leaving bool
}

// Client sends orders to runners and reads their reports; it returns the same errors as dispatch.Sender.
type Client interface {
	Order(ctx context.Context, to *roster.Runner, o Order) (Answer, error)
	// Report returns a report that has only Leaving set if the response is not a valid report.
	Report(ctx context.Context, to *roster.Runner) (Report, error)
}

// Departures keeps which runners have stated that they are about to stop.
type Departures interface {
	RecordLeaving(runner *roster.Runner, now time.Time)
	Leaving(runner *roster.Runner) bool
}
