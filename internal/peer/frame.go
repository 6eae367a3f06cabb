package peer

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// frame is one message between two VMs; exactly one of its bodies is set.
type frame struct {
	// ID matches the frames of one exchange.
	ID              uint64                  `cbor:"Call"`
	Heartbeat       *heartbeat              `cbor:"Beat,omitempty"`
	HeartbeatReply  *heartbeatReply         `cbor:"Pulse,omitempty"`
	SnapshotRequest *snapshotRequest        `cbor:"Ask,omitempty"`
	Snapshot        *configuration.Snapshot `cbor:",omitempty"`
	Generate        *generateRequest        `cbor:",omitempty"`
	Event           *responseChunk          `cbor:",omitempty"`
	End             *responseEnd            `cbor:",omitempty"`
	Cancel          *cancelRequest          `cbor:",omitempty"`
	BatcherRequest  *batcherRequest         `cbor:"Desk,omitempty"`
	BatcherReply    *batcherReply           `cbor:"Told,omitempty"`
}

// heartbeat checks that a peer is alive and passes on the sender's demand.
type heartbeat struct {
	// Name is set only in the first heartbeat on a link.
	Name string `cbor:",omitempty"`
	// Demand is the number of calls by model that the sender counted since its last heartbeat on this link.
	Demand map[string]uint64 `cbor:",omitempty"`
}

// heartbeatReply answers a heartbeat.
type heartbeatReply struct {
	// Incarnation is set only in the first reply on a link.
	Incarnation string `cbor:",omitempty"`
	Stopping    bool   `cbor:",omitempty"`
	// Through is the offset up to which the peer has applied the Configuration stream.
	Through logservice.Offset
	// Levels is the wait level of each model whose level changed since the last reply on this link; NotServed removes a
	// model.
	Levels map[string]int8 `cbor:",omitempty"`
}

// snapshotRequest asks for the configuration that the peer has applied.
type snapshotRequest struct{}

// generateRequest forwards a call to a model.
type generateRequest struct {
	RequestID       string
	Caller          string
	Body            []byte
	ResumeFrom      int
	AlreadyAdmitted bool `cbor:"Begun,omitempty"`
	// TimeLeft is the time until the first token is due.
	TimeLeft time.Duration `cbor:"Left"`
}

// responseChunk is one event of a streamed response, or the body of a response that isn't streamed.
type responseChunk struct {
	Data  []byte
	Final bool
}

// responseEnd ends a response: complete, or with the refusal that cut it off.
type responseEnd struct {
	Refused *refusal.Refusal `cbor:",omitempty"`
}

// cancelRequest tells the peer that the rest of an exchange is no longer needed.
type cancelRequest struct{}
