package orderlease

import "github.com/cowsliparch/cowsliparch/internal/logservice"

// Stream is the name of the log stream that holds the lease.
const Stream = "OrderLease"

// Record is a record of the lease; the newest one names its holder.
type Record struct {
	Holder string
	// Address is where the holder accepts requests from other VMs.
	Address     string
	Incarnation string
	// Sequence counts the records of an incarnation.
	Sequence uint64
	// Fence is the fencing token of the tenure that the record renews; 0 starts a new tenure.
	Fence uint64
	// Released is set if the record gives up the lease.
	Released bool `cbor:",omitempty"`
	// VMs is the number of VMs that share the quotas of client accounts; omitted while no account has one.
	VMs int `cbor:",omitempty"`
}

// fenceAt returns the fencing token of a tenure that starts with the record at an offset.
func fenceAt(offset logservice.Offset) uint64 { return uint64(offset) + 1 }
