package ledger

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Intent is an order that is about to be sent, recorded before it is.
type Intent struct {
	// ID is that of the record.
	ID    string
	Shard string
	// Fence is the offset of the lease under which the order is sent.
	Fence logservice.Offset
	// Base is the offset of the last intent for the endpoint that the sender had folded: an intent decided without
	// knowledge of another one for the same endpoint is void.
	Base        logservice.Offset
	Endpoint    string
	Incarnation string
	// Sequence is that of the report on which the order was decided.
	Sequence    uint64
	Accelerator int
	Action      endpoint.Action
	Model       string
	Bytes       int64
	// Sender is the VM incarnation that sends the order, and VM its name.
	Sender string
	VM     string
	Why    string
}

// Place is where on an endpoint a model is or may be.
type Place struct {
	Endpoint    string
	Accelerator int
	Model       string
}

// Place returns where the intent has its effect.
func (i Intent) Place() Place {
	return Place{
		Endpoint:    i.Endpoint,
		Accelerator: i.Accelerator,
		Model:       i.Model,
	}
}

// Open is an intent whose order may still have its effect.
type Open struct {
	Intent Intent
	Offset logservice.Offset
	At     time.Time
	// Abandoned tells that the sender closed the connection without an answer and will never send the order again.
	Abandoned bool
}
