package booking

import "github.com/cowsliparch/cowsliparch/internal/claim"

// Ticket is the answer to a claim.
type Ticket struct {
	Key     string
	Attempt string
	// Won tells that this attempt, and no other ever, may run the call.
	Won bool
	// Entry is what is known of the key if another attempt won.
	Entry claim.Entry
}
