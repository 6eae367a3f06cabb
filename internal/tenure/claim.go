package tenure

import "github.com/cowsliparch/cowsliparch/internal/logservice"

// Stream is the log stream of the lease.
const Stream = "OrderLease"

// Claim is a record of the lease: the newest one names its holder.
type Claim struct {
	Holder string
	// Address is where the holder answers other VMs.
	Address     string
	Incarnation string
	// Sequence counts the records of an incarnation.
	Sequence uint64
	// Fence is the fencing number of the tenure that the record renews; 0 begins a new one.
	Fence uint64
	// Released gives the lease up.
	Released bool `cbor:",omitempty"`
}

// fenceAt returns the fencing number of a tenure that begins at an offset.
func fenceAt(offset logservice.Offset) uint64 { return uint64(offset) + 1 }
