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
	// Era is the era of the log in which the record was written, as its writer knew it; 0 if the writer knew of none. A record of an
	// earlier era than a record before it has no effect.
	Era logservice.Era `cbor:",omitempty"`
	// Sequence counts the records of an incarnation.
	Sequence uint64
	// Fence is the fencing token of the tenure that the record renews; 0 starts a new tenure.
	Fence uint64
	// Released is set if the record gives up the lease.
	Released bool `cbor:",omitempty"`
	// VMs is the number of VMs that share the quotas of client accounts; omitted while no account has one.
	VMs int `cbor:",omitempty"`
}

// eraShift leaves room in a fencing token for the offsets of one era. Tokens stay below 2^53, which JSON numbers represent exactly,
// for two million eras.
const eraShift = 32

// fenceAt returns the fencing token of a tenure that starts with the record at a position. Tokens rise with the era, because offsets
// are given out again in a later one.
func fenceAt(p logservice.Position) uint64 { return uint64(p.Era)<<eraShift + uint64(p.Offset) + 1 }
