package booking

import "github.com/cowsliparch/cowsliparch/internal/claim"

// Result is the result of a claim.
type Result struct {
	Key     string
	Attempt string
	// Won is true if this attempt, and no other, may run the call.
	Won bool
	// Entry is the entry of the key, which belongs to another attempt if Won is false.
	Entry claim.Entry
}
