package configuration

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// Stream is the log stream that operators publish configuration to.
const Stream = "Configuration"

// The record kinds of the stream.
const (
	ChangeKind       record.Kind = "Change"
	PresetChangeKind record.Kind = "Use"
)

// Change publishes a configuration document. It is accepted only if Base is the version in force.
type Change struct {
	Base     logservice.Offset
	Document []byte
	// Preset takes effect with the document; if empty, the current preset stays in force.
	Preset string
}

// PresetChange selects a preset of the configuration in force. It is accepted only if Base is the version in force.
type PresetChange struct {
	Base   logservice.Offset
	Preset string
}

// Snapshot holds a whole State, so that the state outlives the retention of the records that it was built from.
type Snapshot struct {
	Through  logservice.Offset
	Version  logservice.Offset
	Winner   string
	Document []byte
	Preset   string
	Outcomes []Outcome
}
