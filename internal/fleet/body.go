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

// The kinds of record of the stream. Leases and intents share it, so that one order of offsets tells whether an
// intent was recorded under a lease that still held.
const (
	ClaimKind   record.Kind = "Claim"
	RenewalKind record.Kind = "Renewal"
	ReleaseKind record.Kind = "Release"
	IntentKind  record.Kind = "Intent"
	SettleKind  record.Kind = "Settle"
)

// Settle ends or marks several intents at once.
type Settle struct {
	Settlements  []ledger.Settlement  `cbor:",omitempty"`
	Abandonments []ledger.Abandonment `cbor:",omitempty"`
}

// Snapshot repeats a folded state, so that it outlives the retention of the records behind it.
type Snapshot struct {
	Through logservice.Offset
	Now     time.Time
	Leases  []lease.Lease
	Books   []ledger.Book
}
