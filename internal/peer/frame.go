package peer

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// frame is one message between two VMs; exactly one of its bodies is set.
type frame struct {
	// Call matches the frames of one exchange.
	Call     uint64
	Beat     *beat                   `cbor:",omitempty"`
	Pulse    *pulse                  `cbor:",omitempty"`
	Ask      *ask                    `cbor:",omitempty"`
	Snapshot *configuration.Snapshot `cbor:",omitempty"`
	Generate *generate               `cbor:",omitempty"`
	Event    *eventBody              `cbor:",omitempty"`
	End      *end                    `cbor:",omitempty"`
	Cancel   *cancel                 `cbor:",omitempty"`
	Desk     *desk                   `cbor:",omitempty"`
	Told     *deskAnswer             `cbor:",omitempty"`
}

// beat asks a peer whether it lives and tells it what the sender knows.
type beat struct {
	// Name is set in the first beat on a link only.
	Name string `cbor:",omitempty"`
	// Demand is the calls by model that the sender counted since its last beat on this link.
	Demand map[string]uint64 `cbor:",omitempty"`
}

// pulse answers a beat.
type pulse struct {
	// Incarnation is set in the first pulse on a link only.
	Incarnation string `cbor:",omitempty"`
	Stopping    bool   `cbor:",omitempty"`
	// Through is how far the peer has folded the Configuration stream.
	Through logservice.Offset
	// Levels is the models whose wait level changed since the last pulse on this link; NotServed takes one off.
	Levels map[string]int8 `cbor:",omitempty"`
}

// ask asks for the configuration that the peer has folded.
type ask struct{}

// generate sends a call to a model.
type generate struct {
	RequestID  string
	Caller     string
	Body       []byte
	ResumeFrom int
	Begun      bool `cbor:",omitempty"`
	// Left is the time until the first token is due.
	Left time.Duration
}

// eventBody is a piece of an answer.
type eventBody struct {
	Data  []byte
	Final bool
}

// end closes an answer: whole, or with the refusal that cut it.
type end struct {
	Refused *refusal.Refusal `cbor:",omitempty"`
}

// cancel tells that the caller is gone.
type cancel struct{}
