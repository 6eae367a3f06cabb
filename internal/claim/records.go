package claim

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/record"
)

// BatchKind is the only record kind in the claim streams.
const BatchKind record.Kind = "Batch"

// Stream returns the name of the log stream of a partition.
func Stream(partition int) string { return fmt.Sprintf("Calls-%d", partition) }

// Batch is a set of claims and outcomes that one VM appended as a single record.
type Batch struct {
	Claims   []Claim   `cbor:",omitempty"`
	Outcomes []Outcome `cbor:",omitempty"`
}

// Claim requests the exclusive right to run the call with a key.
type Claim struct {
	Key string
	// Attempt identifies this claim among all claims for the same key.
	Attempt string
	// Digest is a hash of the call, to detect that a key was reused for a different call.
	Digest uint64
}

// Outcome is the result of the attempt that won a key.
type Outcome struct {
	Key     string
	Attempt string
	// Released is true if the attempt was abandoned before anything was sent, so that the key can be claimed again.
	Released bool `cbor:",omitempty"`
	// Unknown is true if the call was sent but no complete response arrived.
	Unknown     bool   `cbor:",omitempty"`
	Status      int    `cbor:",omitempty"`
	ContentType string `cbor:",omitempty"`
	Body        []byte `cbor:",omitempty"`
	// BodyDropped is true if the response body exceeded the size limit and was not recorded.
	BodyDropped bool `cbor:",omitempty"`
}
