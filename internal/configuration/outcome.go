package configuration

import "github.com/cowsliparch/cowsliparch/internal/logservice"

// Verdict is what the fold made of an operator's record.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "Accepted"
	Conflict Verdict = "Conflict"
	Invalid  Verdict = "Invalid"
)

// Outcome is the verdict on one record, kept for operators who ask again.
type Outcome struct {
	ID      string
	Verdict Verdict
	// Version is the one in force after the record.
	Version logservice.Offset
	// Winner is the ID of the record that put Version in force.
	Winner string
	Reason string `cbor:",omitempty" json:",omitempty"`
}
