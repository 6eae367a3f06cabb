package ledger

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Intent is the record of an order, appended before the order is sent.
type Intent struct {
	// ID is that of the record.
	ID    string
	Shard string
	// Fence identifies the lease under which the order is sent.
	Fence logservice.Offset
	// Base is the offset of the last intent for the endpoint that the sender had read. An intent that was decided without
	// knowing of a newer one for the same endpoint is void.
	Base        logservice.Offset
	Endpoint    string
	Incarnation string
	// Sequence is that of the report on which the order was decided.
	Sequence    uint64
	Accelerator int
	Action      endpoint.Action
	Model       string
	Bytes       int64
	// Sender is the VM incarnation that sends the order, and VM is its name.
	Sender string
	VM     string
	// Why is the reason for the order, shown to operators.
	Why string
}

// ReplicaKey identifies the replica of a model on an accelerator of an endpoint.
type ReplicaKey struct {
	Endpoint    string
	Accelerator int
	Model       string
}

// ReplicaKey returns the replica that the order loads or unloads.
func (i Intent) ReplicaKey() ReplicaKey {
	return ReplicaKey{
		Endpoint:    i.Endpoint,
		Accelerator: i.Accelerator,
		Model:       i.Model,
	}
}

// OpenOrder is an intent whose order may still take effect.
type OpenOrder struct {
	Intent Intent
	Offset logservice.Offset
	At     time.Time
	// Abandoned reports whether the sender closed the connection without an answer and will never send the order again.
	Abandoned bool
}
