package lease

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// MaxTerm bounds the term that a claim may ask for.
const MaxTerm = 10 * time.Minute

// Lease is the right of one VM incarnation to order the engines of a shard.
type Lease struct {
	Shard  string
	Holder string
	// VM names the holder's VM, for people.
	VM string
	// Fence is the offset of the claim that won; it ascends with every change of holder.
	Fence logservice.Offset
	Term  time.Duration
	// Expires is in the time of the log service.
	Expires time.Time
}

// Claim asks for a shard.
type Claim struct {
	Shard  string
	Holder string
	VM     string
	Term   time.Duration
}

// Renewal prolongs the leases that a holder has.
type Renewal struct {
	Holder string
	Shards []string
}

// Release gives leases up before they expire.
type Release struct {
	Holder string
	Shards []string
}
