package fleet

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/lease"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// Stream returns the name of a failure domain's log stream.
func Stream(domain string) string { return "Fleet-" + domain }

// The record kinds of the stream. Leases and intents share one stream, so that the order of offsets decides whether an
// intent was recorded under a lease that was still valid.
const (
	ClaimKind   record.Kind = "Claim"
	RenewalKind record.Kind = "Renewal"
	ReleaseKind record.Kind = "Release"
	IntentKind  record.Kind = "Intent"
	SettleKind  record.Kind = "Settle"
)

// Settle is the record that settles or marks as abandoned several intents at once.
type Settle struct {
	Settlements  []ledger.Settlement  `cbor:",omitempty"`
	Abandonments []ledger.Abandonment `cbor:",omitempty"`
}

// Snapshot is the record that holds the whole state, which keeps it available when older records are past retention.
type Snapshot struct {
	Through logservice.Offset
	Now     time.Time
	Leases  []lease.Lease
	Books   []ledger.EndpointOrders
}
