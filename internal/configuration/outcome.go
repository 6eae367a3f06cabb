package configuration

import "github.com/cowsliparch/cowsliparch/internal/logservice"

// Verdict tells whether an operator's record was accepted.
type Verdict string

// The verdicts. Conflict means that the record was based on a version that is no longer in force.
const (
	Accepted Verdict = "Accepted"
	Conflict Verdict = "Conflict"
	Invalid  Verdict = "Invalid"
)

// Outcome is the result of one operator's record, kept so that operators can look it up by the record's ID.
type Outcome struct {
	ID      string
	Verdict Verdict
	// Version is the version in force after the record.
	Version logservice.Offset
	// Winner is the ID of the record that put Version in force.
	Winner string
	Reason string `cbor:",omitempty" json:",omitempty"`
}
