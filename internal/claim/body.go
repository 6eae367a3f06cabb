package claim

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/record"
)

// BatchKind is the one kind of record of the claim streams.
const BatchKind record.Kind = "Batch"

// Stream returns the name of a partition's log stream.
func Stream(partition int) string { return fmt.Sprintf("Calls-%d", partition) }

// Batch is the claims and outcomes that one VM gathered.
type Batch struct {
	Claims   []Claim   `cbor:",omitempty"`
	Outcomes []Outcome `cbor:",omitempty"`
}

// Claim asks for the right to run the call with a key, once.
type Claim struct {
	Key string
	// Attempt names this claim among those for the same key.
	Attempt string
	// Digest tells calls apart that share a key by mistake.
	Digest uint64
}

// Outcome ends the attempt that won a key.
type Outcome struct {
	Key     string
	Attempt string
	// Released tells that the attempt was given up before anything was sent, so that the key is free again.
	Released bool `cbor:",omitempty"`
	// Unknown tells that the call was sent and not answered.
	Unknown     bool   `cbor:",omitempty"`
	Status      int    `cbor:",omitempty"`
	ContentType string `cbor:",omitempty"`
	Body        []byte `cbor:",omitempty"`
	// BodyDropped tells that the body was larger than what is recorded.
	BodyDropped bool `cbor:",omitempty"`
}
