package lease

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// MaxTerm is the longest term of a lease; claims for a longer one get this.
const MaxTerm = 10 * time.Minute

// Lease gives one VM incarnation the exclusive right to send load and unload orders to the engines of a shard.
type Lease struct {
	Shard string
	// Holder is the VM incarnation that holds the lease.
	Holder string
	// VM is the name of the holder's VM, for display only.
	VM string
	// Fence is the offset of the claim that was granted; it increases with every new lease of the shard.
	Fence logservice.Offset
	Term  time.Duration
	// Expires is measured by the clock of the log service.
	Expires time.Time
}

// Claim is the record that requests the lease of a shard.
type Claim struct {
	Shard  string
	Holder string
	VM     string
	Term   time.Duration
}

// Renewal is the record that extends leases of a holder.
type Renewal struct {
	Holder string
	Shards []string
}

// Release is the record that ends leases of a holder before they expire.
type Release struct {
	Holder string
	Shards []string
}
